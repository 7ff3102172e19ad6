Feature: Organisations and their keys
  Callers send an organisation's key, samplers get the organisation's name.
  Failures guarded against: a call without a known key runs; a removed key is
  accepted; an organisation reads another one's results; a key leaves the
  gateway that read it.

  Scenario Outline: decision on organisations: <decision>
    When a gateway decides on organisations: <decision>
    Then the decision on organisations is as expected

    Examples: a call's key
      | decision                        |
      | a known key                     |
      | no key                          |
      | an equal key twice              |
      | another scheme                  |
      | a scheme without a key          |
      | a key with a space              |
      | a key with a control character  |
      | a key beyond ASCII              |
      | a key of 512 characters         |
      | a key of 513 characters         |
      | an unknown key                  |
      | an unknown key, no contact      |
      | a known key, no contact         |
      | a known key, no contact, strict |
      | no key, no contact, strict      |
      | a key of two organisations      |
      | an empty key                    |
      | a public route                  |
      | no organisations                |

    Examples: headers, records and messages
      | decision                                      |
      | a sampler's headers with an organisation      |
      | a sampler's headers of a public call          |
      | a sampler's headers without organisations     |
      | an item's headers                             |
      | two keys of one organisation                  |
      | two organisations                             |
      | a submission of an earlier build              |
      | a page of an earlier build                    |
      | a configuration with keys                     |
      | a configuration with digests                  |
      | a configuration whose keys are concealed      |
      | a concealed configuration, concealed again    |
      | an unreadable configuration                   |
      | keys whose name is escaped                    |
      | a name that no header can have                |
      | a list of keys that is text                   |
      | a digest that is none                         |
      | the history of large configurations           |
      | settings with strict revocation               |
      | settings without strict revocation            |

  Scenario Outline: organisations: <case>
    When organisations call gateways: <case>
    Then nothing about organisations is wrong

    Examples:
      | case                                       |
      | plain calls                                |
      | streams                                    |
      | no organisations                           |
      | the last organisation removed              |
      | an unknown route                           |
      | a removed key                              |
      | a removed key, gateways restarted          |
      | items                                      |
      | items of a removed organisation            |
      | submissions of another organisation        |
      | a holder that doesn't compare              |
      | a holder of an earlier build               |
      | a submission of before                     |
      | the store is away                          |
      | the store is away, strict                  |
      | strict, in touch                           |
      | a suspended gateway, strict                |
      | a key in messages and records              |
