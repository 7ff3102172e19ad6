Feature: Start of a gateway
  When all gateways were killed, callers go on calling while they start again.
  The callers' port is open before the imports, so that calls wait.

  Scenario: a caller that connects during a start is served
    When a caller connects as soon as a launched gateway listens
    Then it was connected before the gateway had started
    And it gets a complete response

  Scenario: little is loaded before the port is open
    When the modules are listed that load before the port is open
    Then they are few, and none of them is a library or our own
