Feature: Calls while processes die, leave or stop
  Two entries send 200 calls over 4 s to three instances; the blow falls
  after the first 100.

  Scenario Outline: <kind> calls while <blow>
    When <kind> calls go on while <blow>
    Then no promise breaks
    And at least <share> % are done
    And there are at most <retries> retries

    Examples:
      | kind         | blow                                          | share | retries |
      | lookup       | nothing                                       | 100   | 0       |
      | lookup       | a sidecar is killed                           | 98    | 30      |
      | lookup       | a sidecar is restarted                        | 98    | 30      |
      | lookup       | a sidecar drains                              | 100   | 30      |
      | lookup       | the list says an instance leaves              | 100   | 0       |
      | lookup       | an upstream crashes                           | 98    | 30      |
      | lookup       | an upstream becomes 10 times slower           | 100   | 0       |
      | lookup       | a sidecar falls silent                        | 98    | 30      |
      | lookup       | the key-value service goes down               | 100   | 0       |
      | lookup       | an upstream crashes and a sidecar drains      | 98    | 30      |
      | lookup       | the service goes down and a sidecar is killed | 98    | 30      |
      | record       | nothing                                       | 100   | 0       |
      | record       | a sidecar is killed                           | 90    | 30      |
      | record       | a sidecar is restarted                        | 90    | 30      |
      | record       | a sidecar is restarted twice                  | 90    | 30      |
      | record       | a sidecar drains                              | 100   | 30      |
      | record       | the list says an instance leaves              | 100   | 0       |
      | record       | an upstream crashes                           | 90    | 30      |
      | record       | a sidecar falls silent                        | 90    | 30      |
      | record       | the key-value service goes down               | 100   | 0       |
      | keyed record | nothing                                       | 100   | 0       |
      | keyed record | a sidecar is killed                           | 60    | 30      |
      | keyed record | a sidecar is restarted                        | 60    | 30      |
      | keyed record | a sidecar drains                              | 60    | 60      |
      | keyed record | the key-value service goes down               | 100   | 0       |

  Scenario Outline: an instance that <blow> gets no more work
    When lookup calls go on while <blow>
    Then no promise breaks
    And plain-1 gets no work after <seconds> s

    Examples:
      | blow                             | seconds |
      | a sidecar drains                 | 2.0     |
      | the list says an instance leaves | 2.0     |

  Scenario Outline: an instance is used again after <blow>
    When lookup calls go on while <blow>
    Then no promise breaks
    And plain-1 gets work again 1.5 s later

    Examples:
      | blow                                  |
      | an upstream goes down and comes back  |
      | a sidecar is restarted                |
