Feature: Instances that announce that they are leaving
  An instance may say in its responses that it is leaving. The gateway that
  received one sends it nothing new for the rest of its lifetime, whatever the
  list says and whether or not the gateway has contact to the store.

  Scenario Outline: <path>, contact <contact>, listed <listed>
    When <path> are made, with contact <contact> and the instance <listed>
    Then nothing new reaches the leaving instance

    Examples:
      | path                    | contact | listed   |
      | plain calls             | full    | ready    |
      | plain calls             | full    | draining |
      | plain calls             | full    | gone     |
      | plain calls             | none    | ready    |
      | plain calls             | none    | draining |
      | plain calls             | none    | gone     |
      | streams                 | full    | ready    |
      | streams                 | full    | draining |
      | streams                 | full    | gone     |
      | streams                 | none    | ready    |
      | streams                 | none    | draining |
      | streams                 | none    | gone     |
      | items and scoring calls | full    | ready    |
      | items and scoring calls | full    | draining |
      | items and scoring calls | full    | gone     |
      | items and scoring calls | none    | ready    |
      | items and scoring calls | none    | draining |
      | items and scoring calls | none    | gone     |

  Scenario Outline: <path>, registered again: <lifetime>
    When <path> are made after it registered again: <lifetime>
    Then nothing new reaches the leaving instance

    Examples:
      | path                    | lifetime                  |
      | plain calls             | the next lifetime is used |
      | plain calls             | the same one stays out    |
      | streams                 | the next lifetime is used |
      | streams                 | the same one stays out    |
      | items and scoring calls | the next lifetime is used |
      | items and scoring calls | the same one stays out    |

  Scenario Outline: <case>
    When an instance announces that it leaves: <case>
    Then nothing new reaches the leaving instance

    Examples:
      | case                               |
      | all instances of an upstream leave |
      | items that run there go on         |
      | no weights are loaded there        |
