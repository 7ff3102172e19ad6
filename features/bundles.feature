Feature: The signed bundle comes into force everywhere

  Scenario Outline: <case> on the <service>
    When <case> is run on the <service>
    Then the result is as the contract requires

    Examples: in memory
      | service | case                                  |
      | fake    | read after write                      |
      | fake    | the newest revision                   |
      | fake    | compare and swap                      |
      | fake    | a reply lost after the write          |
      | fake    | the service is down                   |
      | fake    | a lease expires                       |
      | fake    | a lease is revoked                    |
      | fake    | a watch sees changes                  |
      | fake    | a watch ends when the service is down |
      | fake    | a transaction with two checks         |
      | fake    | a transaction without its lease       |
      | fake    | more items than fit a page            |

    Examples: over loopback
      | service | case                                  |
      | adapter | read after write                      |
      | adapter | the newest revision                   |
      | adapter | compare and swap                      |
      | adapter | a reply lost after the write          |
      | adapter | the service is down                   |
      | adapter | a lease expires                       |
      | adapter | a lease is revoked                    |
      | adapter | a watch sees changes                  |
      | adapter | a watch ends when the service is down |
      | adapter | a transaction with two checks         |
      | adapter | a transaction without its lease       |
      | adapter | more items than fit a page            |

    Examples: on the platform's store, over loopback
      | service  | case                                  |
      | platform | read after write                      |
      | platform | the newest revision                   |
      | platform | compare and swap                      |
      | platform | a reply lost after the write          |
      | platform | the service is down                   |
      | platform | a lease expires                       |
      | platform | a lease is revoked                    |
      | platform | a watch sees changes                  |
      | platform | a watch ends when the service is down |
      | platform | a transaction with two checks         |
      | platform | a transaction without its lease       |
      | platform | more items than fit a page            |

  Scenario: the platform's store compacts its history
    When the platform's store compacts its history during a watch
    Then the watch fails and a listing returns the current items

  Scenario: operators race while replies are lost and the service fails
    Then 400 races of three operators violate no guarantee

  Scenario: a key rotation needs signatures by the old and the new key
    When a partner's key is rotated
    Then the outcomes are first: Rolled, old keys only: RollRefused, old and new keys: Rolled, a new process: version 2

  Scenario Outline: a bundle is rolled and <fault>
    When a bundle is rolled and <fault>
    Then it is in force everywhere within <seconds> s

    Examples:
      | fault                                          | seconds |
      | nothing happens                                | 4       |
      | the service was down for an hour               | 4       |
      | an entry restarts in an outage                 | 4       |
      | a sidecar restarts in an outage                | 4       |
      | all sidecars and an entry restart in an outage | 4       |
      | the watches stop silently                      | 4       |

  Scenario: the call rates at the key-value service
    Then 4 idle entries, scaled to full size, stay within the call budget
