Feature: A graceful shutdown cuts off nothing

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: A drain under load
    When upstreams of "engines" take 2 seconds
    And 10 callers send a "dispute" within 2 seconds
    And "entry-1" is drained
    And 10 callers send a "audit" within 5 seconds
    And 60 seconds pass
    Then every caller holds its whole answer
    And "entry-1" has ended and cut off nothing

  Scenario: A rolling restart of every entry host under load
    When "entry-1" is drained
    And 30 callers send a "audit" within 20 seconds
    And "entry-1" starts again
    And 5 seconds pass
    And "entry-2" is drained
    And 30 callers send a "dispute" within 20 seconds
    And "entry-2" starts again
    And 5 seconds pass
    And "entry-3" is drained
    And 30 callers send a "privacy-update" within 20 seconds
    And 30 seconds pass
    Then every caller holds its whole answer
    And "entry-3" has ended and cut off nothing

  Scenario: A drain meets a partition
    When upstreams of "engines" take 3 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is drained
    And "entry-1" is cut off from control
    And 20 seconds pass
    And the network heals
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: Unkeyed requests in flight outlive the last handed-out host list
    When upstreams of "engines" take 5 seconds
    And "entry-1" is drained
    And 4 seconds pass
    And "trader" sends a "question" to "entry-1" as a stream
    And "reseller" sends a "question" to "entry-1"
    And 30 seconds pass
    Then every caller holds its whole answer
    And "entry-1" has ended and cut off nothing

  Scenario: A drained host takes no new work once its last list has expired
    When upstreams of "engines" take 6 seconds
    And "trader" sends a "question" to "entry-1" as a stream
    And "entry-1" is drained
    And 5.5 seconds pass
    And "reseller" sends a "question" to "entry-1"
    And 10 seconds pass
    Then "trader" holds its whole answer
    And "reseller" was refused and told that it ran "no"

  Scenario: A drain hands over what waits
    When upstream "engines-1" dies
    And upstream "engines-2" dies
    And 4 seconds pass
    And "registrant" sends a "dispute" to "entry-1" with key "d1"
    And 2 seconds pass
    And "registrant" hangs up
    And "entry-1" is drained
    And 10 seconds pass
    And upstream "engines-1" comes back
    And 8 seconds pass
    And "officer" sends a "dispute" to "entry-2" with key "d1" for "registrant"
    And 0.1 seconds pass
    Then "entry-1" has ended and cut off nothing
    And "officer" holds its whole answer
