Feature: Calls and changes survive the failure of other parts
  Every part runs as a separate process. Callers look up the state of courts
  and book courts while parts fail. The backend servers and the callers count
  what happened.

  Background:
    Given six nodes in three availability zones

  Scenario: A node is killed
    Given callers that look up and book
    When the node bookings-0 is killed
    Then calls go on
    And no call was lost
    And no booking ran twice
    And every answer reached the caller it was meant for

  Scenario: A node is frozen for five seconds
    Given callers that look up and book
    When the node bookings-0 is frozen for 5 seconds
    Then calls go on
    And no booking ran twice
    And every answer reached the caller it was meant for

  Scenario: The log service is down for eight seconds
    Given callers that look up and book
    And the plan "down" to add the tenant "newcomers"
    When the log service goes down
    And the new node bookings-3 is started
    Then the backend server of bookings-3 gets calls
    And confirming the plan "down" says that it is not accepted
    When the log service has been down for 8 seconds and returns
    Then the plan "down" can be confirmed
    And no call was cut

  Scenario: The log service loses the answer to a confirmed change
    Given the plan "unanswered" to add the tenant "late-comers"
    When the log service loses the answer to the next append
    Then the plan "unanswered" can be confirmed
    And confirming the plan "unanswered" again names the same change

  Scenario: Every node is replaced under load
    Given callers that look up and book
    When every node is replaced one after another
    Then calls go on
    And no call was cut
    And no booking ran twice
    And every answer reached the caller it was meant for

  Scenario: An availability zone is taken out
    Given callers that look up and book
    When the availability zone ub2 is taken out
    Then ub2 gets no calls from 3 seconds after that
    And no call was cut

  Scenario: Two operators confirm plans that contradict each other
    Given the plan "heavy" to give the tenant "clubs" the weight 5
    And the plan "light" to give the tenant "clubs" the weight 2
    When "heavy" and "light" are confirmed at the same time
    Then exactly one of them is accepted
    And the other operator gets the reason
