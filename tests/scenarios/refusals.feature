Feature: A refusal reports correctly whether the request ran

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: An isolated entry host refuses within its lease
    When "entry-1" is cut off from control
    And 5 seconds pass
    And "reseller" sends a "question" to "entry-1"
    And 2 seconds pass
    Then "reseller" was refused and told that it ran "no"

  Scenario: A refused request is answered elsewhere under its key
    When "entry-1" is cut off from control
    And 5 seconds pass
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 20 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: The journal falls silent while a claim is in flight
    When the next 1000 "ControlReply" are lost
    And "farmer" sends a "privacy-update" to "entry-1"
    And 10 seconds pass
    And the network heals
    And 10 seconds pass
    Then "farmer" was refused and told that it ran "unknown"

  Scenario: The whole journal is gone
    When "control-1" is killed
    And "control-2" is killed
    And 10 seconds pass
    And "farmer" sends a "privacy-update" to "entry-1"
    And 10 seconds pass
    Then "farmer" was refused and told that it ran "no"

  Scenario: Nobody can run the stage
    When upstream "panel-1" dies
    And upstream "panel-2" dies
    And 5 seconds pass
    And "trader" sends a "reading" to "entry-1"
    And 10 seconds pass
    Then "trader" was refused and told that it ran "no"

  Scenario: A non-idempotent stage whose outcome is not known
    When upstream "billing-1" is "silent"
    And upstream "billing-2" is "silent"
    And "farmer" sends a "privacy-update" to "entry-1"
    And 20 seconds pass
    Then "farmer" was refused and told that it ran "unknown"
    And stage "billing" of "farmer" ran 1 times
