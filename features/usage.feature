Feature: Usage reports
  One gateway at a time reports the calls of each organisation by window of
  time. Failure guarded against: an invoice that is wrong, or two of them.

  Scenario Outline: Gateways fail at random, <fences>
    When gateways report usage under faults of <count> seeds, <fences>
    Then no bound is broken

    Examples:
      | fences              | count |
      | fences are checked  | 12    |
      | nothing checks them | 12    |

  Scenario Outline: What is counted: <case>
    When an organisation makes calls: <case>
    Then <number> calls are counted

    Examples:
      | case                                 | number |
      | plain                                | 1      |
      | plain, on a public route             | 0      |
      | plain, with an unknown key           | 0      |
      | plain, refused by all instances      | 0      |
      | plain, refused once and then run     | 1      |
      | plain, tried several times           | 1      |
      | plain, its caller leaves             | 1      |
      | plain, longer than a window is open  | 1      |
      | a stream                             | 1      |
      | a stream, interrupted at an instance | 1      |
      | a stream, resumed at another gateway | 1      |
      | items with scoring calls             | 0      |

  Scenario Outline: When a holder may call: <case>
    When a holder of a duty decides on a call: <case>
    Then its reason is "<reason>"

    Examples:
      | case                               | reason                             |
      | first holder of all                |                                    |
      | after another holder               | waits for calls of the holder before |
      | a lease after another holder       |                                    |
      | again, nobody in between           |                                    |
      | again, a call without response     | waits for calls of the holder before |
      | again, a call with response        |                                    |
      | lease ends within a call's time    | the lease isn't certain            |
      | role was lost                      | not the holder                     |
      | role has a new fence               | not the holder                     |
      | fence was refused                  | the fence was refused              |
      | new fence after a refused one      | waits for calls of the holder before |

  Scenario: Counts come again, in any order, or not at all
    When counts of gateways are merged in random orders
    Then no bound is broken

  Scenario: A late count is logged and changes nothing
    When a count arrives after its window was fixed
    Then no bound is broken

  Scenario: The time of day steps
    When the time of day steps by some seconds for a while
    Then no bound is broken

  Scenario Outline: Responses of the interface: <status>
    When the interface responds to a duty call with status <status>
    Then the call's outcome is "<outcome>" and its request is complete

    Examples:
      | status | outcome |
      | 200    | done    |
      | 409    | fenced  |
      | 429    | limited |
      | 500    | failed  |
      | 503    | failed  |

  Scenario Outline: Settings of duties: <settings>
    When settings of duties are read: <settings>
    Then their result is "<result>"

    Examples:
      | settings                                                             | result                 |
      | {}                                                                   | none                   |
      | {"cloud": {}}                                                        | none                   |
      | {"cloud": {"address": "127.0.0.1:9", "duties": []}}                  | none                   |
      | {"cloud": {"address": "127.0.0.1:9", "duties": ["usage"]}}           | usage, 5 s, 10 s   |
      | {"cloud": {"address": "127.0.0.1:9", "duties": ["usage"]}, "bounds": {"reportWindowS": 2, "usageLateS": 4}} | usage, 2 s, 4 s |
      | {"cloud": {"address": "nowhere", "duties": ["usage"]}}               | error                  |
      | {"cloud": {"address": "127.0.0.1:9", "duties": ["usage"], "dutyPerS": 0}} | error             |

  Scenario: Without duties nothing runs
    When gateways run without duties in their settings
    Then no bound is broken
