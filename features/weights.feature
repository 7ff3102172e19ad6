Feature: New weights reach all samplers
  15 samplers in 3 availability zones; a swap takes 1 s.

  Scenario Outline: weights are announced and <fault>
    When weights are announced and <fault>
    Then all samplers hold them within <seconds> s
    And the store is read at most <reads> times

    Examples:
      | fault                              | seconds | reads |
      | nothing happens                    | 11      | 3     |
      | sidecars are restarted             | 20      | 6     |
      | the store is down for 3 s          | 20      | 15    |
      | the store serves 1 read per second | 20      | 15    |

  Scenario: rollout waves keep the minimum share of samplers serving
    When weights are announced and nothing happens
    Then at least half of the samplers keep serving and every call is done

  Scenario: an outdated order is refused
    When a sidecar is offered older orders
    Then it refuses the older version and accepts the newer one
    And an order with an older fence is refused whatever its version

  Scenario: an outdated order is refused after a restart
    When a restarted sidecar is offered older orders
    Then it refuses the older version and accepts the newer one
