Feature: Logs are bounded and never block

  Scenario: a slow reader of the log
    When 400 lines of a kilobyte are written to a pipe that is read late
    Then the writer did not block, and dropped and counted the other lines
    And the buffered lines are read complete and in order

  Scenario: more lines of an event than allowed per second
    When 1000 lines of an event are logged in each of two seconds
    Then 300 are written in each second and the others are counted

  Scenario: refusals, abandoned calls and lost attempts are logged
    When gateways run cases with refusals, unknown outcomes and a crash
    Then each log line has the fields that identify its cause

  Scenario Outline: pistachioctl trace <id>
    When a small log is traced from <id>
    Then the trace shows <lines>

    Examples:
      | id | lines                                                      |
      | i1 | role_taken, submission_loaded, item_started, item_finished |
      | s2 | role_taken, submission_ended                               |
      | r1 | stream_attempt_started, stream_origin_decided, call_ended  |
      | r2 | stream_attempt_started, stream_origin_decided, call_ended  |
      | i9 | no log line mentions i9                                    |

  Scenario: a gateway serves callers before it loads its exporter
    When the gateway's modules are imported in a new process
    Then neither OpenTelemetry nor Prometheus is imported

  Scenario: durations observed before the exporter is loaded
    When 3 durations are observed before an exporter starts and 2 after
    Then the exporter reports 5 durations
