Feature: Logs are bounded and wait for nobody

  Scenario: nobody reads for a while
    When 400 lines of a kilobyte go to a reader that is late
    Then the writer did not wait, and dropped and counted the rest
    And what was kept is read whole, in order

  Scenario: a busy second
    When 1000 lines of a kind come in each of two seconds
    Then each second writes 300 and counts what it leaves out

  Scenario: each refusal, give-up and lost attempt has its line
    When gateways meet refusals, doubts, losses and a dead holder
    Then their lines say what is needed to find each cause

  Scenario Outline: the walk from <id>
    When a small log is walked from <id>
    Then the walk shows <lines>

    Examples:
      | id | lines                                                      |
      | i1 | role_taken, submission_loaded, item_started, item_finished |
      | s2 | role_taken, submission_ended                               |
      | i9 | no line names i9                                           |

  Scenario: a gateway answers its callers before it loads its exporter
    When a gateway's modules are loaded by themselves
    Then nothing of OpenTelemetry or Prometheus came with them

  Scenario: durations from before the exporter
    When 3 durations are observed, an exporter opens, and 2 follow
    Then the exporter tells of 5
