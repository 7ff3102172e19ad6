Feature: Requests that crash the instances that run them
  Such a request comes again, at any gateway. Failure guarded against: it
  crashes more and more instances, or an innocent request is suspended.

  Scenario Outline: <case>
    When a request crashes the instances that run it: <case>
    Then it is sent no more than allowed

    Examples:
      | case                             |
      | it comes every four seconds      |
      | it asks for a stream             |
      | it crashes them late             |
      | others are served meanwhile      |
      | it comes at all gateways at once |
      | the gateways restart meanwhile   |
      | the store is away at first       |
      | what its caller gets             |
      | innocent requests are in flight  |
      | instances die for other reasons  |
      | it crashes nothing any more      |
      | it is an item                    |
