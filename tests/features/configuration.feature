Feature: An accepted configuration is in force everywhere and never reverts

  Scenario Outline: A change while the platform has trouble
    Given a deployment in good health
    And the platform <trouble>
    When an operator submits a change
    Then it is accepted
    And it is in force everywhere within 18 seconds
    And no host ever went back

    Examples:
      | trouble                       |
      | works                         |
      | is slow                       |
      | loses the reply to the commit |

  Scenario: Two operators at once
    Given a deployment in good health
    When two operators submit different changes at once
    Then one is accepted and the other is told who won
    And it is in force everywhere within 18 seconds
    And no host ever went back

  Scenario: The platform is lost right after the acceptance
    Given a deployment in good health
    When the platform goes down once one host has the change
    Then it is in force everywhere within 18 seconds
    And no host ever went back

  Scenario: A host starts while the platform is down
    Given a deployment in good health
    When a host starts anew while the platform is down
    Then it serves with the version that its peers have
    And no host ever went back

  Scenario: A host starts without the platform and without peers
    Given a deployment in good health
    When a host starts anew while all others are out of reach
    Then it refuses requests as not run and says why

  Scenario: A data centre that was cut off comes back
    Given a deployment in good health
    When a change is accepted while a data centre is cut off
    Then the cut-off data centre goes on serving the old version
    And it is in force everywhere within 18 seconds of the healing
    And no host ever went back

  Scenario: A frozen host wakes with an old version
    Given a deployment in good health
    When a change is accepted while a host is frozen
    Then it is in force everywhere within 18 seconds
    And no host ever went back
