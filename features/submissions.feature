Feature: Submissions, their results and load orders, under faults
  Gateways share one store; trainers submit, read and end submissions at any
  of them. Meanwhile gateways are killed, cut off or suspended, the store is
  unavailable or loses replies, and instances crash, cut streams, slow down or
  apply orders late.

  Scenario Outline: seed <seed>, which failed before
    When the submission scenario of seed <seed> runs
    Then it violates no guarantee

    Examples:
      | seed | fault                                                  |
      | 536  | in the test: an end took effect, its response was lost |

  Scenario: many seeds
    Then 200 random submission scenarios violate no guarantee

  Scenario: many seeds of holders that stop while the store replies late
    Then 100 random scenarios of stopping holders violate no guarantee

  # A submission was lost, or an item listed twice, when its route moved.
  Scenario: many seeds of routes that move between two pools
    Then 150 random scenarios of moving routes violate no guarantee

  Scenario: a calm scenario commits what was submitted
    When the submission scenario of seed 3 runs
    Then it violates no guarantee
    And at least 20 results are committed

  Scenario Outline: commits of results overlap: <case>
    When results are committed while <case>
    Then each result is stored once, in one order

    Examples:
      | case                                                |
      | replies arrive late and out of order                |
      | replies are lost                                    |
      | the next holder goes on after a commit without reply |
      | results that are known already are refused          |
      | texts have three bytes a letter                      |
      | a text is larger than a value                        |
      | another submission's keys are too long               |
      | a page has three bytes a letter                      |
      | another submission has another owner                 |
      | another one's record isn't as expected               |

  Scenario Outline: guard alone: <guard>
    When a guard is tested alone: <guard>
    Then the guard holds

    Examples: guards that no random scenario reaches
      | guard                                      |
      | a stream in order becomes a result         |
      | a stream that skips an event is discarded  |
      | too old weights give no events             |
      | a stream resumes after its last event      |
      | a checkpoint of too old weights is ignored |
      | results are committed under the fence      |
      | new work needs a valid lease               |
      | a checkpoint larger than one value is stored whole |
      | a smaller checkpoint leaves nothing of a larger one |
      | a late checkpoint replaces no newer one            |
      | a checkpoint of an earlier build is read |

  # Each slow reader of a step cost a gateway three copies of its results.
  Scenario Outline: <count> slow readers from <positions> positions
    When <count> callers read nothing of a step, from <positions> positions
    Then <pages> pages are held and <refused> callers are refused

    Examples:
      | count | positions | pages | refused |
      | 50    | 1         | 1     | 0       |
      | 50    | 9         | 9     | 0       |
      | 12    | 1000      | 10    | 2       |

  # A refusal promises that nothing runs. An attempt that may have stored the
  # submission was forgotten once a later one was refused.
  Scenario Outline: stored with replies <store>, through peers <peers>
    When a submission is stored, the store's replies <store>, peers' <peers>
    Then the outcome is <outcome>

    Examples:
      | store        | peers        | outcome  |
      | done         | away         | stored   |
      | refused      | away         | not-sent |
      | refused      | refused      | not-sent |
      | refused      | done         | stored   |
      | lost refused | away         | unknown  |
      | lost refused | refused      | unknown  |
      | lost done    | away         | stored   |
      | refused      | lost refused | unknown  |
      | refused      | lost away    | unknown  |
      | refused      | lost done    | stored   |
