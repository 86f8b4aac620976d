Feature: A gateway shares its capacity among callers under overload

  Scenario: Twofold overload is shed by urgency and fairly among callers
    Given callers "bilbao", "santander" and "pamplona" with equal shares
    When each caller offers 4 requests per second, 1 of them urgent, for 60 seconds
    And 6 requests per second can start
    Then no urgent request is refused
    And each caller starts between 110 and 130 requests
    And every refusal states when to retry
    And no request waits longer than 20 seconds
