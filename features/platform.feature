Feature: Responses and documents on the users' platform

  Scenario Outline: a sampler sends <response>
    When a sampler sends <response>
    Then the gateway reads the expected result

    Examples:
      | response                                   |
      | a complete response                        |
      | two responses on one connection            |
      | a second response to one request           |
      | a response to another request              |
      | a truncated body                           |
      | a response without length                  |
      | a response without length, then a reset    |
      | bytes that are not HTTP                    |
      | a 421, as another instance has its address |
      | a 200 that says it is leaving |
      | a 500 that says it is leaving |
      | a refusal that says it is leaving |
      | a stream that says it is leaving |
      | a 421 of another one that is leaving |
      | a 200 that says it is not leaving |
      | an order's response that says it is leaving |
      | a report that says it is leaving |
      | a 200 that names a limit |
      | a refusal that names a limit |
      | a 421 of another one that names a limit |
      | a limit that is not a number |
      | a limit below zero |
      | a 200 that reports a load |
      | a 200 that reports a load and a pace |
      | a 200 that reports a load of five figures |
      | a 421 of another one that reports a load |
      | two loads that can't be read |
      | a load of two figures |
      | an order's response that names a limit |
      | a report that names a limit |
      | a report that tells of its memory |
      | a report whose memory can't be read |
      | a 503 that says the request did not run    |
      | a 500 response                             |
      | a stream                                   |
      | a stream whose weights change              |
      | a stream of no events                      |
      | an empty response in place of a stream     |
      | a comment between events                   |
      | an event without a number                  |
      | a stream truncated within an event         |
      | a stream that ends within an event         |
      | an order's response with the status 600    |
      | an order's response with the status 000    |
      | an order's response that is a call's       |
      | a report that is a call's response         |
      | a report with the status 600               |
      | a refusal with the status 600              |
      | a weight version of 31 digits              |
      | a weight version of 5000 digits            |
      | a weight version of other digits           |
      | an event whose weight version can't be read |
      | an event's number of 5000 digits           |
      | a 204 with a body                          |
      | a 304 with a body                          |
      | nothing, as its port is closed             |

  # Bytes that are no answer may come until the gateway closes: none of them
  # may fill its memory or hold up the call for its whole time.
  Scenario Outline: a sampler sends without end <response>
    When a sampler sends <response>
    Then the gateway reads the expected result

    Examples:
      | response                            |
      | a head without end                  |
      | a header without end                |
      | a status line without end           |
      | informational responses without end |
      | a body without end or length        |
      | chunks without end                  |
      | a refusal without end               |
      | an event without end                |
      | an order's response without end     |
      | a report without end                |

  Scenario: a request keeps its end-to-end headers
    When a sampler sends a complete response
    Then the sampler received the caller's request

  Scenario Outline: <input> is read
    When <input> is read from the platform
    Then it is decoded as expected

    Examples:
      | input                                 |
      | a registration that is ready          |
      | a registration that is draining       |
      | a registration in an unknown state    |
      | a registration of invalid bytes       |
      | a registration without address        |
      | a registration with text for slots    |
      | the longest prefix                    |
      | a prefix of another host              |
      | a route of an unknown kind            |
      | a route that is split                 |
      | a submission                          |
      | the tokens of an item                 |
      | tokens of an item without a prompt    |
      | a submission that is not JSON         |
      | a submission with a bad body          |
      | an item with a header outside Latin-1 |
      | an item with a line break in a header |
      | an item with a Host                   |
      | an item with a space in its path      |
      | an item whose scoring call has a bad path |
      | an item with a header in Latin-1      |
      | a submission that is nested too deeply |
      | a step that is too large to store     |
      | a request for results                 |
      | a request for results after no number |
      | a request to end                      |
      | another path                          |
      | settings                              |
      | settings in JSON                      |
      | settings in JSON without a node       |
      | settings in a YAML mapping with braces|
      | settings without a node               |
      | settings that are not YAML            |

  # An entry that could not be used ended each gateway that called it, and the
  # steps of a pool stood still while one holder after the other ended.
  Scenario Outline: another writer lists an instance with <entry>
    When another writer lists an instance with <entry>
    Then the entry names no instance

    Examples:
      | entry |
      | an address of characters that could not be read |
      | an address with a label of 70 letters |
      | an address of dots |
      | an address without host |
      | an address with a zero byte |
      | an address without port |
      | a port above the largest |
      | a negative port |
      | a port of other digits |
      | a port of 5000 digits |
      | more slots than a float can count |
      | a start time of 31 digits |
      | a weight version of 31 digits |
      | a model's name of a megabyte |
      | a software version of a megabyte |
      | a name outside ASCII |
      | a name with a line break |
      | a field that is nested too deeply |

  Scenario Outline: a connection to port <port> of a host with <name>
    When a connection is opened to port <port> of a host with <name>
    Then the connection fails, and nothing else

    Examples: addresses that reached the client nevertheless
      | port  | name                  |
      | 80    | unreadable characters |
      | 70000 | 127.0.0.1             |
