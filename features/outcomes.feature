Feature: What callers are told is true
  These scenarios guard against lost, doubled and crossed answers, and against
  "not run" for a request that ran.

  @at_most_once @true_not_run
  Scenario: A recorded request's leader is killed before its start is sent
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 100 ms
    And the leader is paused between its decision to start and its sending
    And the leader is killed
    And another entry host takes over
    And the caller of "order" asks again
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" is told done

  @at_most_once
  Scenario: A recorded request's leader is paused before its start is sent
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 100 ms
    And the leader is paused between its decision to start and its sending
    And another entry host takes over
    And the caller of "order" asks again
    And 2 s pass
    And the leader wakes
    And 5 s pass
    Then "order" ran exactly once

  @at_most_once
  Scenario: A recorded request runs while its leader is killed
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 500 ms
    And 0.2 s pass
    And the leader is killed
    And another entry host takes over
    And the caller of "order" asks again
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" is told done

  @at_most_once
  Scenario: A caller comes back with the same id through other entry hosts
    Given a zone with 3 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 2000 ms
    And the caller of "order" asks again through another entry host
    And the caller of "order" asks again
    And 5 s pass
    And the caller of "order" asks again
    And 1 s pass
    Then "order" ran exactly once
    And the caller of "order" is told done

  @at_most_once
  Scenario: The answer to the write of the record is lost
    Given a zone with 2 entry hosts and 4 workers
    When the platform loses the answers to its writes
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 15 s pass
    Then "order" ran at most once

  @at_most_once
  Scenario: The answer is lost and the leader killed together
    Given a zone with 2 entry hosts and 4 workers
    When the platform loses the answers to its writes
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.3 s pass
    And the leader is killed
    And 2 s pass
    And the platform comes back
    And another entry host takes over
    And the caller of "order" asks again
    And 10 s pass
    Then "order" ran exactly once
    And the caller of "order" is told done

  @true_not_run @at_most_once
  Scenario: A request that cannot be recorded is refused and does not run later
    Given a zone with 2 entry hosts and 4 workers
    When the platform goes down
    And 4 s pass
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.1 s pass
    Then the caller of "order" is told not_run
    And "order" never ran

  @true_not_run
  Scenario: A cancelled request that waits does not run
    Given a zone with 2 entry hosts and 1 workers
    When callers submit 1 requests of 64 processors at once
    And a caller submits "late" with 1 tasks of 64 processors each
    And the caller cancels "late"
    And 10 s pass
    Then the caller of "late" is told not_run
    And "late" never ran

  @own_answer
  Scenario: Answers arrive late, twice and in another order
    Given a zone with 2 entry hosts and 4 workers
    When messages take up to 900 ms and events are seen twice
    And callers submit 40 requests of 8 processors at once
    And 20 s pass
    Then every caller is told done

  @own_answer @no_double_run
  Scenario: Replies to starts are lost
    Given a zone with 2 entry hosts and 4 workers
    When replies of workers are lost
    And a caller submits "check" that runs for 8000 ms
    And 2 s pass
    And replies of workers arrive again
    And 30 s pass
    Then the caller of "check" is told done

  @leaving
  Scenario: A leaving worker gets nothing new after 3 s and its work moves or ends
    Given a zone with 2 entry hosts and 2 workers
    And "check" runs for 5000 ms
    When the worker of "check" is listed as leaving
    And 3 s pass
    And callers submit 20 requests of 30 processors at once
    And 10 s pass
    Then no task started on the leaving worker later than 3 s after the notice
    And every caller is told done

  @leaving @no_double_run
  Scenario: A worker leaves while its leader is killed
    Given a zone with 2 entry hosts and 2 workers
    And "check" runs for 5000 ms
    When the worker of "check" is listed as leaving
    And the leader is killed
    And another entry host takes over
    And callers submit 20 requests of 30 processors at once
    And 20 s pass
    Then no task started on the leaving worker later than 3 s after the notice
    And every caller is told done

  @graceful_stop
  Scenario: A leader that stops gracefully hands over without a cut request
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 10000 ms
    When callers submit 20 requests of 30 processors at once
    And the leader drains
    And another entry host takes over
    And 20 s pass
    Then every caller is told done
    And "check" ran exactly once

  @graceful_stop
  Scenario: A leader that stops during an outage finishes what it holds first
    Given a zone with 2 entry hosts and 4 workers
    When the platform goes down
    And 4 s pass
    And a caller submits "check" that runs for 3000 ms
    And 0.5 s pass
    And the leader drains
    And 5 s pass
    Then "check" ran exactly once
    And the caller of "check" is told done

  @no_double_run
  Scenario: All tasks of a job start together or none, after its leader is killed
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "job" with 4 tasks of 40 processors each
    And the leader is paused between its decision to start and its sending
    And the leader is killed
    And another entry host takes over
    And the caller of "job" asks again
    And 10 s pass
    Then the caller of "job" is told done

  @at_most_once
  Scenario: The leader is killed and the workers restart while a recorded request runs
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 2000 ms
    And 0.2 s pass
    And the leader is killed
    And every worker restarts
    And another entry host takes over
    And the caller of "order" asks again
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" is told unknown

  @at_most_once
  Scenario: The platform goes down before the record of a start is written
    Given a zone with 2 entry hosts and 4 workers
    When the platform goes down
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.5 s pass
    And the leader is killed
    And 70 s pass
    And the platform comes back
    And another entry host takes over
    And the caller of "order" asks again
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" is told done
