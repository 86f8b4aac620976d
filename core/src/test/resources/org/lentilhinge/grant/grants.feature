Feature: A version in use is not evicted
  After every event the steps check that no version is evicted while a request runs on it.

  Scenario: A gateway fails while its stream runs
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 4 seconds runs on "drains" on "checked" from another host
    When the host of the stream fails
    Then the owner of "checked" may not evict "drains" while the stream runs
    When 15 seconds pass
    Then the owner of "checked" may evict "drains"

  Scenario: The owner fails while a stream runs
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 30 seconds runs on "drains" on "checked" from another host
    When the owner of "checked" fails
    And 15 seconds pass
    Then another host may send orders to "checked"
    And the owner of "checked" may not evict "drains" while the stream runs

  Scenario: The owner and the gateway fail and restart
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 4 seconds runs on "drains" on "checked" from another host
    When the host of the stream and the owner of "checked" fail and restart
    Then no host may evict "drains" on "checked" while the stream runs
    When 30 seconds pass
    Then the owner of "checked" may evict "drains"

  Scenario: A gateway and the owner are partitioned from each other
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 10 seconds runs on "drains" on "checked" from another host
    When the host of the stream and the owner of "checked" are partitioned from each other
    Then the owner of "checked" may not evict "drains" while the stream runs

  Scenario: A new version is used while a request runs on the former version
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 10 seconds runs on "drains" on "checked" from another host
    When "drains-new" is resident on "checked"
    And a stream of 3 seconds runs on "drains-new" on "checked" from another host
    Then requests run on both "drains" and "drains-new" on "checked"
    And the owner of "checked" may not evict "drains" while the stream runs

  Scenario: An unused version may be evicted after a short time
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    And a stream of 1 second runs on "drains" on "checked" from another host
    When 5 seconds pass
    Then the owner of "checked" may evict "drains"

  Scenario: All hosts learn that an endpoint is leaving
    Given a zone of 3 hosts
    When one host detects that "checked" is leaving
    And 1 second passes
    Then all hosts know that "checked" is leaving
