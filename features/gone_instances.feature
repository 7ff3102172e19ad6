Feature: A keyed retry after its instance left the list

  Scenario: the entry saw the instance go
    When a keyed record is retried after its instance went
    Then the record ran once

  Scenario: the entry is younger than the loss
    When a keyed record is retried by an entry younger than the loss
    Then the record ran once
