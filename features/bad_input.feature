Feature: Invalid input gets a clear error and harms no other request

  Scenario Outline: <input>
    When an entry is sent <input>
    Then it responds with <status> <kind>
    And it serves the next request

    Examples: the protocol
      | input                      | status | kind                |
      | a malformed request line   | 400    | malformed-request   |
      | a request that is not HTTP | 400    | malformed-request   |
      | no Host header             | 400    | malformed-request   |
      | an oversized header        | 431    | oversized-head      |
      | an oversized body          | 413    | oversized-body      |
      | a truncated chunk          | 400    | malformed-request   |
      | a bad chunk                | 400    | malformed-request   |
      | an unknown path            | 404    | unknown-path        |

    Examples: callers
      | input                         | status | kind                |
      | an unknown upstream           | 404    | unknown-upstream    |
      | no caller                     | 403    | unknown-caller      |
      | an unknown caller             | 403    | unknown-caller      |
      | a bad timeout                 | 400    | bad-timeout         |
      | a timeout of 0                | 400    | bad-timeout         |
      | a huge timeout                | 200    | -                   |
      | an oversized key              | 400    | bad-idempotency-key |
      | a completion that is not JSON | 400    | bad-json            |
      | a completion without prompt   | 400    | bad-json            |
      | a completion of no tokens     | 400    | bad-json            |
      | a completion by GET           | 405    | method-not-allowed  |

    Examples: trainers
      | input                         | status | kind               |
      | an unknown trainer            | 404    | unknown-trainer    |
      | a step that is not JSON       | 400    | bad-json           |
      | a step with a misspelt field  | 400    | bad-json           |
      | a step for another's upstream | 400    | unknown-upstream   |
      | a step without samples        | 400    | bad-json           |
      | a step by POST                | 405    | method-not-allowed |
      | a pull of an unknown step     | 404    | unknown-step       |
      | a pull with a bad cursor      | 400    | bad-cursor         |
      | a pull with a forged cursor   | 400    | bad-cursor         |
      | a pull with a bad wait        | 400    | bad-parameter      |
      | weights that are not JSON     | 400    | bad-json           |
      | weights of an unknown trainer | 404    | unknown-trainer    |
      | weights of version 0          | 400    | bad-json           |
