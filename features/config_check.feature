Feature: Configurations are checked before they are sent
  Failure guarded against: a fault is noticed only once it is in force, or the
  check passes what the gateway refuses, or shows a key.

  Scenario: a configuration without fault
    When a configuration without fault is checked
    Then nothing is found and the exit status is 0

  Scenario Outline: <fault>
    When a configuration is checked that has <fault>
    Then the one finding is <code> at <path> on line <line>
    And the exit status is <status>, with --strict <strict>

    Examples: text and types
      | fault                        | code            | path                 | line | status | strict |
      | a missing comma              | syntax          | -                    | 5    | 2      | 2      |
      | a trailing comma             | syntax          | -                    | 5    | 2      | 2      |
      | a missing colon              | syntax          | -                    | 4    | 2      | 2      |
      | a value that is no JSON      | syntax          | -                    | 8    | 2      | 2      |
      | a string without end         | syntax          | -                    | 9    | 2      | 2      |
      | a bad escape                 | syntax          | -                    | 4    | 2      | 2      |
      | half a surrogate pair        | syntax          | -                    | 4    | 2      | 2      |
      | a number out of range        | syntax          | -                    | 4    | 2      | 2      |
      | a byte that is not UTF-8     | syntax          | -                    | 4    | 2      | 2      |
      | text after the end           | syntax          | -                    | 17   | 2      | 2      |
      | lists nested too deeply      | syntax          | -                    | 2    | 2      | 2      |
      | a field twice                | duplicate-field | routes.0             | 4    | 2      | 2      |
      | a misspelt field             | unknown-field   | routes.0             | 4    | 0      | 1      |
      | a key as a field's name      | unknown-field   | tenants.0            | 13   | 0      | 1      |
      | text in place of a number    | type            | routes.0.timeoutMs   | 4    | 2      | 2      |
      | a fraction of attempts       | type            | routes.0.maxAttempts | 4    | 2      | 2      |
      | a route without a name       | type            | routes.0             | 4    | 2      | 2      |
      | a key that is a number       | type            | tenants.0.apiKeys.0  | 13   | 2      | 2      |
      | keys that are no list        | type            | tenants.0.apiKeys    | 13   | 2      | 2      |
      | no limits                    | type            | -                    | 1    | 2      | 2      |

    Examples: routes
      | fault                        | code                    | path                     | line | status | strict |
      | version 0                    | version                 | version                  | 2    | 2      | 2      |
      | a shadowed route             | shadowed-route          | routes.1.prefix          | 5    | 0      | 1      |
      | two routes of one name       | duplicate-route         | routes.1.name            | 5    | 0      | 1      |
      | a prefix without a slash     | never-matches           | routes.1.prefix          | 5    | 0      | 1      |
      | a route without a host       | never-matches           | routes.1.host            | 5    | 0      | 1      |
      | a kind that is not known     | unknown-kind            | routes.0.kind            | 4    | 0      | 1      |
      | a service beside a split     | never-matches           | routes.1.service         | 5    | 0      | 1      |
      | a missing service            | unknown-upstream        | routes.0.service         | 4    | 2      | 2      |
      | a missing service in a split | unknown-upstream        | routes.1.split.2.service | 5    | 2      | 2      |
      | a service twice in a split   | duplicate-share         | routes.1.split.2.service | 5    | 0      | 1      |
      | a share of weight 0          | zero-share              | routes.1.split.1.weight  | 5    | 0      | 1      |
      | a weight below 0             | negative                | routes.1.split.1.weight  | 5    | 2      | 2      |
      | no timeout                   | no-time                 | routes.0.timeoutMs       | 4    | 2      | 2      |
      | a latency above the timeout  | latency-above-timeout   | routes.0.targetLatencyMs | 4    | 0      | 1      |
      | a latency below 0            | negative                | routes.0.targetLatencyMs | 4    | 2      | 2      |
      | a route's priority below 0   | negative                | routes.0.priority        | 4    | 0      | 1      |
      | no attempts                  | no-attempts             | routes.0.maxAttempts     | 4    | 2      | 2      |
      | too many attempts            | attempts-beyond-timeout | routes.0.maxAttempts     | 4    | 0      | 1      |
      | a due time above the age     | due-above-age           | routes.1.resultDueMs     | 5    | 0      | 1      |
      | a due time below 0           | negative                | routes.1.resultDueMs     | 5    | 2      | 2      |
      | a rollout without an age     | no-time                 | routes.1.maxAgeS         | 5    | 0      | 1      |

    Examples: services, limits, organisations
      | fault                        | code                   | path                    | line | status | strict |
      | a service that no route uses | unused-upstream        | services.2.name         | 9    | 0      | 1      |
      | two services of one name     | duplicate-upstream     | services.2.name         | 9    | 2      | 2      |
      | a service without connections| no-connections         | services.0.maxConns     | 8    | 2      | 2      |
      | a minimum above the maximum  | instance-range         | services.0.scale.min    | 8    | 2      | 2      |
      | a minimum below 0            | instance-range         | services.0.scale.min    | 8    | 2      | 2      |
      | a boot time below 0          | instance-range         | services.0.scale.bootS  | 8    | 2      | 2      |
      | an idle timeout too short    | idle-below-header      | limits.idleTimeoutMs    | 11   | 0      | 1      |
      | no room for headers          | no-room                | limits.maxHeaderBytes   | 11   | 2      | 2      |
      | an organisation without key  | no-key                 | tenants.0.apiKeys       | 13   | 0      | 1      |
      | an organisation without name | organisation-name      | tenants.0.name          | 13   | 2      | 2      |
      | organisations of one name    | duplicate-organisation | tenants.1.name          | 14   | 0      | 1      |
      | an organisation's priority below 0 | negative         | tenants.0.priority      | 13   | 0      | 1      |
      | a key of two organisations   | shared-key             | tenants.1.apiKeys.0     | 14   | 2      | 2      |
      | a key listed twice           | repeated-key           | tenants.0.apiKeys.1     | 13   | 0      | 1      |
      | a key that is too long       | unusable-key           | tenants.0.apiKeys.0     | 13   | 0      | 1      |
      | an empty key                 | unusable-key           | tenants.0.apiKeys.1     | 13   | 0      | 1      |
      | a digest that is not base64  | unreadable             | tenants.0.keyDigests    | 13   | 2      | 2      |
      | a key with a space           | unusable-key           | tenants.0.apiKeys.0     | 13   | 0      | 1      |

  Scenario: weights that add up to 0
    When a configuration is checked that has weights that add up to 0
    Then the findings are
      | code        | path                    | line |
      | weights-sum | routes.1.split          | 5    |
      | zero-share  | routes.1.split.0.weight | 5    |
      | zero-share  | routes.1.split.1.weight | 5    |

  Scenario: all errors are found at once
    When a configuration is checked that has several faults
    Then the findings are
      | code                   | path                 | line |
      | no-attempts            | routes.0.maxAttempts | 4    |
      | unknown-field          | routes.0             | 4    |
      | type                   | routes.1.prefix      | 5    |
      | type                   | services.0.maxConns  | 8    |

  Scenario Outline: the difference is <change>
    When a configuration is compared with one in force that differs by <change>
    Then it is described as <sign> <subject> and <lasting>

    Examples:
      | change                   | sign | subject              | lasting  |
      | a route added            | +    | route 'new'          | passing  |
      | a route removed          | -    | route 'a'            | passing  |
      | a rollout removed        | -    | route 'r'            | lasting  |
      | a timeout                | ~    | route 'a'            | passing  |
      | a kind that is repeated  | ~    | route 'a'            | lasting  |
      | a public route           | ~    | route 'a'            | lasting  |
      | a service's connections  | ~    | upstream 'app'       | passing  |
      | a higher minimum         | ~    | upstream 'app'       | lasting  |
      | another limit            | ~    | limits               | passing  |
      | an organisation removed  | -    | organisation 'south' | lasting  |
      | another priority         | ~    | organisation 'north' | passing  |
      | a key added              | +    | key ca74744a         | passing  |
      | a key removed            | -    | key 84c0144c         | passing  |
      | a key moved              | ~    | key 84c0144c         | lasting  |
      | no organisations any more| ~    | organisations        | lasting  |

  Scenario: a version that gateways would ignore
    When a changed configuration of the same version is compared
    Then the one finding is version at version on line 2

  Scenario: the version in force is read from the store
    Given a platform's store with a configuration and instances of 200 slots
    When a configuration is compared with the one in the store
    Then the one finding is connections-below-slots at services.0.maxConns on line 8
    And the differences are reported in JSON without a key

  Scenario: the store doesn't respond
    When a configuration is compared with the one in a store that is away
    Then the exit status is 3

  Scenario: a bundle of the own deployment
    When a bundle is checked with a default timeout above the maximum
    Then the bundle's finding has its line and column

  Scenario: many organisations
    When 10000 organisations are checked against another version
    Then the check takes less than 2 s of processor time

  Scenario: texts and values at random
    Then 400 damaged configurations cause no traceback and no false approval

  Scenario: the gateway logs findings and rejects nothing
    When a gateway's configuration comes into force with 30 unused services
    Then 20 findings and the number left out are logged
    And the next version logs only what is new

  Scenario: a gateway process checks its configuration
    When a gateway is launched with a configuration that has a share of weight 0
    Then it logs the finding
