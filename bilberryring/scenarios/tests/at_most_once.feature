Feature: A call that may run only once runs at most once
  Charges, bookings and refunds are counted in the service itself.

  Background:
    Given a fleet with three booking services

  Scenario: The sidecar is killed while the service works
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s its sidecar is killed
    Then within 7 s the caller is told the outcome is unknown
    And a resend through entry-2 is told the outcome is unknown
    And a new booking runs within 2 s
    And no booking took effect twice

  Scenario: The entry is killed while the service works
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s entry-1 is killed
    Then a resend through entry-2 is confirmed
    And the booking took effect once

  Scenario: The service is killed before it answers
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s its service is killed
    Then within 7 s the caller is told the outcome is unknown
    And its service is started again
    And a resend through entry-2 is told the outcome is unknown
    And the booking took no effect since

  Scenario: The service cannot be reached at all
    Given the service of the next ticket refuses connections
    When a booking that takes 0 s is sent through entry-1
    Then within 7 s the caller is told it was not run
    And its service takes connections again
    And a resend through entry-2 is told it was not run
    And the booking took no effect

  Scenario: The link is cut before the call reaches the sidecar
    When the link of the next ticket is held towards the sidecar
    And a booking that takes 0 s is sent through entry-1
    And after 0.3 s the link is cut and mended
    Then within 7 s the booking is confirmed
    And the booking took effect once

  Scenario: The link is cut before the answer reaches the entry
    When the link of the next ticket is held towards the entry
    And a booking that takes 0 s is sent through entry-1
    And after 0.3 s the link is cut and mended
    Then within 7 s the booking is confirmed
    And the booking took effect once

  Scenario: The connection to the service is cut before its answer
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s the connection to the service is cut and mended
    Then within 7 s the caller is told the outcome is unknown
    And a resend through entry-2 is told the outcome is unknown
    And no booking took effect twice

  Scenario: The sidecar freezes past the deadline with the call unread
    When the sidecar of the next ticket is frozen
    And a booking that takes 0 s is sent through entry-1
    Then within 7 s the caller is told the outcome is unknown
    And the sidecar goes on
    And the booking took no effect within 1 s
    And a resend through entry-2 is told it was not run
    And the booking took no effect

  Scenario: The sidecar freezes past the deadline while the service works
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s its sidecar is frozen
    Then within 7 s the caller is told the outcome is unknown
    And the sidecar goes on
    And a resend through entry-2 is confirmed
    And the booking took effect once

  Scenario: The entry freezes past the deadline
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s entry-1 is frozen
    Then a resend through entry-2 is confirmed
    And after 5 s entry-1 goes on
    And the booking took effect once

  Scenario: One ticket goes through both entries at the same moment
    When a booking that takes 0.5 s is sent through both entries
    Then within 7 s both are confirmed
    And the booking took effect once

  Scenario: The failure domain of the call is taken out before the resend
    When a booking that takes 0 s is sent through entry-1
    Then within 7 s the booking is confirmed
    When the failure domain of the booking is taken out
    Then a resend through entry-2 is confirmed
    And the booking took effect once
    And a new booking runs within 2 s

  Scenario: A ticket of a failure domain that was taken out meanwhile
    When the failure domain of the next ticket is taken out
    And a booking that takes 0 s is sent through entry-1
    Then within 7 s the caller is told it was not run
    When the failure domain is taken back
    Then a resend through entry-2 is told it was not run
    And the booking took no effect

  Scenario: A frozen old sidecar wakes beside its replacement
    When the sidecar of the next ticket is frozen
    And a booking that takes 0 s is sent through entry-1
    And after 0.3 s the sidecar is replaced at a new address
    Then within 7 s the caller is told the outcome is unknown
    And a resend through entry-2 is told the outcome is unknown
    And a new booking runs within 2 s
    And the sidecar goes on
    And no booking took effect twice

  Scenario: The sidecar drains while the service works
    When a booking that takes 1 s is sent through entry-1
    And after 0.3 s its sidecar is told to stop
    Then within 7 s the booking is confirmed
    And the booking took effect once
    And the sidecar ended well
