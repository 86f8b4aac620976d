Feature: Following the published configuration

  Background:
    Given entry hosts "sofia-a, sofia-b, sofia-c, varna-a, varna-b, ruse-a, ruse-b"

  Scenario: A change is applied on all hosts
    Given version 1 is applied on all hosts
    When version 2 is published
    Then version 2 is applied on all hosts within 5 seconds

  Scenario: No host returns to the older version of a stale replica
    Given version 1 is applied on all hosts
    And version 2 is applied on all hosts
    When the service answers from a replica with version 1
    And 60 seconds pass
    Then version 2 is applied on all hosts within 0 seconds
    And no host has returned to a lower version

  Scenario: A started host queries its peers before it reads from a stale replica
    Given version 5 is applied on all hosts
    When the service answers from a replica with version 4
    And 10 seconds pass
    And host "sofia-d" starts
    Then version 5 is applied on all hosts within 5 seconds
    And no host has returned to a lower version

  Scenario: A faulty version leaves the previous version applied
    Given version 1 is applied on all hosts
    When a faulty version 2 is published
    And 10 seconds pass
    Then version 1 is applied on all hosts within 0 seconds
    And each reader reports that version 2 is rejected

  Scenario: A valid version replaces a rejected one
    Given version 1 is applied on all hosts
    When a faulty version 2 is published
    And 10 seconds pass
    And version 3 is published
    Then version 3 is applied on all hosts within 5 seconds

  Scenario: The service is down for an hour
    Given version 1 is applied on all hosts
    When the service is down for 3600 seconds
    Then version 1 is applied on all hosts within 0 seconds
    When the service returns
    And version 2 is published
    Then version 2 is applied on all hosts within 10 seconds

  Scenario: A host that starts while the service is down receives the version from its peers
    Given version 1 is applied on all hosts
    When the service is down for 60 seconds
    And host "varna-c" starts
    Then version 1 is applied on all hosts within 5 seconds

  Scenario: A zone cut off from the platform receives the version from the other zones
    Given version 1 is applied on all hosts
    When zone "ruse" is cut off from the platform
    And version 2 is published
    Then version 2 is applied on all hosts within 5 seconds

  Scenario: A zone cut off from everything keeps its version and catches up later
    Given version 1 is applied on all hosts
    When zone "ruse" is cut off from the platform
    And zone "ruse" is cut off from the other zones
    And version 2 is published
    And 600 seconds pass
    Then host "ruse-a" has applied version 1
    And host "sofia-a" has applied version 2
    When zone "ruse" is connected again
    Then version 2 is applied on all hosts within 10 seconds

  Scenario: A change of one part does not read the other parts again
    Given version 1 with 40 parts is applied on all hosts
    When version 2 changes one part
    Then version 2 is applied on all hosts within 5 seconds
    And at most 6 parts were read from the service

  Scenario: A part that arrives damaged is not applied
    Given version 1 with 5 parts is applied on all hosts
    When parts arrive damaged
    And version 2 changes one part
    And 10 seconds pass
    Then damaged parts are counted
    And no host has returned to a lower version
