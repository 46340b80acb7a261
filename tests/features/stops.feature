Feature: Planned work interrupts nobody
  A planned stop cuts off no request in flight. A backend server that leaves
  gets no new work after a few seconds, whoever says that it leaves.

  Scenario Outline: Entry hosts stop while callers send
    Given a deployment in good health
    When callers send while <count> entry hosts stop
    Then every request is done
    And no invariant about requests is broken
    And the entry hosts have ended by themselves

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: A caller connects before a stop and sends after the listener closed
    Given a deployment in good health
    When an action comes late on a connection that was open before a stop
    Then the action is done
    And the entry hosts have ended by themselves

  Scenario: An action whose deadline passes after the end of a stop
    Given a deployment in good health
    When an action comes late that may outlast the stop
    Then the action is refused
    And the entry hosts have ended by themselves

  Scenario Outline: A backend server leaves
    Given a deployment in good health
    When callers send while <source> says that a backend server leaves
    Then it starts no request after 2 seconds
    And every request is done
    And no invariant about requests is broken

    Examples:
      | source             |
      | the server         |
      | the host list      |
      | the operator       |
