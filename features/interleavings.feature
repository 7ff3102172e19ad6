Feature: Random interleavings of calls and faults
  Two entries, three instances, 24 calls of all kinds, link faults, kills,
  restarts, a lagging instance list and outages at random times.

  Scenario Outline: seed <seed>, which once violated a guarantee
    When the interleaving of seed <seed> runs
    Then the interleaving violates no guarantee

    Examples:
      | seed | fault                                                |
      | 252  | a lost attempt, then a refusal, was reported not-run |
      | 2401 | a lost attempt, then a refusal, was reported not-run |
      | 2640 | a lost attempt, then a refusal, was reported not-run |
      | 2861 | a lost attempt, then a refusal, was reported not-run |
      | 3854 | a lost attempt, then a refusal, was reported not-run |
      | 6192 | sidecar and entry restarted within 10 s of the start |

  Scenario: many seeds
    Then 200 random interleavings violate no guarantee
