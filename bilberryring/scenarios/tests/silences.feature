Feature: Answers stay whole although a sound process pauses

  Background:
    Given a fleet of one engine

  Scenario Outline: Prompts with nowhere else to go
    When 4 prompts of <tokens> tokens are sent
    And the <process> pauses <times> times for <seconds> s
    Then every answer is whole within 30 s
    And no engine holds memory within 5 s

    Examples:
      | process | times | seconds | tokens |
      | engine  | 2     | 1.2     | 800    |
      | engine  | 2     | 1.6     | 1000   |
      | engine  | 5     | 2.2     | 2400   |
      | sidecar | 2     | 1.2     | 800    |
      | sidecar | 2     | 1.6     | 1000   |
      | sidecar | 5     | 2.2     | 2400   |
      | entry   | 2     | 1.2     | 800    |
      | entry   | 2     | 1.6     | 1000   |
      | entry   | 5     | 2.2     | 2400   |
      | link    | 2     | 1.2     | 800    |
      | link    | 2     | 1.6     | 1000   |
      | link    | 5     | 2.2     | 2400   |

  Scenario Outline: Prompts beside a change while the sidecar pauses
    When 4 prompts of 1200 tokens are sent
    And <change> is published while the sidecar pauses for 2.2 s
    Then every answer is whole within 30 s
    And no engine holds memory within 5 s

    Examples:
      | change                   |
      | no endpoint              |
      | another sidecar address  |
      | no model of a workspace  |
      | a domain that is out     |
      | a leaving VM             |

  Scenario Outline: A booking while a process pauses
    When a booking that takes 1 s is sent
    And after 0.3 s the <process> pauses 1 time for 2.2 s
    Then the booking is confirmed and took effect once

    Examples:
      | process |
      | sidecar |
      | entry   |
      | link    |
      | service |

  Scenario: A booking whose sidecar gets another address
    When a booking that takes 1 s is sent
    And after 0.3 s another sidecar address is published
    Then the booking is confirmed and took effect once
