Feature: Gateway scheduling, refusals and failover

  Scenario Outline: policy: <pattern>
    When the policy decides the case: <pattern>
    Then the decision is the expected one

    Examples: decisions
      | pattern                                                        |
      | a checkpoint that is written fast is followed by the interval  |
      | a checkpoint that takes long is followed by a longer pause     |
      | a peer that executed the last call is asked first              |
      | peers that failed come after those that were not asked         |
      | a peer that fails after a success is asked last                |
      | items start by due time, then long ones first, whatever the group |
      | an item runs where its group's prompt was read                 |
      | an instance with too old weights is not used                   |
      | an item waits while all slots are taken                        |
      | a slow instance is chosen last, even the group's own           |
      | an item avoids the instance that lost it                       |
      | an assigned instance is preferred to an unassigned one         |
      | items move from a slow instance to free slots                  |
      | no more items move than slots are free                         |
      | an item that just started does not move                        |
      | weights too old for open work are replaced at once             |
      | usable old weights are replaced where their model is idle      |
      | usable old weights are not replaced while work is waiting      |
      | a model with a long backlog gets an extra instance             |
      | idle models start no third concurrent load                     |
      | instances are shared by work, at least one per model           |
      | instances keep their model while its share has room            |
      | an instance that refuses connections is avoided                |
      | an instance is avoided longer after each failure               |
      | the time an instance is avoided is bounded                     |
      | an instance is not avoided for one broken response             |
      | an instance is avoided after three broken responses in a row   |
      | a plain call goes to the instance with the least load          |
      | a seldom caller keeps to one connection                        |
      | a connected instance is preferred to one that was never called |
      | a slow instance is left in spite of its connection             |
      | a busy instance is left in spite of its connection             |
      | an instance with a free slot is kept for its connection |
      | an instance that others fill is left in spite of its connection |
      | of two full instances the one with less work left is chosen |
      | an instance that reports to be slow is left |
      | an old report of being slow counts little |
      | an instance without news counts as loaded as the others |
      | of two instances full of own calls the one with less work left |
      | own calls in a report don't count twice |
      | what was sent since a report counts |
      | the own zone is preferred |
      | two long items where one fits |
      | two long items at two instances |
      | a short item beside a long one |
      | a long item after another's end |
      | items where the memory isn't known |
      | items that don't tell what they need |
      | a long item where others use the memory |
      | a long item where others used the memory long ago |
      | an item that needs more than there is runs alone |
      | an instance that alone has enough for a long item |
      | an instance that a long item waits for |
      | the margin without experience |
      | the margin after exact hints |
      | the margin after poor hints |
      | reports while nothing runs |
      | reports while an item waits for memory |
      | reports of instances that don't tell |
      | seldom callers spread over the instances                       |
      | without any instance a call is refused at once                 |
      | a call waits for an instance that is avoided for a while       |
      | a call is refused at once if all are avoided for too long      |
      | a call waits for an instance at its limit for a short while |
      | a call is refused at once if all are at their limit for longer |
      | permits add up to the limit, 0.7 a second |
      | permits add up to the limit, 40 a second |
      | urgent calls come before bulk work |
      | bulk work alone uses the whole limit |
      | bulk work leaves a permit to an urgent call |
      | urgent calls queue for as long as they may |
      | a refused call that asks again in time is served |
      | the end of a limit counts more than older knowledge |
      | a limit leaves work for some slots only |
      | an instance that takes nothing has a slot to try it |
      | another lifetime has permits of its own |
      | refused callers come back when an instance is expected         |
      | refused callers come back later in a long outage               |
      | refused callers come back soon without an outage               |
      | refused callers come back at different times                   |
      | a split without weights uses all of its upstreams              |
      | a retry goes to another instance                               |
      | a complete group is committed at once                          |
      | an incomplete group waits for the rest                         |
      | a holder with a valid lease starts work                        |
      | a holder that tries to renew during a store outage starts work |
      | a holder that was paused starts no work at once                |
      | a holder whose key was deleted starts no work                  |
      | the gateway with the most CPU tries for a vacant pool first    |

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
      | no listed instance: refused at once                 |
      | no response: unknown outcome before the deadline   |
      | a starting gateway does not refuse calls           |
      | an ended submission is deleted after its retention |
      | the next holder resumes the work of a crashed one  |
      | a delisted sampler gets no work                    |
      | long items never run where only one fits |
      | a change missed by silent watches is known in time |
      | a holder that is cut off from the store notices it |
      | a holder that stays cut off commits without pauses |
      | a holder that stops in a store outage loses no work |
      | a holder that hung while another held the pool loads it anew |
      | a holder whose lease ended for nobody keeps its work |
      | an id too long for the keys of results is refused  |
      | submissions with a hole block no others            |
      | a step runs beside one whose route was removed     |
      | a step goes on when its route returns              |
      | a step without a route keeps no holder busy        |
      | only the holder follows named versions             |
      | an interrupted stream resumes elsewhere            |
      | a truncated stream never looks complete            |

  Scenario Outline: the pool benchmark runs a <day> day under policy <policy>
    When the pool benchmark runs a day: <day>, <policy>
    Then the steps earned at least <share> of their full worth
    And the product's own policy is in place again

    Examples: in virtual time
      | day  | policy   | share |
      | calm | ours     | 1.0   |
      | calm | no moves | 1.0   |

  # An error that left the task of one of these ended the gateway.
  Scenario Outline: an unforeseen error hits one <served>
    When an unforeseen error hits one <served>
    Then it is counted, and the others are served

    Examples: in virtual time
      | served     |
      | call       |
      | item       |
      | order      |
      | entry      |
      | submission |
      | connection |
