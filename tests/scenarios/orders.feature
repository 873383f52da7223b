Feature: Orders of a former holder of the order lease change nothing

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    When manifest 2 wants model "early"
    And 8 seconds pass

  Scenario: A holder freezes before it sends an order and wakes after its successor's
    When the holder of the order lease is frozen before it sends an order
    And engine "engines-1" that ignores fencing numbers joins
    And 3 seconds pass
    And manifest 3 wants model "later"
    And 20 seconds pass
    Then engine "engines-1" holds "later@1"
    When every frozen host wakes
    And 10 seconds pass
    Then engine "engines-1" holds "later@1"
    And engine "engines-1" took orders of 1 hosts

  Scenario Outline: A holder is cut off with an order in flight to an engine that ignores fencing numbers
    When orders of the holder take as long as they may
    And the holder of the order lease is cut off from control as it asks for it again
    And <wait> seconds pass
    And engine "engines-1" that ignores fencing numbers joins
    And manifest 3 wants model "later"
    And 20 seconds pass
    Then engine "engines-1" holds "later@1"
    And engine "engines-1" took orders of 2 hosts

    Examples:
      | wait |
      | 1.0  |
      | 1.2  |
      | 1.4  |

  Scenario: An engine that checks fencing numbers refuses the former holder's late order
    When orders of the holder take 15 seconds
    And engine "engines-1" that checks fencing numbers joins
    And 1.5 seconds pass
    And the holder of the order lease is cut off from control
    And manifest 3 wants model "later"
    And 25 seconds pass
    Then engine "engines-1" holds "later@1"
    And engine "engines-1" refused 1 orders

  Scenario Outline: A holder ends its lease with an order in flight to an engine that ignores fencing numbers
    When orders of the holder take as long as they may
    And the holder of the order lease is drained and ends its lease in <left> seconds
    And engine "engines-1" that ignores fencing numbers joins
    And 1 seconds pass
    And manifest 3 wants model "later"
    And 20 seconds pass
    Then engine "engines-1" holds "later@1"
    And engine "engines-1" took orders of 2 hosts

    Examples:
      | left |
      | 1.02 |
      | 1.1  |

  Scenario: A holder that has ended its lease sends no more orders
    When orders of the holder take as long as they may
    And the next 50 "HostLeaseEnded" are lost
    And the holder of the order lease is drained and has just ended its lease
    And engine "engines-1" that ignores fencing numbers joins
    And manifest 3 wants model "later"
    And 20 seconds pass
    Then engine "engines-1" holds "later@1"
    And engine "engines-1" took orders of 1 hosts
