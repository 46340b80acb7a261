Feature: What callers are told is true, under one fault and under two
  Every caller gets the whole answer to its own request. When it is told that
  a request was not run, it was not run. A request with a key runs at most
  once.

  Scenario Outline: Requests under faults
    Given a deployment in good health
    When <first>, while <second>
    Then no invariant about requests is broken
    And nearly all reads are answered

    Examples:
      | first                                            | second                                            |
      | nothing                                          | nothing                                           |
      | an entry host is killed                          | nothing                                           |
      | an entry host is killed and starts again         | backend servers reset connections after the run   |
      | an entry host is frozen and wakes                | nothing                                           |
      | an entry host is frozen and wakes                | an entry host is killed                           |
      | a backend server is killed                       | backend servers reset connections before the run  |
      | a backend server is frozen and wakes             | the platform is down                              |
      | answers are truncated and mixed up               | nothing                                           |
      | answers are truncated and mixed up               | an entry host is killed and starts again          |
      | backend servers hang and lie about their load    | nothing                                           |
      | a data centre is cut off for a while             | nothing                                           |
      | a data centre is cut off for a while             | a backend server is killed                        |
      | all open connections go silent                   | nothing                                           |
      | all open connections go silent                   | the platform is down                              |

  Scenario Outline: Requests with keys kept in the platform's table
    Given a deployment in good health
    And keys are kept at the table
    When <first>, while <second>
    Then no invariant about requests is broken
    And nearly all reads are answered
    And some actions are done

    Examples:
      | first                                            | second                                            |
      | the platform loses replies after the write       | nothing                                           |
      | the platform loses replies after the write       | an entry host is killed                           |
      | the platform is down for a while                 | backend servers reset connections after the run   |
      | an entry host is frozen and wakes                | the platform loses replies after the write        |
