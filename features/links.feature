Feature: The link between entry and sidecar

  Scenario Outline: <row> over the <kind> link
    When <row> over the <kind> link
    Then the link does what the contract says

    Examples: in memory
      | kind | row                                    |
      | fake | an order is answered                   |
      | fake | an order is answered in parts          |
      | fake | the sidecar drains                     |
      | fake | an order is for an older incarnation   |
      | fake | an answer breaks off                   |
      | fake | an answer is lost                      |
      | fake | the upstream is down                   |
      | fake | a late copy follows a settlement       |
      | fake | an answered order is settled           |
      | fake | two orders share a key                 |
      | fake | the entry leaves early                 |
      | fake | heartbeats are sent                    |
      | fake | a bundle is pulled where there is none |

    Examples: over loopback
      | kind | row                                    |
      | real | an order is answered                   |
      | real | an order is answered in parts          |
      | real | the sidecar drains                     |
      | real | an order is for an older incarnation   |
      | real | an answer breaks off                   |
      | real | an answer is lost                      |
      | real | the upstream is down                   |
      | real | a late copy follows a settlement       |
      | real | an answered order is settled           |
      | real | two orders share a key                 |
      | real | the entry leaves early                 |
      | real | heartbeats are sent                    |
      | real | a bundle is pulled where there is none |

  Scenario: messages are understood across versions
    Then the first encoding of heartbeat is still read: 94a168a7656e7472792d310390
    And the first encoding of status is still read: 9ca175a46c6d2d31a26162c3c2cb3ff800000000000003100000009193a6726f7574657329c3
    And the first encoding of settle is still read: 94a173a27231a3617070a16b
    And fields that a newer peer adds are skipped

  Scenario: a caller that goes away frees what it holds
    When three callers wait for one slot and go away
    Then the slot, the queue and the engine are free

  Scenario: a graceful shutdown cuts no call
    When an entry is stopped while a call runs
    Then the call is answered whole and told to close, idle ones are closed
