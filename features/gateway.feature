Feature: Gateway scheduling, refusals and failover

  Scenario Outline: policy: <pattern>
    When the policy decides the case: <pattern>
    Then the decision is the expected one

    Examples: decisions
      | pattern                                                            |
      | two open steps: the one due first, its groups in order, long first |
      | a group's next item stays where its prompt was read                |
      | weights too old for the step are no place                          |
      | all places taken                                                   |
      | a slow instance is the last choice, also when it is the group's    |
      | an instance that lost the item is not asked again at once          |
      | one kept up to date goes before one that happens to be             |
      | items leave a slow instance for free places                        |
      | no more leave than there are places                                |
      | an item that just began stays                                      |
      | open work needs newer weights: load at once                        |
      | usable weights load when their model is idle                       |
      | nothing loads while work could use the places                      |
      | work that waits long takes a further instance                      |
      | no third load for idle models                                      |
      | places follow the work, each model has one                         |
      | instances keep their model while its share has room                |
      | an instance that refuses connections is left alone                 |
      | longer each time                                                   |
      | and not for ever                                                   |
      | one broken answer is no reason                                     |
      | three in a row are                                                 |
      | a plain call goes where least waits                                |
      | a second try goes elsewhere                                        |
      | a whole group is written at once                                   |
      | a part of a group waits for the rest                               |
      | a holder whose lease holds starts work                             |
      | so does one that asks a store that is away                         |
      | one that stood still hears first what happened                     |
      | one whose key went starts nothing                                  |
      | the strongest gateway tries for a vacant pool first                |

  Scenario Outline: gateway fleet: <case>
    When three gateways run the case: <case>
    Then the case passes

    Examples: in virtual time
      | case                                               |
      | a failed sampler is not retried all the time       |
      | a holder keeps its role while the store refuses it |
      | a submission waits for a short store outage to end |
      | a refused submission never runs                    |
      | an unknown outcome is not reported as refused      |
      | calls meet their target beside a slow instance     |
      | no reachable instance: refused before the deadline |
      | no response: unknown outcome before the deadline   |
      | a starting gateway does not refuse calls           |
      | an ended submission is deleted after its retention |
      | the next holder resumes the work of a crashed one  |
      | a delisted sampler gets no work                    |
      | a change missed by silent watches is known in time |
      | only the holder follows named versions             |
      | an interrupted stream resumes elsewhere            |
      | a truncated stream never looks complete            |

  Scenario Outline: the pool benchmark runs a <day> day under policy <policy>
    When the pool benchmark runs a day: <day>, <policy>
    Then the steps earned at least <least> of their full score
    And the product's own policy is in place again

    Examples: in virtual time
      | day  | policy   | least |
      | calm | ours     | 1.0   |
      | calm | no moves | 1.0   |
