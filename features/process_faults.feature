Feature: Calls while a process fails, leaves or stops
  Two entries send 200 calls over 4 s to three instances; the fault is
  injected after the first 100.

  Scenario Outline: <kind> calls while <fault>
    When <kind> calls go on while <fault>
    Then no guarantee is violated
    And at least <share> % are done
    And there are at most <retries> retries

    Examples:
      | kind         | fault                                                   | share | retries |
      | lookup       | nothing                                                 | 100   | 0       |
      | lookup       | a sidecar is killed                                     | 98    | 30      |
      | lookup       | a sidecar is restarted                                  | 98    | 30      |
      | lookup       | a sidecar drains                                        | 100   | 30      |
      | lookup       | the list says an instance leaves                        | 100   | 0       |
      | lookup       | an upstream crashes                                     | 98    | 30      |
      | lookup       | an upstream becomes 10 times slower                     | 100   | 0       |
      | lookup       | a sidecar falls silent                                  | 98    | 30      |
      | lookup       | the key-value service goes down                         | 100   | 0       |
      | lookup       | an upstream crashes and a sidecar drains                | 98    | 30      |
      | lookup       | the key-value service goes down and a sidecar is killed | 98    | 30      |
      | record       | nothing                                                 | 100   | 0       |
      | record       | a sidecar is killed                                     | 90    | 30      |
      | record       | a sidecar is restarted                                  | 90    | 30      |
      | record       | a sidecar is restarted twice                            | 90    | 30      |
      | record       | a sidecar drains                                        | 100   | 30      |
      | record       | the list says an instance leaves                        | 100   | 0       |
      | record       | an upstream crashes                                     | 90    | 30      |
      | record       | a sidecar falls silent                                  | 90    | 30      |
      | record       | the key-value service goes down                         | 100   | 0       |
      | keyed record | nothing                                                 | 100   | 0       |
      | keyed record | a sidecar is killed                                     | 60    | 30      |
      | keyed record | a sidecar is restarted                                  | 60    | 30      |
      | keyed record | a sidecar drains                                        | 60    | 60      |
      | keyed record | the key-value service goes down                         | 100   | 0       |

  Scenario Outline: an instance gets no more work after <fault>
    When lookup calls go on while <fault>
    Then no guarantee is violated
    And plain-1 gets no work after <seconds> s

    Examples:
      | fault                            | seconds |
      | a sidecar drains                 | 2.0     |
      | the list says an instance leaves | 2.0     |

  Scenario Outline: an instance is used again after <fault>
    When lookup calls go on while <fault>
    Then no guarantee is violated
    And plain-1 gets work again 1.5 s later

    Examples:
      | fault                                |
      | an upstream goes down and comes back |
      | a sidecar is restarted               |
