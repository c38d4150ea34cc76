Feature: A prompt of more than one engine's memory is served whole

  Background:
    Given a fleet with four small engines in one failure domain

  Scenario: A prompt of 2.5 engines' memory while short ones flow
    When short prompts are sent without pause
    And 1 prompt of 2.5 engines' memory is sent
    Then it is whole within 60 s
    And the short prompts are whole
    And no engine holds memory within 5 s

  Scenario: Two at once do not wait for each other for ever
    When 2 prompts of 1.6 engines' memory are sent at once
    Then they are whole within 90 s
    And no engine holds memory within 5 s

  Scenario: A member dies
    When 1 prompt of 2.5 engines' memory is sent
    And after 3 s a member's sidecar is killed
    Then it ended in time, whole or with a typed error
    And the sidecar is started again
    And no engine holds memory within 5 s

  Scenario: A member's engine crashes
    When 1 prompt of 2.5 engines' memory is sent
    And after 3 s a member's engine crashes
    Then it ended in time, whole or with a typed error
    And no engine holds memory within 5 s

  Scenario Outline: A member pauses
    When 1 prompt of 2.5 engines' memory is sent
    And after <wait> s a member's <process> pauses for 2.2 s
    Then it is whole within 60 s
    And it was sent once
    And no engine holds memory within 5 s

    Examples:
      | process | wait |
      | engine  | 1.0  |
      | engine  | 2.3  |
      | engine  | 3.6  |
      | sidecar | 2.3  |
