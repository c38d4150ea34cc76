Feature: A request that crashes endpoints costs at most two of them

  Scenario: The caller sends it again through both entries
    Given a fleet of six engines with neighbours at work
    When a prompt that crashes engines is sent 4 times through each entry
    Then at most 2 engines crashed
    And the last answers say that it is quarantined
    And every neighbour is answered whole
    And no neighbour is quarantined
    And no engine holds memory within 5 s
