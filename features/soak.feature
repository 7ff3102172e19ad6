Feature: Short soak test of gateway processes
  Three gateways run as processes, each behind a proxy to the store, under
  faults injected from outside. For longer runs: python -m bench.soak.

  Scenario: one seed
    When gateways are soaked for 6 s with seed 7
    Then what callers and instances saw violates no guarantee

  Scenario: a soak that is killed leaves no gateway behind
    When a soak is killed while its gateways run
    Then they have ended within 2 s

  Scenario: one seed, faults in series, callers that keep their connections
    When gateways are soaked in series for 6 s with seed 11
    Then what callers and instances saw violates no guarantee
