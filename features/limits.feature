Feature: Limits that instances name
  An instance in trouble names the calls a second that it takes from all
  gateways together. Failure guarded against: together they send more.

  Scenario Outline: <case>
    When instances name a limit: <case>
    Then no bound is broken

    Examples:
      | case                                    |
      | plain calls, equal load                 |
      | plain calls, unequal load               |
      | plain calls, all at one gateway         |
      | plain calls, many gateways, a low limit |
      | plain calls, one instance without limit |
      | plain calls, limits of none at all      |
      | streams                                 |
      | items                                   |
      | scoring calls                           |
      | scoring calls beside plain calls        |
      | load orders and reports                 |
      | each gateway dies and returns           |
      | a gateway dies for good                 |
      | a gateway is cut off                    |
      | gateways join                           |
      | the store is away                       |
      | the limit ends                          |
      | a keeper's machine is gone              |
