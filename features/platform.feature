Feature: The users' platform, as others speak on it

  Scenario Outline: a sampler sends <answer>
    When a sampler sends <answer>
    Then the gateway makes of it what it is

    Examples:
      | answer                                 |
      | a whole answer                         |
      | two answers on a kept connection       |
      | an extra answer follows at once        |
      | another request's answer comes instead |
      | a body is cut short                    |
      | an answer without length ends          |
      | an answer without length is reset      |
      | bytes that are no answer               |
      | another instance has the address       |
      | a full instance                        |
      | an instance's own error                |
      | a stream                               |
      | a stream whose weights change          |
      | a stream is cut within an event        |
      | a stream ends within an event          |
      | nobody listens                         |

  Scenario: a request keeps its headers, but those of one connection
    When a sampler sends a whole answer
    Then the sampler was asked as the caller asked

  Scenario Outline: <input> is read
    When <input> is read from the platform
    Then it is read as what it is

    Examples:
      | input                          |
      | an entry that is ready         |
      | an entry that is draining      |
      | an entry in an unknown state   |
      | an entry of other bytes        |
      | an entry without address       |
      | an entry with text for slots   |
      | the longest prefix             |
      | a prefix of another host       |
      | a kind that is not known       |
      | a route that is split          |
      | a submission                   |
      | a submission that is no JSON   |
      | a submission with a bad body   |
      | a reading                      |
      | a reading from no number       |
      | an end                         |
      | another path                   |
      | settings                       |
      | settings without a node        |
      | settings that are no YAML      |
