Feature: Few gateways watch the store and inform the others
  The store's calls are limited and priced, so they must not grow with the
  number of gateways. A gateway that follows another one still knows each
  change in time: it notices a source that is gone, suspended or cut off.

  Scenario Outline: decision: <pattern>
    When the watch relay decides: <pattern>
    Then the decision is the expected one

    Examples:
      | pattern                                                           |
      | all gateways of a small fleet watch the store                     |
      | a fleet of 58 has six sources                                     |
      | a fleet of 410 has 26 sources                                     |
      | a silent gateway is replaced as a source                          |
      | a source without contact is left but not replaced                 |
      | followers spread over the sources                                 |
      | a follower of a history gets the changes since                    |
      | a follower of another history gets the changes since its revision |
      | a follower that knows too little gets a snapshot                  |
      | a listing may have missed a key that a follower knows             |
      | a follower that knows more waits                                  |

  Scenario Outline: twenty gateways: <case>
    When twenty gateways run the case: <case>
    Then the case passes

    Examples: in virtual time
      | case                                    |
      | only the sources watch the store        |
      | a change is in force everywhere at once |
      | a storm of changes costs few calls      |
      | all sources are killed                  |
      | all sources are suspended               |
      | the store responds to no source         |
      | the store refuses a source              |
      | the store refuses a source for long     |
      | the store is unavailable to all         |
      | a submission waits for the store        |
      | all gateways restart together           |

  Scenario Outline: seed <seed>, which failed before
    When the watch scenario of seed <seed> runs
    Then it violates no guarantee

    Examples:
      | seed | fault                                                        |
      | 0    | an outage of a source's own was taken for one of the store   |
      | 5    | a source trusted a watch from before it was cut off          |
      | 15   | a source had missed a key that its follower knew             |
      | 20   | in the test: the fake's watch outlived a dropped history     |
      | 25   | a poll went through a peer that was cut off too              |
      | 29   | an instance was kept too long after a cut of the gateway     |
      | 1348 | a source's pause and its lost contact added up to over 2 s   |
      | 3056 | in the test: a waiting poll outlived a dropped history       |
      | 7377180 | a dropped history was taken for an outage                 |

  Scenario: many seeds
    Then 25 random watch scenarios violate no guarantee
