Feature: Connections that went silent for good
  Open connections may carry nothing more while new ones work. Reads recover
  on a fresh connection within a second.

  Scenario Outline: Silence on one hop
    Given a deployment in good health
    When callers read while the open connections of <hop> go silent
    Then every request is done
    And no read took longer than 1 second
    And no invariant about requests is broken

    Examples:
      | hop                          |
      | callers to entry hosts       |
      | entry hosts to entry hosts   |
      | entry hosts to servers       |
      | entry hosts to the platform  |
