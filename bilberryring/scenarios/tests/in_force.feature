Feature: A published set is in force everywhere within seconds and never reverts

  Background:
    Given a fleet of two entries and nine sidecars

  Scenario: A change is published
    When a change is published
    Then it is in force everywhere within 3 s
    And no process stepped back

  Scenario: The platform is down for the whole of a change
    When the platform goes down
    And a change is published
    And 2 s pass
    And the platform is back
    Then it is in force everywhere within 7 s
    And no process stepped back

  Scenario: Prompts are answered while the platform is down
    When the platform goes down
    And 2 s pass
    Then a prompt through entry-1 is answered whole
    When the platform is back
    Then no process stepped back

  Scenario: One reader is served a stale value
    When one reader is served what is old from now on
    And a change is published
    Then it is in force everywhere within 3 s
    And no process stepped back

  Scenario: A process starts while the platform is stale
    When the platform shows everybody what is old from now on
    And two changes are known to the processes alone
    And entry-2 is killed and started again
    Then its first set is the newest
    And no process stepped back

  Scenario: A process starts while the platform is down
    When the platform goes down
    And a sidecar is killed and started again
    Then its first set is the newest
    And no process stepped back

  Scenario: A sidecar is frozen across two changes
    When a sidecar is frozen
    And a change is published
    And a change is published
    And 1 s pass
    And the sidecar goes on
    Then it is in force everywhere within 3 s
    And no process stepped back

  Scenario: A set is malformed
    When a malformed manifest is published
    And 1 s pass
    Then the last good set is in force everywhere
    When a change is published past it
    Then it is in force everywhere within 3 s

  Scenario: A set is inconsistent
    When a set with a dangling reference is published
    And 1 s pass
    Then the last good set is in force everywhere
    And status tells that it was refused as inconsistent
    When a change is published past it
    Then it is in force everywhere within 3 s
    And no process stepped back

  Scenario: A set is half-published
    When a manifest is published without its parts
    And 1 s pass
    Then the last good set is in force everywhere
    When the parts are published too
    Then it is in force everywhere within 3 s

  Scenario: Two operators publish at once
    When two operators publish the same number at once
    Then the first one is in force everywhere within 3 s
    And status tells the loser that another set was first
    And a set on top of the loser is refused everywhere
    And no process stepped back

  Scenario: A published manifest is overwritten
    When a change is published
    Then it is in force everywhere within 3 s
    When the published manifest is overwritten by another
    And 1 s pass
    Then the last good set is in force everywhere
    When a change is published
    Then it is in force everywhere within 3 s
    And no process stepped back
