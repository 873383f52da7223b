Feature: Upstreams leave, fall silent and straggle

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: A leaving upstream gets no new work
    When upstreams of "panel" take 0.5 seconds
    And upstream "panel-1" leaves
    And 60 callers send a "reading" within 9 seconds
    And 20 seconds pass
    Then every caller holds its whole answer

  Scenario: A leaving upstream whose announcement reaches one host only
    When upstreams of "panel" take 0.5 seconds
    And upstream "panel-1" is not heard by "entry-2"
    And upstream "panel-1" is not heard by "entry-3"
    And upstream "panel-1" leaves
    And 90 callers send a "reading" within 9 seconds
    And 20 seconds pass
    Then every caller holds its whole answer

  Scenario: Gossip is lost while an upstream leaves
    When 30 in 100 "Gossip" are lost
    And upstreams of "panel" take 0.5 seconds
    And upstream "panel-1" is not heard by "entry-2"
    And upstream "panel-1" leaves
    And 90 callers send a "reading" within 9 seconds
    And 20 seconds pass
    Then every caller holds its whole answer

  Scenario: A silent upstream gets no new work after three seconds
    When upstream "panel-1" stops announcing itself
    And 4 seconds pass
    And upstreams of "panel" take 0.5 seconds
    And 60 callers send a "reading" within 9 seconds
    And 3 seconds pass
    Then upstream "panel-1" got no call in the last 12 seconds
    And every caller holds its whole answer

  Scenario: An open connection goes silent while new ones work
    When the connection from "entry-1" to "panel-1" goes silent
    And the connection from "entry-1" to "panel-2" goes silent
    And 10 callers send a "reading" within 5 seconds
    And 20 seconds pass
    Then every caller holds its whole answer

  Scenario: Work in flight on a leaving upstream ends
    When upstreams of "engines" take 6 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And upstream "engines-1" leaves
    And upstream "engines-2" leaves
    And 20 seconds pass
    Then "farmer" holds its whole answer
    And stage "engines" of "farmer" ran 1 times

  Scenario: A burst is answered once it is over
    When upstream "panel-1" dies
    And upstreams of "panel" take 0.9 seconds
    And 120 callers send a "reading" within 9 seconds
    And 40 seconds pass
    Then every caller holds its whole answer
