Feature: Responses that samplers break off
  Real connections on both sides of a gateway. A stream that broke off goes on
  at the next sampler, or the caller sees that it is incomplete.

  # Reported: an error's text in the middle of a stream, or a stream that ended
  # as if it were complete, after the next sampler had answered with an error.
  Scenario Outline: streams break off and the next sampler sends <answer>
    When streams break off and the next sampler sends <answer>
    Then callers get the whole response or see that it is none

    Examples:
      | answer |
      | the rest |
      | an error with a text |
      | an error like an event |
      | a refusal |
      | a 503 that doesn't say it was not run |
      | a 422 |
      | a redirect |
      | a plain 200 |
      | a plain 200 of blocks |
      | an empty 200 |
      | a 204 |
      | an empty 200 in chunks |
      | a page |
      | the stream from its start |
      | a stream that skips an event |
      | an event without a number |
      | an event without a number, then the rest |
      | a stream without signature |
      | an encoded stream |
      | the rest of another request |
      | a head that is cut |
      | a part of an event |
      | a chunk that is cut |
      | bytes that are not HTTP |
      | nothing |

  # Reported: a 200 with an empty or short body, framed as whole, after the
  # sampler had stopped in the middle of its head.
  Scenario Outline: a response with <framing> is cut and the sampler <ending>
    When a response with <framing> is cut and the sampler <ending>
    Then callers get the whole response or see that it is none

    Examples:
      | framing                    | ending |
      | a length                   | closes |
      | a length                   | resets |
      | chunks                     | closes |
      | chunks                     | resets |
      | an end with the connection | closes |
      | an end with the connection | resets |

  # A byte above 127 in any header of a request ended the gateway.
  Scenario Outline: a caller sends <name> with letters outside ASCII
    When a caller sends <name> with letters outside ASCII
    Then the bytes arrive as they were sent, and the next call is served

    Examples:
      | name          |
      | Shop          |
      | Request-Id    |
      | Model         |
      | Prefix-Hash   |
      | Authorization |
      | Api-Key       |
      | Content-Type  |
      | Traceparent   |

  # For longer runs: features/support/fuzz_cases.py, run_seed. No byte that
  # callers, samplers or writers of the store bring may end a gateway.
  Scenario Outline: random <fed>
    Then <count> seeds of random <fed> end no gateway

    Examples:
      | fed                          | count |
      | heads and bodies of requests | 6     |
      | submissions                  | 6     |
      | responses of samplers        | 6     |
      | entries of the store         | 10    |

  # Reported: a sampler in trouble sent the status 000, which the caller got.
  Scenario Outline: a sampler answers with the status <status>
    When a sampler answers calls of each kind with the status <status>
    Then callers see that it is no answer

    Examples:
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 100    |
      | 101    |
      | 199    |
      | 600    |
      | 700    |
      | 999    |
      | 20     |
      | 2000   |
      | -20    |
      | 2x0    |

  # Reported: a machine kept bytes that were no answer until it ran out of
  # memory. Each response ended at a bound; many streams together did not, and
  # responses of tiny parts kept the other callers waiting.
  Scenario Outline: samplers send <sent> without end to many calls
    When samplers send <sent> without end to many calls
    Then the gateway's memory is bounded and other callers are served

    Examples:
      | sent                               |
      | a head                             |
      | lines of a head                    |
      | a body                             |
      | an event                           |
      | events that stall before their end |
      | tiny chunks                        |
      | lines of an event                  |
      | comments                           |
      | trailers                           |

  Scenario: other callers get turns while a response of tiny chunks is read
    When a response of tiny chunks is read that came at once
    Then other tasks run after every 16 of them

  # Reported: one odd entry among those of the samplers ended the machines
  # that read the list, or they stopped following it.
  Scenario Outline: another writer lists entries with <value>
    When another writer lists entries with <value>, and a sampler replaces one
    Then the calls and steps before and after it are served

    Examples:
      | value                              |
      | lists nested too deeply            |
      | objects nested too deeply          |
      | a number of 31 digits              |
      | a number of 5000 digits            |
      | a negative number of 31 digits     |
      | a number above any double          |
      | a model's version of 31 digits     |
      | a port above the largest           |
      | a port of 400 digits               |
      | a negative port                    |
      | a text of a megabyte               |
      | a lone surrogate                   |

  # A weight version that can't be stored ended the holder of the pool.
  Scenario Outline: a sampler names a weight version of <digits> digits
    When one of two samplers names a weight version of <digits> digits
    Then the calls and steps before and after it are served

    Examples:
      | digits |
      | 16     |
      | 31     |
      | 5000   |

  # A late copy of a rejection was taken for the answer of the next attempt.
  Scenario: a sampler rejects calls, and sends each rejection again late
    When unsafe calls are rejected, and each rejection is sent again late
    Then none runs twice, and none that ran is refused

  # A stream waited without limit for a sampler that sent nothing any more.
  Scenario Outline: a sampler hangs after <events> events, <beside> beside it
    When streams reach a sampler that hangs after <events> events, <beside> beside it
    Then each has its end in time, and the next sampler's text where it may

    Examples:
      | events | beside  |
      | 2      | one     |
      | 0      | nothing |
      | 2      | nothing |

    @known-red
    Examples: when all slots of the sampler seem taken, see KNOWN-RED.txt
      | events | beside  |
      | 0      | one     |

  Scenario Outline: how long a stream waits where <load>
    Then the limit of a silence is right where <load>

    Examples:
      | load                               |
      | all are fast                       |
      | all are slow alike                 |
      | one of seven is slow               |
      | prompts take long to read          |
      | nothing is known                   |
      | nothing is known, and time is long |
      | no slot was free                   |
      | little time is left                |
      | a text that has begun              |
