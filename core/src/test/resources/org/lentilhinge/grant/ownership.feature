Feature: At most one host sends orders to an endpoint
  After every event the steps check that at most one host may send orders to an endpoint.

  Scenario Outline: An owner that resumes after its lease has expired drops its pending order
    Given a zone of 3 hosts
    When the owner of "<endpoint>" decides to load "late" and is <stopped> for 20 seconds
    Then the order for "late" is dropped
    And another host may send orders to "<endpoint>"

    Examples:
      | endpoint | stopped   |
      | checked  | paused    |
      | ignoring | paused    |
      | checked  | suspended |
      | ignoring | suspended |

  Scenario: One of two hosts fails
    Given a zone of 2 hosts
    And "drains" is resident on "checked"
    When the owner of "checked" fails
    And 30 seconds pass
    Then "checked" has no owner
    And a request for "drains" on "checked" is served
    When the failed hosts are removed from the list
    And 35 seconds pass
    Then "checked" has an owner

  Scenario: One of two hosts fails and the platform no longer confirms the list
    Given a zone of 2 hosts
    And "drains" is resident on "checked"
    When the owner of "checked" fails
    And 45 seconds pass without a list
    Then a request for "drains" on "checked" is refused

  Scenario: One of three hosts fails
    Given a zone of 3 hosts
    When the owner of "checked" fails
    And 10 seconds pass
    Then another host may send orders to "checked"

  Scenario: Two of three hosts fail
    Given a zone of 3 hosts
    When 2 hosts fail
    And 30 seconds pass
    Then "checked" has no owner

  Scenario Outline: Messages from or to the owner are dropped
    Given a zone of <hosts> hosts
    And "drains" is resident on "checked"
    When messages <direction> the owner of "checked" are dropped
    And 30 seconds pass
    Then "checked" has <owner>
    And a request for "drains" on "checked" is served
    When the partition ends
    And 25 seconds pass
    Then "checked" has an owner

    Examples:
      | hosts | direction | owner    |
      | 3     | from      | an owner |
      | 3     | to        | an owner |
      | 2     | from      | no owner |
      | 2     | to        | no owner |

  Scenario Outline: All hosts are replaced one after another
    Given a zone of <hosts> hosts
    And "drains" is resident on "checked"
    When all hosts are replaced one after another, every 40 seconds
    Then a request for "drains" on "checked" is served
    And "checked" has an owner
    And "ignoring" has an owner

    Examples:
      | hosts |
      | 2     |
      | 3     |

  Scenario: Only the new hosts have received the list without the old hosts
    Given a zone of 3 hosts
    When 2 new hosts receive a list without 2 old hosts, which keep running
    And 20 seconds pass
    Then "checked" has an owner

  Scenario: The owner is stopped as planned
    Given a zone of 3 hosts
    When the owner of "checked" leaves
    And 1 second passes
    Then another host may send orders to "checked"

  Scenario: The owner in a zone of two hosts is stopped as planned
    Given a zone of 2 hosts
    When the owner of "checked" leaves
    And 1 second passes
    Then another host may send orders to "checked"

  Scenario: A new owner waits before it orders an endpoint that ignores fencing tokens
    Given a zone of 3 hosts
    When the owner of "ignoring" leaves
    Then no host may send orders to "ignoring" for 8 seconds
    And another host may send orders to "ignoring"

  Scenario: An owner releases the endpoint after another host has used a higher fencing token
    Given a zone of 3 hosts
    And "drains" is resident on "checked"
    When an unknown host sends "checked" an order with a higher fencing token
    And the owner of "checked" decides to load "late"
    And 1 second passes
    Then the owner of "checked" has released the endpoint after 1 refusal
