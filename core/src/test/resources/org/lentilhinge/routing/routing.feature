Feature: A gateway routes requests by its view of the fleet

  Scenario: A rarely used adapter becomes the most requested one
    Given engine "near-1a" holds "rare" and has 5 requests
    Then a request for "rare" is routed to another engine with reason SPILL
    When engine "near-2a" holds "rare" and has 0 requests
    Then a request for "rare" is routed to "near-2a"

  Scenario: A leaving endpoint receives no new requests
    Given engine "near-1a" holds "drains" and has 0 requests
    When engine "near-1a" is leaving
    Then a request for "drains" is not routed to "near-1a"

  Scenario: The adapters of a lost zone are loaded elsewhere
    Given engine "near-1a" holds "drains" and has 0 requests
    When zone "near-1" is lost
    Then a request for "drains" is routed to another engine with reason MISS

  Scenario: The store's budget is exhausted
    Given loads wait 60 seconds for the store on every engine
    Then a request for "drains" is refused at once and may be retried after 60 seconds
