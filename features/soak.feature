Feature: A short soak of real processes
  Three gateways as processes of their own, a proxy before the store, faults
  from outside. Long soaks are run by hand: python -m bench.soak.

  Scenario: one seed
    When gateways are soaked for 6 s with seed 7
    Then what callers and instances saw keeps every promise
