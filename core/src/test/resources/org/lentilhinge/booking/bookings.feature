Feature: A booking runs at most once, and its caller receives a true outcome

  Scenario: A caller repeats a key at another entry host
    Given owners with complete tables
    When K1 is booked at amber
    And 100 ms pass
    And K1 is booked at basalt
    And 100 ms pass
    Then the outcomes of K1 are ran, ran
    And K1 ran 1 times

  Scenario: A duplicate arrives while the first request is still running
    Given owners with complete tables
    And messages take up to 100 ms
    When K1 is booked at amber
    And K1 is booked at basalt
    And K1 is booked at clay
    And 900 ms pass
    Then the outcomes of K1 are ran, ran, ran
    And K1 ran 1 times

  Scenario: A call that no instance accepted may be repeated with the same key
    Given owners with complete tables
    And the service refuses connections
    When K1 is booked at amber
    And 100 ms pass
    Then the outcomes of K1 are not run
    When the service responds
    And K1 is booked at basalt
    And 100 ms pass
    Then the outcomes of K1 are not run, ran
    And K1 ran 1 times

  Scenario: The owner crashes before the call is sent
    Given owners with complete tables
    When K1 is booked at a host that is not its owner
    And the owner of K1 crashes
    And 3000 ms pass
    Then the outcomes of K1 are unknown
    And K1 ran 0 times

  Scenario: The owner crashes after the call was sent
    Given owners with complete tables
    And the service sends no response
    When K1 is booked at a host that is not its owner
    And 30 ms pass
    And the owner of K1 crashes
    And 1500 ms pass
    And the service responds
    And K1 is booked at a host that is not its owner
    And 1500 ms pass
    Then the outcomes of K1 are unknown, unknown
    And K1 ran 1 times

  Scenario: The gateway crashes after it forwarded the call
    Given owners with complete tables
    When K1 is booked at a host that is not its owner
    And 10 ms pass
    And the gateway of K1 crashes
    And 100 ms pass
    And K1 is booked at the owner of K1
    And 100 ms pass
    Then the outcomes of K1 are ran
    And K1 ran 1 times

  Scenario: A network partition with the same key on both sides
    Given owners with complete tables
    When the owner of K1 is disconnected
    And K1 is booked at the owner of K1
    And K1 is booked at a host that is not its owner
    And 1500 ms pass
    Then the outcomes of K1 are ran, unknown
    And K1 ran 1 times

  Scenario: A pooled connection is stale
    Given owners with complete tables
    And the service breaks connections
    When K1 is booked at amber
    And 200 ms pass
    And the service responds
    And K1 is booked at basalt
    And 200 ms pass
    Then the outcomes of K1 are unknown, unknown
    And K1 ran 1 times

  Scenario: No response arrives after the request was sent
    Given owners with complete tables
    And the service loses requests
    When K1 is booked at amber
    And 1500 ms pass
    Then the outcomes of K1 are unknown
    And K1 ran 0 times

  Scenario: All hosts are replaced one after the other
    Given owners with complete tables
    When K1 is booked at amber
    And 100 ms pass
    And amber is replaced and hands over to basalt
    And basalt is replaced and hands over to clay
    And clay is replaced and hands over to amber
    And K1 is booked at basalt
    And K2 is booked at basalt
    And 600 ms pass
    Then the outcomes of K1 are ran, ran
    And K1 ran 1 times
    And the outcomes of K2 are ran

  Scenario: A ticket remains valid after the planned replacement of its issuer
    When a ticket T1 is issued at amber
    And amber is replaced and hands over to basalt
    And basalt is replaced and hands over to clay
    And T1 is booked at amber
    And 600 ms pass
    Then the outcomes of T1 are ran
    And T1 ran 1 times

  Scenario: The successor restarts before the stopping host receives its acknowledgement
    When a ticket T1 is issued at basalt
    And basalt starts a hand-over to amber
    And 20 ms pass
    And basalt does not receive messages from amber
    And 100 ms pass
    And T1 is booked at clay
    And 600 ms pass
    And amber crashes
    And amber restarts
    And the connections are restored
    And 600 ms pass
    And T1 is booked at clay
    And 1500 ms pass
    Then T1 ran 1 times
    And the outcomes of T1 are ran, unknown

  Scenario: A paused owner resumes after a takeover by another host
    Given owners with complete tables
    When K1 is booked at the owner of K1
    And 10 ms pass
    And the owner of K1 pauses
    And 3000 ms pass
    And K1 is booked at a host that is not its owner
    And 1500 ms pass
    And the owner of K1 resumes
    And 1500 ms pass
    Then K1 ran 0 times
    And the outcomes of K1 are unknown, unknown

  Scenario: A key is reused with another call
    Given owners with complete tables
    When K1 is booked at amber
    And 100 ms pass
    And K1 is booked at basalt with another body
    And 100 ms pass
    Then the outcomes of K1 are ran, not run
    And the last reason for K1 is CALL_MISMATCH
    And K1 ran 1 times

  Scenario: A ticket is reused after its record has expired
    When a ticket T1 is issued at amber
    And T1 is booked at amber
    And 25000 ms pass
    And T1 is booked at basalt
    And 500 ms pass
    Then the outcomes of T1 are ran, unknown
    And the last reason for T1 is FORGOTTEN
    And T1 ran 1 times

  Scenario: A ticket is unknown after the crash of its issuer, and a new ticket runs immediately
    When a ticket T1 is issued at amber
    And amber crashes
    And amber restarts
    And T1 is booked at basalt
    And a ticket T2 is issued at amber
    And T2 is booked at basalt
    And 500 ms pass
    Then the outcomes of T1 are unknown
    And the last reason for T1 is HOME_LOST
    And T1 ran 0 times
    And the outcomes of T2 are ran

  Scenario: An ordinary key is unknown until the quarantine of a new owner has passed
    When K1 is booked at amber
    And 100 ms pass
    Then the outcomes of K1 are unknown
    When 3500 ms pass
    And K2 is booked at amber
    And 100 ms pass
    Then the outcomes of K2 are ran
    And K1 ran 0 times

  Scenario: A service that deduplicates is retried
    Given owners with complete tables
    And the service deduplicates
    And the service breaks connections
    When K1 is booked at amber
    And 200 ms pass
    Then the outcomes of K1 are unknown
    When the service responds
    And K1 is booked at basalt
    And 200 ms pass
    Then the outcomes of K1 are unknown, ran
    And K1 ran 1 times
