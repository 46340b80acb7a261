Feature: Steering hosts between the platform's store and backend servers
  Real processes under load, with one trouble or two at a time. Answers are
  the callers' own, nothing that must not be repeated runs twice, and what is
  said not to have run has not run.

  Scenario Outline: Trouble at backend servers
    Given steering hosts that serve
    When callers send requests while <trouble>
    Then no promise to callers is broken
    And at least <served> percent are served

    Examples:
      | trouble                                  | served |
      | nothing is wrong                         | 100    |
      | servers answer twice                     | 95     |
      | servers answer a second time late        | 95     |
      | servers answer for another request first | 95     |
      | servers cut answers                      | 85     |
      | servers reset after the run              | 85     |
      | servers answer without a length          | 95     |
      | servers send what is no answer           | 85     |
      | servers shed                             | 95     |
      | servers fail                             | 85     |
      | a server crashes and restarts            | 85     |
      | a server's address goes to another one   | 85     |
      | a server drains and ends                 | 95     |

  Scenario Outline: Trouble at hosts and the store
    Given steering hosts that serve
    When callers send requests while <trouble>
    Then no promise to callers is broken
    And at least <served> percent are served

    Examples:
      | trouble                                    | served |
      | the store is down                          | 100    |
      | the store is silent                        | 100    |
      | the store forgets its history              | 100    |
      | the store turns a host away during a drain | 95     |
      | a host is stopped as planned               | 95     |
      | a host is killed and starts again          | 60     |
      | settings are read again                    | 100    |
      | entries are damaged                        | 100    |
