Feature: Links move little, and nothing depends on a disk

  Scenario Outline: <what> is lost
    Given 41 entries before 600 samplers in 7 zones
    Then each sampler has 4 entries and no entry over 2.5 times the mean
    When <what> is lost
    Then each sampler has 4 entries and no entry over 2.5 times the mean
    And only the links of what is lost move

    Examples:
      | what                                 |
      | an entry                             |
      | an instance                          |
      | a rack of 5 entries and 60 instances |
      | an availability zone                 |

  Scenario Outline: the data folder has <damage>
    When a bundle is kept and the folder has <damage>
    Then a new process begins with version <version>

    Examples:
      | damage           | version |
      | nothing          | 1       |
      | no file          | 0       |
      | a file cut short | 0       |
      | a forged share   | 0       |
