Feature: Random interleavings of calls and faults
  Two entries, three instances, 24 calls of all kinds, link faults, kills,
  restarts, a lagging list and outages at random moments.

  Scenario Outline: seed <seed>, in which a promise once broke
    When the interleaving of seed <seed> runs
    Then the interleaving keeps every promise

    Examples:
      | seed | fault                                                 |
      | 252  | a lost attempt, then a refusal, was called not-run    |
      | 2401 | a lost attempt, then a refusal, was called not-run    |
      | 2640 | a lost attempt, then a refusal, was called not-run    |
      | 2861 | a lost attempt, then a refusal, was called not-run    |
      | 3854 | a lost attempt, then a refusal, was called not-run    |
      | 6192 | sidecar and entry restarted within 10 s of the start  |

  Scenario: many seeds
    Then 200 random interleavings keep every promise
