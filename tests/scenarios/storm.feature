Feature: Failures can occur at any moment, repeatedly and at the same time

  Background:
    Given 3 control hosts and 3 entry hosts
    And manifest 1 is in force
    And 2 upstreams in each pool

  Scenario: A storm of random failures
    When 30 random failures strike 60 callers
    Then every caller has an outcome
