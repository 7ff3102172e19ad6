Feature: The link between entry and sidecar

  Scenario Outline: <case> over the <kind> link
    When <case> over the <kind> link
    Then the link behaves as the contract requires

    Examples: in memory
      | kind | case                                   |
      | fake | an order is answered                   |
      | fake | an order is answered in chunks         |
      | fake | the sidecar drains                     |
      | fake | an order is for an older incarnation   |
      | fake | a response is truncated                |
      | fake | a response is lost                     |
      | fake | the upstream is down                   |
      | fake | a late copy follows a settlement       |
      | fake | an answered order is settled           |
      | fake | two orders share a key                 |
      | fake | the entry cancels early                |
      | fake | heartbeats are sent                    |
      | fake | a bundle is pulled where there is none |

    Examples: over loopback
      | kind | case                                   |
      | real | an order is answered                   |
      | real | an order is answered in chunks         |
      | real | the sidecar drains                     |
      | real | an order is for an older incarnation   |
      | real | a response is truncated                |
      | real | a response is lost                     |
      | real | the upstream is down                   |
      | real | a late copy follows a settlement       |
      | real | an answered order is settled           |
      | real | two orders share a key                 |
      | real | the entry cancels early                |
      | real | heartbeats are sent                    |
      | real | a bundle is pulled where there is none |

  Scenario: messages are compatible across versions
    Then the first encoding of heartbeat is still decoded: 94a168a7656e7472792d310390
    And the first encoding of status is still decoded: 9ca175a46c6d2d31a26162c3c2cb3ff800000000000003100000009193a6726f7574657329c3
    And the first encoding of settle is still decoded: 94a173a27231a3617070a16b
    And fields that a newer peer adds are ignored

  Scenario: callers that disconnect free what they occupy
    When three callers compete for one slot and disconnect
    Then the slot, the queue and the engine are free

  Scenario: a graceful shutdown interrupts no call
    When an entry's server is stopped while a call runs
    Then the call gets a complete response with connection close, idle connections are closed
