Feature: Control hosts are isolated, lost and replaced

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: A leader that is cut off for long and comes back
    When the leader of group 0 is cut off from all
    And 5 seconds pass
    And operator "anna" applies manifest 2 through "entry-1"
    And 600 seconds pass
    And the network heals
    And 5 seconds pass
    And operator "bodil" applies manifest 3 through "entry-2"
    And 3 seconds pass
    Then operator "anna" was told "ManifestAccepted"
    And operator "bodil" was told "ManifestAccepted"
    And manifest 3 is in force on "entry-3"

  Scenario: A new leader within three seconds
    When the leader of group 0 is killed
    And 3 seconds pass
    Then a control host leads group 0

  Scenario: A frozen leader wakes after its term
    When the leader of group 1 freezes
    And 5 seconds pass
    And "farmer" sends a "audit" to "entry-1" with key "a1"
    And 5 seconds pass
    And every frozen host wakes
    And 10 seconds pass
    Then "farmer" holds its whole answer

  Scenario: A host with an emptied disk never votes under its old identity
    When operator "anna" applies manifest 2 through "entry-1"
    And 2 seconds pass
    And "control-1" loses its disk
    And "control-1" starts again
    And "control-2" is killed
    And 5 seconds pass
    And operator "bodil" applies manifest 3 through "entry-1"
    And 6 seconds pass
    Then no control host leads group 0

  Scenario: A lost disk is replaced, then a second host is lost
    When operator "anna" applies manifest 2 through "entry-1"
    And 2 seconds pass
    And "control-1" loses its disk
    And "control-1" starts again
    And 3 seconds pass
    And the replica of "control-1" is replaced on "control-1"
    And 15 seconds pass
    And "control-2" loses its disk
    And 10 seconds pass
    And operator "bodil" applies manifest 3 through "entry-1"
    And 5 seconds pass
    Then operator "bodil" was told "ManifestAccepted"
    And manifest 3 is in force on "entry-3"

  Scenario: Audits go on while a control host is lost and replaced
    When "control-3" loses its disk
    And "control-3" starts again
    And the replica of "control-3" is replaced on "control-3"
    And 20 callers send a "audit" within 10 seconds
    And "control-1" is killed
    And 40 seconds pass
    Then every caller holds its whole answer

  Scenario: A slow disk delays acknowledgements and loses nothing
    When the disk of "control-1" takes 0.2 seconds to sync
    And the disk of "control-2" takes 0.2 seconds to sync
    And 20 callers send a "audit" within 5 seconds
    And "control-1" loses power
    And "control-2" loses power
    And 2 seconds pass
    And "control-1" starts again
    And "control-2" starts again
    And 40 seconds pass
    Then every caller holds its whole answer

  Scenario: The leader dies in the middle of a replacement
    When operator "anna" applies manifest 2 through "entry-1"
    And "control-3" loses its disk
    And "control-3" starts again
    And the replica of "control-3" begins to be replaced on "control-3"
    And the leader of group 0 is killed
    And 3 seconds pass
    And every killed control host starts again
    And 3 seconds pass
    And the replica of "control-3" is replaced on "control-3"
    And operator "bodil" applies manifest 3 through "entry-1"
    And 3 seconds pass
    Then operator "bodil" was told "ManifestAccepted"
    And manifest 3 is in force on "entry-3"
