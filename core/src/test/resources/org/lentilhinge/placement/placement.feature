Feature: An owner decides which adapters are resident on its engine

  Scenario: A cold engine first loads the adapter that most requests wait for
    Given an engine with 2 adapter slots and no resident adapter
    When gateway "first" waits for "rare" with 1 request
    And gateway "second" waits for "hot" with 6 requests
    Then the next load is "hot"

  Scenario: A failed load is retried
    Given an engine with 2 adapter slots and no resident adapter
    When gateway "first" waits for "drains" with 1 request
    And the load of "drains" fails
    Then no gateway is declined
    When 400 milliseconds pass
    And the load of "drains" succeeds
    Then gateway "first" may use "drains"

  Scenario: A poisoned adapter is declined and the engine continues to serve other adapters
    Given an engine with 2 adapter slots and no resident adapter
    When gateway "first" waits for "poison" with 1 request
    And the load of "poison" fails 6 times
    Then gateway "first" is declined with reason POISONED
    When gateway "first" waits for "drains" with 1 request
    And the load of "drains" succeeds
    Then gateway "first" may use "drains"

  Scenario: An adapter in use is never evicted
    Given an engine with 2 adapter slots and resident adapters "drains" and "lamps"
    And "drains" and "lamps" are in use
    When gateway "first" waits for "rare" with 1 request
    Then gateway "first" is declined with reason NO_FREE_SLOT
