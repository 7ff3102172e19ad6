Feature: Full upstreams
  A crowd brings more calls than the instances run. Failure guarded against:
  each call becomes several at the instances, calls are held until their
  deadlines, and nobody is told when to come back.

  Scenario Outline: a crowd: <scenario>
    When callers send a crowd of calls: <scenario>
    Then the crowd breaks no bound

    Examples:
      | scenario                                 |
      | more calls than the instances run        |
      | far more calls than the instances run    |
      | instances without a queue or figures     |
      | as many calls as the other instances run |
      | refused callers come back once           |
      | the usual calls                          |

  Scenario Outline: an instance with 4 slots: <load>
    Failure guarded against: offers to an instance that said it is full.

    Given <calls> of our calls at an instance with 4 slots
    When it <says> and <elapsed> s pass
    Then the instance is <state>

    Examples:
      | load                            | calls | says                 | elapsed | state  |
      | nothing known                   | 3     | says nothing         | 0.0     | open   |
      | all that may run and wait       | 6     | says nothing         | 0.0     | closed |
      | figures with a free slot        | 1     | reports 3,0          | 0.1     | open   |
      | figures with room to wait       | 1     | reports 4,1          | 0.1     | open   |
      | figures at its queue            | 1     | reports 4,2          | 0.1     | closed |
      | figures above its queue         | 1     | reports 4,9          | 0.1     | closed |
      | old figures                     | 1     | reports 4,9          | 0.6     | open   |
      | rejected a moment ago           | 1     | rejects              | 0.01    | closed |
      | rejected, as many as then       | 3     | rejects              | 0.2     | closed |
      | rejected, time has passed       | 3     | rejects              | 0.8     | open   |
      | rejected with a shorter queue   | 1     | rejects with 4,0     | 0.2     | closed |

  Scenario Outline: a new call <case>
    Failure guarded against: calls held that can't be served in time.

    Given <ahead> calls ahead at <rate> calls a second, <took> s each
    When a call comes with <remaining> s left, target 0.4 s, in a <queue> queue
    Then the decision is that it <answer>

    Examples:
      | case                               | ahead | rate | took | remaining | queue    | answer     |
      | waits its turn                     | 9     | 100  | 0.1  | 2.0       | new      | waits      |
      | of a burst is served late          | 99    | 100  | 0.1  | 2.0       | new      | waits      |
      | of a burst would be too late       | 149   | 100  | 0.1  | 2.0       | new      | is refused |
      | has no time left for its run       | 19    | 100  | 0.9  | 1.0       | new      | is refused |
      | of a lasting crowd is on target    | 19    | 100  | 0.1  | 2.0       | standing | waits      |
      | of a lasting crowd would be late   | 29    | 100  | 0.1  | 2.0       | standing | is refused |
      | waits a little where runs are slow | 4     | 100  | 0.9  | 2.0       | standing | waits      |
      | waits where nothing is known       | 99    | 0    | 0.1  | 2.0       | new      | waits      |

  Scenario Outline: retries: <case>
    Failure guarded against: second attempts without bound under pressure.

    When <calls> calls bring <retries> second attempts in <time> s
    Then <granted> are granted, and <stuck> to calls that may have run

    Examples:
      | case             | calls | retries | time | granted | stuck |
      | the reserve      | 0     | 50      | 0.0  | 5       | 5     |
      | a share of calls | 20    | 50      | 0.0  | 5       | 5     |
      | time refills it  | 0     | 50      | 3.0  | 8       | 5     |
      | few              | 0     | 2       | 0.0  | 2       | 8     |

  Scenario Outline: shares: <case>
    Failure guarded against: one organisation or priority takes all the room,
    or room stays unused.

    Given waiting calls by priority and organisation: <waiting>
    When room for <room> calls comes, with weights <weights>
    Then they go to <taken>

    Examples:
      | case                              | waiting           | room | weights | taken         |
      | urgent ones first                 | 0a9 1a9           | 5    |         | 0a5           |
      | a floor for the least urgent      | 0a200 2a99        | 100  |         | 0a96 2a4      |
      | no floor where nothing else waits | 2a9               | 5    |         | 2a5           |
      | equal shares                      | 1a90 1b90         | 60   |         | 1a30 1b30     |
      | a crowd doesn't hold up others    | 1a900 1b5         | 20   |         | 1a15 1b5      |
      | unused room is lent               | 1a90 1b10 1c10    | 60   |         | 1a40 1b10 1c10 |
      | shares by weight                  | 1a90 1b90         | 60   | b=2     | 1a20 1b40     |
      | unused room is lent by weight     | 1a90 1b90 1c5     | 65   | b=2     | 1a20 1b40 1c5 |

  Scenario Outline: organisations at full instances: <case>
    When callers of several organisations fill the instances: <case>
    Then each organisation gets its share

    Examples:
      | case                                           |
      | two organisations get equal shares             |
      | an organisation within its share is served     |
      | lent room returns within a second              |
      | urgent calls go first, the others keep a floor |
      | urgent calls within the room are all served    |

  Scenario Outline: <ahead> calls go before a call of <call>
    Failure guarded against: a refusal by the whole queue, not by the share.

    Given waiting calls by priority and organisation: <waiting>
    Then <ahead> calls go before one of <call>

    Examples:
      | waiting      | call | ahead |
      | 1a9          | 1a   | 9     |
      | 1a9          | 1b   | 1     |
      | 1a9 1b3 1c9  | 1b   | 11    |
      | 1a9          | 0a   | 0     |
      | 0a9 1a9      | 1a   | 18    |
      | 0a900 1a1    | 1a   | 39    |
      | 0a900 1a1    | 1b   | 39    |

  Scenario: Lent room returns with the next calls
    Given waiting calls by priority and organisation: 1a90
    And room for 40 calls came
    When calls of 1b90 come and room for 20 calls
    Then they go to 1a10 1b10

  Scenario: An organisation's calls go by deadline
    When calls with the deadlines 3.0 1.0 2.0 wait
    Then they go in the order 1.0 2.0 3.0
