Feature: Guarantees of the ten invariants while something fails
  Each scenario runs a small deployment in simulated time while something fails.
  Its number is that of the invariant in section 1.2 of the design page.

  Scenario: 1. Load probes stay within their budget
    Given Tsagaan Tal serves 300 calls a second
    When a court-status server in ub1 is slow for 2 seconds
    Then no node sends more load probes than its budget allows
    And most callers got their answers

  Scenario: 2. A server that starts cold is not overloaded
    Given Tsagaan Tal serves 300 calls a second
    When the bookings server in da2 restarts without warning
    Then it gets no more calls than its cold limit, once its node can know of it
    And most callers got their answers

  Scenario: 3. An availability zone that is taken out gets no new work
    Given Tsagaan Tal serves 100 calls a second
    When Darkhan's second availability zone is taken out
    Then it gets no new work after 3 seconds
    And most callers got their answers

  Scenario: 3. A node that missed the change gets no new work either
    Given Tsagaan Tal serves 100 calls a second
    When the bookings server's node in da2 is paused for 4 seconds
    And Darkhan's second availability zone is taken out
    Then it gets no new work after 3 seconds

  Scenario: 3. A node that is cut off from everything gets no new work either
    Given Tsagaan Tal serves 100 calls a second
    When the bookings server's node in da2 loses all its connections
    And Darkhan's second availability zone is taken out
    Then it gets no new work after 3 seconds

  Scenario: 4. Data of a club stays in its home region
    Given Tsagaan Tal serves 100 calls a second
    And a club whose data must stay in Darkhan
    When all bookings servers in Darkhan are lost
    Then nothing of the club was sent, run, logged or kept elsewhere
    And calls of the club were refused as "not run"

  Scenario: 5. Every caller gets the answer to its own call
    Given Tsagaan Tal serves 300 calls a second
    When the bookings server in da2 and its connections are slow for 2 seconds
    Then every call ended once, with its own complete answer or a refusal
    And most callers got their answers

  Scenario: 6. "Not run" is true
    Given Tsagaan Tal serves 100 calls a second
    When all bookings servers in Darkhan are lost
    And the log service fails and the bookings server's node in da2 restarts
    Then nothing that was refused as "not run" has run

  Scenario: 7. A booking is made at most once
    Given Tsagaan Tal serves 100 calls a second
    And every caller submits again before the answer arrives
    When the bookings server's node in da2 is paused for 2 seconds
    Then no booking ran twice
    And most callers got their answers

  Scenario: 7. A seal is issued at most once while a zone is taken out
    Given Kettle Safety serves 100 calls a second
    And every caller submits again before the answer arrives
    When Karadeniz's second availability zone is taken out
    And the seal-issuance server's node in ege1 is killed
    Then no booking ran twice
    And most callers got their answers

  Scenario: 8. A draining server gets no new work
    Given Tsagaan Tal serves 100 calls a second
    When the bookings server in da2 begins to drain
    Then it gets no new work 3 seconds after it began to drain
    And most callers got their answers

  Scenario: 9. A graceful shutdown interrupts no request
    Given Tsagaan Tal serves 300 calls a second
    When the bookings server's node in da2 is asked to shut down
    Then it finished all its calls before it exited
    And most callers got their answers

  Scenario: 10. An accepted change is in force everywhere and stays
    Given Tsagaan Tal serves 100 calls a second
    When two operators take different zones out at the same moment
    And the node of the first operator is killed
    Then exactly one of the two changes is accepted
    And it is in force everywhere within 12 seconds and never reverts

  Scenario: 10. A change is in force although its record has expired
    Given Tsagaan Tal serves 100 calls a second
    When Darkhan's second availability zone is taken out
    And the bookings server's node in da1 is paused until the log has expired it
    Then it is in force everywhere within 12 seconds and never reverts
