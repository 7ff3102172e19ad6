Feature: Numbers of instances
  The decision on the number of instances in a zone. Failures guarded against:
  numbers that go up and down, and callers that wait for instances.

  Scenario Outline: <property>
    When numbers of instances follow random demand: <property>
    Then no bound is broken

    Examples:
      | property                                          |
      | stays within the limits                           |
      | is not turned back within the hold time           |
      | stands still under a steady demand with noise     |
      | rises at once to what several reports need        |
      | rises by one at most for a single report          |
      | falls to what is needed in the end, one at a time |
