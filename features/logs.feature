Feature: Logs are bounded and wait for nobody

  Scenario: nobody reads for a while
    When 400 lines of a kilobyte go to a reader that is late
    Then the writer did not wait, and dropped and counted the rest
    And what was kept is read whole, in order

  Scenario: a busy second
    When 1000 lines of a kind come in each of two seconds
    Then each second writes 300 and counts what it leaves out
