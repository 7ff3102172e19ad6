Feature: A retry with an idempotency key after its instance left the list

  Scenario: the entry saw the instance leave
    When a keyed record is retried after its instance left
    Then the record ran once

  Scenario: the entry started after the loss
    When a keyed record is retried by an entry started after the loss
    Then the record ran once
