Feature: An accepted manifest is in force everywhere within seconds and never reverts

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force

  Scenario: In force everywhere within two seconds
    When operator "anna" applies manifest 2 through "entry-1"
    And 2 seconds pass
    Then operator "anna" was told "ManifestAccepted"
    And manifest 2 is in force on "entry-1"
    And manifest 2 is in force on "entry-2"
    And manifest 2 is in force on "entry-3"

  Scenario: Two operators race with equal numbers
    When operator "anna" applies manifest 2 "red" through "entry-1"
    And operator "bodil" applies manifest 2 "blue" through "entry-2"
    And 3 seconds pass
    Then exactly one of operators "anna" and "bodil" was accepted

  Scenario: Two operators race and both resend
    When the next 2 "ManifestAccepted" are lost
    And the next 2 "ManifestConflict" are lost
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And operator "bodil" applies manifest 2 "blue" through "entry-2"
    And 5 seconds pass
    And operator "bodil" applies manifest 2 "blue" through "entry-3"
    And operator "anna" applies manifest 2 "red" through "entry-2"
    And 5 seconds pass
    Then exactly one of operators "anna" and "bodil" was accepted

  Scenario: A resend after a lost answer gets the first result
    When the next 1 "ManifestAccepted" are lost
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And 5 seconds pass
    And operator "anna" applies manifest 2 "red" through "entry-2"
    And 3 seconds pass
    Then operator "anna" was told "ManifestAccepted"

  Scenario: A resend after a newer manifest does not bring the old one back
    When operator "anna" applies manifest 2 "red" through "entry-1"
    And 3 seconds pass
    And operator "bodil" applies manifest 3 "blue" through "entry-2"
    And 3 seconds pass
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And 3 seconds pass
    And "entry-3" is killed
    And "entry-3" starts again
    And 5 seconds pass
    Then manifest 3 is in force on "entry-1"
    And manifest 3 is in force on "entry-3"

  Scenario: Every control host is killed
    When operator "anna" applies manifest 2 through "entry-1"
    And 2 seconds pass
    And "control-1" loses power
    And "control-2" loses power
    And "control-3" loses power
    And 5 seconds pass
    And "control-1" starts again
    And "control-2" starts again
    And "control-3" starts again
    And 5 seconds pass
    And "entry-2" is killed
    And "entry-2" starts again
    And 5 seconds pass
    Then manifest 2 is in force on "entry-2"

  Scenario: A torn write
    When operator "anna" applies manifest 2 through "entry-1"
    And "control-1" loses power in a write
    And "control-2" loses power in a write
    And 3 seconds pass
    And "control-1" starts again
    And "control-2" starts again
    And 10 seconds pass
    And operator "anna" applies manifest 2 through "entry-1"
    And 5 seconds pass
    Then operator "anna" was told "ManifestAccepted"
    And manifest 2 is in force on "entry-3"

  Scenario: Restart after hundreds of changes
    When 300 manifests are applied one after the other
    And "control-1" loses power
    And "control-2" loses power
    And "control-3" loses power
    And "entry-2" is killed
    And "control-1" starts again
    And "control-2" starts again
    And "control-3" starts again
    And "entry-2" starts again
    And 10 seconds pass
    Then manifest 301 is in force on "entry-2"

  Scenario: An isolated entry host serves no old manifest past the bound
    When "entry-1" is cut off from control
    And operator "anna" applies manifest 2 through "entry-2"
    And 5 seconds pass
    And "reseller" sends a "question" to "entry-1"
    And 2 seconds pass
    Then "reseller" was refused and told that it ran "no"
    And operator "anna" was told "ManifestAccepted"

  Scenario: A manifest is not accepted before a quorum has synced it
    Given "control-1" leads group 0
    When the disk of "control-2" takes 3 seconds to sync
    And "control-3" is cut off from all
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And 1 seconds pass
    And "entry-1" is killed
    And "control-2" loses power
    And "control-1" loses its disk
    And the network heals
    And the disk of "control-2" takes 0.001 seconds to sync
    And "control-2" starts again
    And 5 seconds pass
    And operator "bodil" applies manifest 2 "blue" through "entry-2"
    And 5 seconds pass
    Then operator "bodil" was told "ManifestAccepted"

  Scenario: A leader's own slow disk does not count before it has synced
    Given "control-1" leads group 0
    When the disk of "control-1" takes 3 seconds to sync
    And "control-3" is cut off from all
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And 1 seconds pass
    And "entry-1" is killed
    And "control-1" loses power
    And "control-2" loses its disk
    And the network heals
    And the disk of "control-1" takes 0.001 seconds to sync
    And "control-1" starts again
    And 5 seconds pass
    And operator "bodil" applies manifest 2 "blue" through "entry-2"
    And 5 seconds pass
    Then operator "bodil" was told "ManifestAccepted"

  Scenario: A leader that its peers cannot reach, though entry hosts can
    When "control-1" is cut off from control
    And 3 seconds pass
    And operator "anna" applies manifest 2 through "entry-1"
    And 4 seconds pass
    And operator "anna" applies manifest 2 through "entry-2"
    And 4 seconds pass
    Then operator "anna" was told "ManifestAccepted"
    And manifest 2 is in force on "entry-1"
    And manifest 2 is in force on "entry-2"
    And manifest 2 is in force on "entry-3"

  Scenario: A host that lost its disk does not vote for a log without the manifest
    Given "control-1" leads group 0
    When "control-3" is cut off from all
    And operator "anna" applies manifest 2 "red" through "entry-1"
    And 2 seconds pass
    And "control-1" is killed
    And "control-2" loses its disk
    And "control-2" starts again
    And the network heals
    And 10 seconds pass
    And operator "bodil" applies manifest 2 "blue" through "entry-1"
    And 5 seconds pass
    Then operator "anna" was told "ManifestAccepted"
    And operator "bodil" was not told "ManifestAccepted"
    And no control host leads group 0
