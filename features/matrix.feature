Feature: What must always hold under every fault
  Mixed requests arrive for six seconds. One fault, or two at once, is injected after one
  second and removed five seconds after the last request. The checks read the workers'
  records.

  @no_overload @no_double_run @own_answer @true_not_run @at_most_once
  Scenario Outline: <faults>
    Given a zone with 3 entry hosts and 4 workers
    When mixed requests arrive and <faults> is injected
    Then no worker was overcommitted
    And no request ran twice at once
    And every answer belonged to its request
    And nothing that was told "not run" has run
    And nothing that is not repeatable was started twice
    And at least <percent>% of the requests were done

    Examples:
      | faults | percent |
      | a kill | 50 |
      | a pause past the lease | 50 |
      | a cut zone | 50 |
      | a cut entry host | 50 |
      | a platform outage | 50 |
      | lost answers after the write | 50 |
      | restarting workers | 50 |
      | lost and crossed messages | 50 |
      | a graceful stop | 50 |
      | a kill with lost answers after the write | 50 |
      | a pause past the lease with a platform outage | 50 |
      | a kill with restarting workers | 50 |
      | a cut entry host with lost and crossed messages | 50 |
      | a graceful stop with a platform outage | 50 |
