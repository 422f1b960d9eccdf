Feature: The invariants hold under single and combined faults
  Mixed requests arrive for six seconds. One fault or two concurrent faults are injected
  after one second and removed five seconds after the last request. The checks read the
  workers' records.

  @no_overload @no_double_run @own_answer @true_not_run @at_most_once
  Scenario Outline: Mixed requests under <faults>
    Given a zone with 3 entry hosts and 4 workers
    When mixed requests arrive and <faults> is injected
    Then no worker was overcommitted
    And no request had overlapping runs
    And every caller received the answer to its own request
    And no request that was reported as not run has run
    And no request that is not repeatable was started twice
    And at least <percent>% of the requests completed

    Examples:
      | faults | percent |
      | a leader kill | 50 |
      | a leader pause past the lease | 50 |
      | a partition of the zone from the platform | 50 |
      | a partition of the leader from the platform | 50 |
      | a platform outage | 50 |
      | lost write replies | 50 |
      | worker restarts | 50 |
      | lost and reordered messages | 50 |
      | a graceful stop | 50 |
      | a leader kill with lost write replies | 50 |
      | a leader pause past the lease with a platform outage | 50 |
      | a leader kill with worker restarts | 50 |
      | a partition of the leader from the platform with lost and reordered messages | 50 |
      | a graceful stop with a platform outage | 50 |
