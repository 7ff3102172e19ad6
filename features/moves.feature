Feature: Open submissions whose route or model moves to another pool
  A version of the configuration reaches the gateways one after the other. At
  any time one pool owns a submission, and only its holder lists results.

  # Lost, listed twice, or run at a service that the route had left.
  Scenario Outline: an open submission moves: <case>
    When a route moves under an open submission, seeds 1 to 4: <case>
    Then each item is listed once, where the configuration sends it

    Examples:
      | case                                              |
      | the model moves to a pool that knew others        |
      | route and model move to a new pool                |
      | the route moves between pools with the same model |
      | the route moves away and back, twice              |
      | the former owner learns of the move late          |
      | the next owner learns of the move late            |
      | the former owner's holder is killed               |
      | the next owner's holder is killed                 |
      | replies to claims are lost                        |
      | no pool of the model is left                      |

  # A gateway behind the others took a submission back, or two pools ran it.
  Scenario Outline: <pool> at version <at>, route to <route>, model at <model>, owner <owner>, loaded <loaded>
    When the holder of <pool> at version <at> has the route to <route>, the model at <model>
    Then it decides, with owner <owner> and loaded <loaded>: <step>

    Examples:
      | pool | at | route | model | owner | loaded | step         |
      | a    | 3  | a     | a     | a-3   | no     | run          |
      | a    | 3  | a     | ab    | a-3   | yes    | keep, own    |
      | b    | 3  | a     | ab    | a-3   | no     | keep         |
      | a    | 4  | b     | ab    | a-3   | no     | keep         |
      | a    | 4  | b     | ab    | a-3   | yes    | keep, moving |
      | b    | 4  | b     | ab    | a-3   | no     | claim        |
      | b    | 4  | b     | b     | a-3   | no     | claim        |
      | b    | 3  | b     | b     | a-3   | no     | keep         |
      | a    | 3  | a     | a     | b-4   | yes    | release, moving |
      | a    | 3  | a     | a     | b-4   | no     | keep         |
      | b    | 3  | a     | ab    | b-4   | no     | keep         |
      | b    | 4  | b     | ab    | b-4   | no     | run          |
      | a    | 5  | a     | ab    | b-4   | no     | claim        |
      | b    | 5  | a     | ab    | b-4   | yes    | keep, moving |
      | a    | 4  | ab    | ab    | a-3   | yes    | keep, own    |
      | b    | 4  | ab    | ab    | a-3   | no     | keep         |
      | a    | 4  | none  | ab    | a-3   | yes    | keep, own    |
      | b    | 4  | none  | ab    | a-3   | no     | keep         |
      | z    | 4  | none  | none  | a-3   | no     | claim        |
      | z    | 4  | b     | none  | a-3   | no     | claim        |
      | z    | 4  | b     | b     | a-3   | no     | keep         |

  Scenario: a split route divides submissions by its weights, and they stay
    Then pools with the weights 3 and 1 get three and one of four submissions
    And a submission stays with its pool when the weights change

  Scenario: an earlier build's submission is at the first pool with its model
    Then the pool of a head without owner is the first that serves its model
