Feature: Submissions, their results and orders, under faults
  Some gateways over one store; trainers submit, read and end at any of them
  while gateways die, are turned away or stand still, the store is away or
  loses replies, and instances crash, break off, slow down or apply orders
  late.

  Scenario Outline: seed <seed>, in which a promise once broke
    When the tale of seed <seed> runs
    Then the tale keeps every promise

    Examples:
      | seed | fault                                             |
      | 536  | the test: an end took effect, its answer was lost |

  Scenario: many seeds
    Then 200 random tales keep every promise

  Scenario: a calm tale lists what was submitted
    When the tale of seed 3 runs
    Then the tale keeps every promise
    And the tale lists at least 20 results

  Scenario Outline: alone, <guard>
    When a guard is tried alone: <guard>
    Then the guard holds

    Examples: guards that no tale reaches
      | guard                                 |
      | a stream in order is a result         |
      | a stream that skips an event is void  |
      | weights under the bound give nothing  |
      | a stream goes on after its last event |
      | a checkpoint of older weights is left |
      | results are written under the fence   |
      | new work needs a lease that holds     |
