Feature: A request survives its entry host

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario Outline: The owner is <fate> <order> it sends its <message>
    When "entry-1" is <fate> <order> it sends "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 60 seconds pass
    Then "farmer" holds its whole answer

    Examples:
      | fate   | order  | message      |
      | killed | before | Claim        |
      | killed | after  | Claim        |
      | killed | before | StartStage   |
      | killed | after  | RecordResult |
      | killed | before | RecordAnswer |
      | killed | after  | RecordAnswer |
      | killed | before | WholeAnswer  |
      | killed | after  | WholeAnswer  |
      | frozen | before | Claim        |
      | frozen | after  | Claim        |
      | frozen | before | StartStage   |
      | frozen | before | RecordAnswer |
      | frozen | before | WholeAnswer  |

  Scenario Outline: The owner of a durable request is <fate> <order> its <message>
    When "entry-1" is <fate> <order> it sends "<message>"
    And "registrant" sends a "dispute" to "entry-1" with key "d1"
    And 60 seconds pass
    Then "registrant" holds its whole answer

    Examples:
      | fate   | order  | message      |
      | killed | after  | Claim        |
      | killed | after  | CallUpstream |
      | killed | after  | RecordAnswer |
      | frozen | after  | CallUpstream |
      | frozen | before | RecordAnswer |

  Scenario: The owner dies in the middle of a stream
    When upstreams of "engines" take 3 seconds
    And "farmer" sends a "audit" to "entry-1" as a stream with key "a1"
    And 2 seconds pass
    And "entry-1" is killed
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: The owner freezes in the middle of a stream and wakes after its lease
    When upstreams of "engines" take 3 seconds
    And "farmer" sends a "audit" to "entry-1" as a stream with key "a1"
    And 2 seconds pass
    And "entry-1" freezes
    And 20 seconds pass
    And "entry-1" wakes
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: A frozen owner wakes between the start and the call
    When "entry-1" is frozen before it sends "CallUpstream"
    And "farmer" sends a "privacy-update" to "entry-1" with key "p1"
    And 20 seconds pass
    And "entry-1" wakes
    And 30 seconds pass
    Then stage "billing" of "farmer" ran 1 times

  Scenario: The owner is cut off from control and comes back
    When upstreams of "engines" take 6 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is cut off from control
    And 20 seconds pass
    And the network heals
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: The takeover host dies too
    When upstreams of "engines" take 4 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is killed
    And 8 seconds pass
    And "entry-2" is killed
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: A resend meets a takeover
    When upstreams of "engines" take 4 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is killed
    And 2 seconds pass
    And "officer" sends a "audit" to "entry-3" with key "a1" for "farmer"
    And 60 seconds pass
    Then "farmer" and "officer" hold the same answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: The control leader dies during a claim
    When "control-1" is killed after it sends "AppendRequest"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: Owner and control leader die together
    When upstreams of "engines" take 4 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is killed
    And the leader of group 1 is killed
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times
