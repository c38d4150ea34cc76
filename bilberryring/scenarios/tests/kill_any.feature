Feature: A kill of any one process gives every caller an answer in time

  Scenario Outline: <process> is killed under both kinds of work
    Given a fleet under both kinds of work
    When after 2 s <process> is killed
    Then every caller but those of <process> got an answer or a typed error
    And no booking was doubled, and none refused as not run took effect
    And <process> is started again

    Examples:
      | process                  |
      | engine-valpo-a-1         |
      | sidecar-engine-valpo-a-1 |
      | book-valpo-a-1           |
      | sidecar-book-valpo-a-1   |
      | entry-2                  |
      | platform                 |
