Feature: Every accepted request gets its whole answer, once

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: One request of each kind
    When "reseller" sends a "question" to "entry-1"
    And "registrant" sends a "dispute" to "entry-2" with key "d1"
    And "farmer" sends a "audit" to "entry-3" with key "a1"
    And "trader" sends a "reading" to "entry-1"
    And 5 seconds pass
    Then every caller holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: A streamed answer
    When "reseller" sends a "question" to "entry-1" as a stream
    And "farmer" sends a "audit" to "entry-2" as a stream with key "a1"
    And 5 seconds pass
    Then every caller holds its whole answer

  Scenario: The same key on another host joins the one run
    When upstreams of "engines" take 3 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "officer" sends a "audit" to "entry-2" with key "a1" for "farmer"
    And 15 seconds pass
    Then "farmer" and "officer" hold the same answer
    And stage "billing" of "farmer" ran 1 times
    And stage "engines" of "farmer" ran 1 times

  Scenario: The same key later gets the stored answer
    When "farmer" sends a "audit" to "entry-1" with key "a1"
    And 5 seconds pass
    And "officer" sends a "audit" to "entry-2" with key "a1" for "farmer"
    And 5 seconds pass
    Then stage "billing" of "farmer" ran 1 times

  Scenario: The same key with another body is a conflict
    When "farmer" sends a "audit" to "entry-1" with key "a1"
    And 5 seconds pass
    And "officer" sends a "audit" to "entry-2" with key "a1"
    And 5 seconds pass
    Then "farmer" holds its whole answer
    And "officer" was refused with status 422

  Scenario Outline: An engine whose streams are <fault>
    When late answers still reach their hosts
    And upstream "engines-1" is "<fault>"
    And upstreams of "engines" take 0.2 seconds
    And 12 callers send a "dispute" within 2 seconds
    And 40 seconds pass
    Then every caller holds its whole answer

    Examples:
      | fault     |
      | late      |
      | twice     |
      | crossed   |
      | cut       |
      | gapped    |
      | truncated |
      | garbled   |
      | failing   |
      | dying     |
      | silent    |

  Scenario Outline: A panel upstream whose answers are <fault>
    When late answers still reach their hosts
    And upstream "panel-1" is "<fault>"
    And upstreams of "panel" take 0.2 seconds
    And 24 callers send a "reading" within 6 seconds
    And 20 seconds pass
    Then every caller has an outcome

    Examples:
      | fault     |
      | late      |
      | twice     |
      | crossed   |
      | truncated |
      | garbled   |

  Scenario: An engine dies in the middle of a stream that its caller has begun to read
    When upstreams of "engines" take 2 seconds
    And "farmer" sends a "audit" to "entry-1" as a stream with key "a1"
    And "officer" sends a "audit" to "entry-1" as a stream with key "a2"
    And 1.5 seconds pass
    And upstream "engines-1" is "dying"
    And 60 seconds pass
    Then every caller holds its whole answer

  Scenario: Answers that come after their call was given up
    When late answers still reach their hosts
    And upstream "engines-1" is "late"
    And 12 callers send a "dispute" within 4 seconds
    And 40 seconds pass
    Then every caller holds its whole answer

  Scenario: Messages between processes cross and are lost
    When messages cross by up to 0.05 seconds
    And 5 in 100 "ControlCall" are lost
    And 5 in 100 "ControlReply" are lost
    And 20 callers send a "audit" within 4 seconds
    And 60 seconds pass
    Then every caller holds its whole answer

  Scenario: A straggling stage
    When upstream "engines-1" takes 20 seconds
    And 10 callers send a "dispute" within 4 seconds
    And 90 seconds pass
    Then every caller holds its whole answer

  Scenario: A caller that cancels before a stage that may not be repeated
    When upstreams of "encoders" take 1 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 0.5 seconds pass
    And "farmer" cancels
    And 10 seconds pass
    Then stage "billing" of "farmer" ran 0 times
    And stage "engines" of "farmer" ran 0 times

  Scenario: A caller that cancels on another host
    When upstreams of "encoders" take 1 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 0.5 seconds pass
    And "farmer" cancels on "entry-3"
    And 10 seconds pass
    Then stage "billing" of "farmer" ran 0 times

  Scenario: A durable request outlasts engines that all fail for a while
    When upstream "engines-1" is "failing"
    And upstream "engines-2" is "failing"
    And "registrant" sends a "dispute" to "entry-1" with key "d1"
    And 15 seconds pass
    And upstream "engines-1" is well again
    And 40 seconds pass
    Then "registrant" holds its whole answer

  Scenario: A durable request goes on when its caller hangs up
    When upstreams of "engines" take 3 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "farmer" hangs up
    And 15 seconds pass
    And "officer" sends a "audit" to "entry-2" with key "a1" for "farmer"
    And 2 seconds pass
    Then "officer" holds its whole answer
    And stage "engines" of "farmer" ran 1 times
