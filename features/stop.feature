Feature: Planned stops of gateways under calls
  Gateways run as processes. Callers use new and kept connections, send bodies
  that arrive over seconds, read streams and steps, and ask for answers that
  take longer than the grace.

  # Reported: requests that came late in the grace were passed on, and cut at
  # its end without an answer, among them some that may not be repeated.
  Scenario Outline: <case>
    When gateway processes are called while <case>
    Then no call that was read is left without an answer

    Examples:
      | case |
      | one of two gateways stops |
      | a gateway with a long grace stops |
      | two gateways of three stop at once |
      | a gateway stops beside SIGHUP and new configurations |
      | a gateway stops under many calls |
