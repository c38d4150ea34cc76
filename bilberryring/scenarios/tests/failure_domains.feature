Feature: A failure domain leaves at short notice and returns
  Prompts and bookings go on all the while.

  Background:
    Given a fleet in three failure domains with cold engines that fall over

  Scenario: Out and back under load
    When prompts and bookings are sent without pause
    And after 2 s the failure domain vina-b is taken out
    Then from 3 s after that it gets no new work
    When the engines of vina-b are restarted cold
    And vina-b is taken back
    Then within 10 s it gets new work
    And no cold engine fell over
    And nothing was cut, failed, lost or doubled
    And no engine holds memory within 5 s

  Scenario: An endpoint that leaves gets no new work though the list is late
    When the platform's list is 60 s late
    And prompts and bookings are sent without pause
    And after 1 s the sidecar of one engine is told to stop
    Then from 3 s after that its engine gets no new work
    And nothing was cut, failed, lost or doubled
    And its sidecar ended well

  Scenario: An engine turns cold without warning under load
    When prompts and bookings are sent without pause
    And after 2 s an engine crashes and is cold
    Then no engine fell over while cold after that
    And nothing was cut, failed, lost or doubled
    And no engine holds memory within 5 s
