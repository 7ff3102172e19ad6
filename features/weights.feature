Feature: New weights reach all samplers
  15 samplers in 3 availability zones; a swap takes 1 s.

  Scenario Outline: weights are announced and <blow>
    When weights are announced and <blow>
    Then all samplers hold them within <seconds> s
    And the store is read at most <reads> times

    Examples:
      | blow                               | seconds | reads |
      | nothing happens                    | 11      | 3     |
      | sidecars are restarted             | 20      | 6     |
      | the store is down for 3 s          | 20      | 15    |
      | the store gives 1 reading a second | 20      | 15    |

  Scenario: waves keep the agreed share serving
    When weights are announced and nothing happens
    Then half of the samplers serve on and no call is cut

  Scenario: an old order is refused
    When a sidecar is offered older orders
    Then it refuses the older version and takes the newer one
    And an old fence is refused whatever its version

  Scenario: an old order is refused after a restart
    When a restarted sidecar is offered older orders
    Then it refuses the older version and takes the newer one
