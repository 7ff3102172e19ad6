Feature: Start and stop of a gateway
  When all gateways were killed, callers go on calling while they start again.
  The callers' port is open before the imports, so that calls wait.

  Scenario: a caller that connects during a start is served
    When a caller connects as soon as a launched gateway listens
    Then it was connected before the gateway had started
    And it gets a complete response

  Scenario: little is loaded before the port is open
    When the modules are listed that load before the port is open
    Then they are few, and none of them is a library or our own

  # Series of signals end a process whose handler is not, or no longer, there:
  # callers lose requests that it has read.
  Scenario Outline: <signal> does not end it early
    When a gateway gets <signal>
    Then it goes on to its end

    Examples:
      | signal                         |
      | SIGHUP while it starts         |
      | a second SIGTERM while it drains |
