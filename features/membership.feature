Feature: A loss moves few links, and no process depends on its data folder

  Scenario Outline: <part> is lost
    Given 41 entries and 600 samplers in 7 zones
    Then each sampler has 4 entries and no entry has over 2.5 times the mean
    When <part> is lost
    Then each sampler has 4 entries and no entry has over 2.5 times the mean
    And only the links of the lost part move

    Examples:
      | part                                 |
      | an entry                             |
      | an instance                          |
      | a rack of 5 entries and 60 instances |
      | an availability zone                 |

  Scenario Outline: the data folder has <damage>
    When a bundle is saved and the folder then has <damage>
    Then a new process starts with version <version>

    Examples:
      | damage           | version |
      | nothing          | 1       |
      | no file          | 0       |
      | a truncated file | 0       |
      | a tampered share | 0       |
