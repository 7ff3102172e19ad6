Feature: Streams go on at the software version that began them

  Two versions of an upstream's software may serve side by side. What they
  generate doesn't fit together, and instances don't check it.
  Failure guarded against: a resumed stream begins anew, or a text holds events
  of two versions.

  Scenario Outline: stream origins: <case>
    When a fleet with streams runs the case: <case>
    Then every text is whole, in order and of one software version

    Examples: in virtual time
      | case                                                     |
      | an interrupted stream goes on at its version             |
      | a caller resumes its stream at another gateway           |
      | a caller resumes its stream after its gateway was killed |
      | a stream that no gateway knows is refused |
      | an unknown stream is refused after a version has left |
      | streams go on after all gateways restarted |
      | a stream whose version left while all gateways restarted is refused |
      | an unknown stream is refused after a release and a restart of all |
      | streams are refused after a rollback and a restart of all |
      | a stream is refused after a build without records was replaced |
      | a stream whose version is gone is refused |
      | a stream that began before a release goes on |
      | a gateway that reaches no other refuses |
      | two of five gateways are out of step as a release begins |
      | a gateway was out of step as a release began |
      | another caller's stream is refused |
      | a stream of a route without resumption is refused |
      | an instance that restarted under its name gets no old stream |
      | an interrupted item goes on at its version               |
      | an item of a checkpoint goes on at its version           |

  Scenario Outline: decision on software versions: <case>
    When the software version is decided for: <case>
    Then the decision on the version is right

    Examples:
      | case                                                 |
      | a record decides, whatever serves                    |
      | the record of another request                        |
      | one version, the stored record was just read         |
      | one version, most gateways replied in an outage      |
      | one version, few gateways replied in an outage       |
      | one version, nobody replied                          |
      | one version, the only gateway                        |
      | one version, the only gateway, cut off               |
      | one version, all gateways have just started          |
      | a record decides, though all gateways have just started |
      | two versions                                         |
      | two upstreams                                        |
      | no instance                                          |
      | a new stream                                         |
      | a resumed stream                                     |
      | a resumed stream without its first request           |
      | an event's number that is text                       |
      | a negative event's number                            |
      | an endless event's number                            |
      | digits of another script                             |
      | an empty first request                               |
      | a first request without an event                     |
      | a registration with a version                        |
      | a registration without a version                     |
      | a registration with a numeric version                |
      | an item's version is gone                            |
      | an item's version is gone, no slot                   |
      | an item's version is not known                       |
      | an item's version is full, another has room          |
      | an item's version is full for long, another has room |
      | an item's version is full for long, so are others    |
      | no instance is left                                  |
      | a faster instance of the same version                |
      | a faster instance of another version                 |
      | copies go to the other zones                         |
      | copies are found among many gateways                 |
      | a full table drops the oldest                        |
      | a checkpoint of an earlier build                     |
      | a checkpoint for an earlier build                    |
