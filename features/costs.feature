Feature: What calls cost, and the choice of instances by it

  # Failure guarded against: one long call, an old one or a waiting time
  # passes for what such calls cost.
  Scenario Outline: the cost of <case>
    When the cost is estimated of <case>
    Then the estimate is the expected one

    Examples:
      | case                                                      |
      | an upstream that was never called                         |
      | a class that was seen                                     |
      | a new class of a known route                              |
      | a new route of a known upstream                           |
      | another upstream                                          |
      | two classes of a route                                    |
      | a class of two calls is between them and its route        |
      | a class that wasn't seen for long is near its route again |
      | a single class keeps its estimate                         |
      | calls that may have waited                                |
      | many classes                                              |
      | the age of a class                                        |
      | the age of what a new class starts from                   |
      | the age of nothing                                        |
      | bodies of 1,000 and 1,023 bytes                           |

  Scenario Outline: costs with <property>
    Then 60 series of costs with <property> are estimated well

    Examples:
      | property         |
      | a heavy tail     |
      | a change of cost |
      | ageing           |
      | a new class      |

  # Failure guarded against: the choice by costs is worse than the one by mean
  # durations, or opens more connections.
  Scenario Outline: the choice at <usage> % of what the instances can do
    When old and new choice are compared at <usage> % of what there is
    Then the new one's mean is at most <mean> % of the old one's
    And the new one's p99 is at most <p99> % of the old one's
    And the new one's connections is at most <connections> % of the old one's

    Examples:
      | usage | mean | p99 | connections |
      | 10    | 100  | 100 | 70          |
      | 80    | 80   | 90  | 80          |
