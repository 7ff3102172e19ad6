Feature: A request under faults of its link
  Each row has one or more faults, in turn, each by the moment at which it
  occurs; the outcome and the number of runs are what the guarantees allow.

  Scenario Outline: <kind> with faults <faults>
    When a <kind> is sent over a link with faults <faults>
    Then its outcome is <outcomes>
    And it ran <low> to <high> times
    And the response violates no guarantee
    And its response arrives within <seconds> s

    Examples: no fault
      | kind         | faults | outcomes | low | high | seconds |
      | lookup       | none   | done     | 1   | 1    | 0.2     |
      | stream       | none   | done     | 1   | 1    | 0.5     |
      | record       | none   | done     | 1   | 1    | 0.2     |
      | keyed record | none   | done     | 1   | 1    | 0.2     |

    Examples: repeatable calls are retried
      | kind   | faults          | outcomes  | low | high | seconds |
      | lookup | refused         | done      | 1   | 1    | 1.0     |
      | lookup | before dispatch | done      | 1   | 1    | 1.0     |
      | lookup | late copy       | done      | 1   | 2    | 1.0     |
      | lookup | after dispatch  | done      | 1   | 2    | 1.0     |
      | lookup | mid answer      | done      | 2   | 2    | 1.0     |
      | lookup | after answer    | done      | 2   | 2    | 1.0     |
      | stream | before dispatch | done      | 1   | 1    | 1.0     |
      | stream | mid answer      | truncated | 1   | 1    | 1.0     |
      | stream | after answer    | truncated | 1   | 1    | 1.0     |

    Examples: calls that must not run twice
      | kind         | faults          | outcomes | low | high | seconds |
      | record       | refused         | done     | 1   | 1    | 1.0     |
      | record       | before dispatch | done     | 1   | 1    | 1.0     |
      | record       | late copy       | done     | 1   | 1    | 1.0     |
      | record       | after dispatch  | done     | 1   | 1    | 1.0     |
      | record       | mid answer      | done     | 1   | 1    | 1.0     |
      | record       | after answer    | done     | 1   | 1    | 1.0     |
      | keyed record | refused         | done     | 1   | 1    | 1.0     |
      | keyed record | before dispatch | done     | 1   | 1    | 1.0     |
      | keyed record | late copy       | done     | 1   | 1    | 1.0     |
      | keyed record | after dispatch  | done     | 1   | 1    | 1.0     |
      | keyed record | mid answer      | done     | 1   | 1    | 1.0     |
      | keyed record | after answer    | done     | 1   | 1    | 1.0     |

    Examples: silent connections are detected by heartbeats
      | kind         | faults                 | outcomes | low | high | seconds |
      | lookup       | silent before dispatch | done     | 1   | 1    | 5.0     |
      | lookup       | silent after dispatch  | done     | 1   | 2    | 5.0     |
      | lookup       | silent after answer    | done     | 1   | 2    | 5.0     |
      | record       | silent before dispatch | done     | 1   | 1    | 5.0     |
      | record       | silent late copy       | done     | 1   | 1    | 5.0     |
      | record       | silent after dispatch  | done     | 1   | 1    | 5.0     |
      | record       | silent mid answer      | done     | 1   | 1    | 5.0     |
      | keyed record | silent after dispatch  | done     | 1   | 1    | 5.0     |
      | keyed record | silent after answer    | done     | 1   | 1    | 5.0     |

    Examples: the same fault twice, and pairs of faults
      | kind         | faults                                 | outcomes        | low | high | seconds |
      | lookup       | before dispatch, before dispatch       | done            | 1   | 1    | 2.0     |
      | lookup       | refused, after dispatch                | done            | 1   | 2    | 2.0     |
      | record       | before dispatch, before dispatch       | done            | 1   | 1    | 2.0     |
      | record       | after dispatch, after dispatch         | done            | 1   | 1    | 2.0     |
      | record       | after dispatch, before dispatch        | done            | 1   | 1    | 2.0     |
      | record       | late copy, late copy                   | done            | 1   | 1    | 3.0     |
      | record       | late copy, after dispatch              | done            | 1   | 1    | 3.0     |
      | record       | refused, refused, refused, refused     | not-run         | 0   | 0    | 2.0     |
      | keyed record | after dispatch, mid answer             | done            | 1   | 1    | 2.0     |
      | keyed record | mid answer, after answer               | done            | 1   | 1    | 2.0     |
      | record       | silent before dispatch, after dispatch | done            | 1   | 1    | 8.0     |
      | record       | silent after dispatch, silent after dispatch | done or unknown | 1 | 1 | 8.2 |

    Examples: after a lost attempt the outcome stays unknown despite refusals
      | kind   | faults                                                  | outcomes | low | high | seconds |
      | lookup | after dispatch, refused, refused, refused               | unknown  | 1   | 1    | 3.0     |
      | lookup | after dispatch, before dispatch, refused, refused       | unknown  | 1   | 1    | 3.0     |
