Feature: A request survives its entry host

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario Outline: The owner is killed <order> it sends its <message>
    When "entry-1" is killed <order> it sends "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

    Examples:
      | order  | message      |
      | before | Claim        |
      | after  | Claim        |
      | before | StartStage   |
      | after  | RecordResult |
      | before | RecordAnswer |
      | after  | RecordAnswer |
      | before | WholeAnswer  |
      | after  | WholeAnswer  |

  Scenario Outline: The owner freezes <order> it <way> <message> and wakes after its lease
    When "entry-1" is frozen <order> it <way> "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 20 seconds pass
    And "entry-1" wakes
    And 20 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

    Examples:
      | order  | way   | message      |
      | before | sends | Claim        |
      | after  | sends | Claim        |
      | before | sends | StartStage   |
      | before | sends | RecordAnswer |
      | before | gets  | Claimed      |
      | before | sends | WholeAnswer  |

  Scenario Outline: A started stage is never sent again: killed <order> it <way> <message>
    When upstreams of "billing" take 1 seconds
    And "entry-1" is killed <order> it <way> "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 40 seconds pass
    Then "farmer" was refused and told that it ran "unknown"
    And stage "billing" of "farmer" ran <count> times

    Examples:
      | order              | way   | message      | count |
      | before             | gets  | StageStarted | 0     |
      | before             | sends | billing call | 0     |
      | before             | sends | RecordResult | 1     |
      | 0.05 seconds after | sends | billing call | 1     |

  Scenario Outline: A started stage is not sent late: frozen <order> it <way> <message>
    When "entry-1" is frozen <order> it <way> "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 20 seconds pass
    And "entry-1" wakes
    And 20 seconds pass
    Then "farmer" was refused and told that it ran "unknown"
    And stage "billing" of "farmer" ran 0 times

    Examples:
      | order  | way   | message      |
      | before | gets  | StageStarted |
      | before | sends | billing call |

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

  Scenario: A frozen owner wakes while the new owner streams
    When upstreams of "engines" take 4 seconds
    And "entry-1" is frozen before it sends "RecordProgress"
    And "farmer" sends a "audit" to "entry-1" as a stream with key "a1"
    And 6 seconds pass
    And "entry-1" wakes
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

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
    When upstreams of "engines" take 6 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And the host that runs "farmer" is killed
    And 5 seconds pass
    And the host that runs "farmer" is killed
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And 3 hosts have run "farmer"
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

  Scenario Outline: The control leader dies <order> it <way> a claim
    Given "control-1" leads group 1
    When "control-1" is killed <order> it <way> "<message>"
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 40 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

    Examples:
      | order               | way   | message |
      | before              | gets  | Claim   |
      | 0.001 seconds after | gets  | Claim   |
      | before              | sends | Claimed |

  Scenario: Owner and control leader die together
    When upstreams of "engines" take 4 seconds
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 1 seconds pass
    And "entry-1" is killed
    And the leader of group 1 is killed
    And 60 seconds pass
    Then "farmer" holds its whole answer
    And stage "billing" of "farmer" ran 1 times

  Scenario: A durable request is finished elsewhere though its caller does not come back
    When upstreams of "engines" take 3 seconds
    And "registrant" sends a "dispute" to "entry-1" with key "d1"
    And 0.5 seconds pass
    And "entry-1" is killed
    And "registrant" hangs up
    And 20 seconds pass
    And "officer" sends a "dispute" to "entry-2" with key "d1" for "registrant"
    And 0.1 seconds pass
    Then "officer" holds its whole answer
