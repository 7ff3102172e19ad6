Feature: The signed-off bundle is the one in force everywhere

  Scenario Outline: <row> on the <service>
    When <row> is tried on the <service>
    Then it does what the contract says

    Examples: in memory
      | service  | row                                   |
      | fake     | read after write                      |
      | fake     | the newest revision                   |
      | fake     | compare and swap                      |
      | fake     | a reply lost after the write          |
      | fake     | the service is down                   |
      | fake     | a lease lapses                        |
      | fake     | a lease is given back                 |
      | fake     | a watch sees changes                  |
      | fake     | a watch ends when the service is down |
      | fake     | a transaction with two checks         |
      | fake     | a transaction without its lease       |
      | fake     | more items than a page                |

    Examples: over loopback
      | service  | row                                   |
      | adapter  | read after write                      |
      | adapter  | the newest revision                   |
      | adapter  | compare and swap                      |
      | adapter  | a reply lost after the write          |
      | adapter  | the service is down                   |
      | adapter  | a lease lapses                        |
      | adapter  | a lease is given back                 |
      | adapter  | a watch sees changes                  |
      | adapter  | a watch ends when the service is down |
      | adapter  | a transaction with two checks         |
      | adapter  | a transaction without its lease       |
      | adapter  | more items than a page                |

    Examples: on the users' platform, over loopback
      | service  | row                                   |
      | platform | read after write                      |
      | platform | the newest revision                   |
      | platform | compare and swap                      |
      | platform | a reply lost after the write          |
      | platform | the service is down                   |
      | platform | a lease lapses                        |
      | platform | a lease is given back                 |
      | platform | a watch sees changes                  |
      | platform | a watch ends when the service is down |
      | platform | a transaction with two checks         |
      | platform | a transaction without its lease       |
      | platform | more items than a page                |

  Scenario: the platform's store forgets its history
    When the platform's store drops its history under a watch
    Then the watch fails and a listing tells what is there

  Scenario: operators race, replies are lost, the service goes down
    Then 400 races of three operators keep every promise

  Scenario: a key rotation needs the old key and the new one
    When a partner's key is rotated
    Then the steps end with first: Rolled, old keys only: RollRefused, old and new keys: Rolled, a new process: version 2

  Scenario Outline: a bundle is rolled and <blow>
    When a bundle is rolled and <blow>
    Then it is in force everywhere within <seconds> s

    Examples:
      | blow                                           | seconds |
      | nothing happens                                | 4       |
      | the service was down for an hour               | 4       |
      | an entry restarts in an outage                 | 4       |
      | a sidecar restarts in an outage                | 4       |
      | all sidecars and an entry restart in an outage | 4       |
      | the watches are silent                         | 4       |

  Scenario: the service's budget
    Then 4 idle entries stay within the budget at full size
