Feature: Callers receive the correct outcome of their requests
  These scenarios guard against lost and duplicated answers, answers to the wrong
  caller, and the outcome "not run" for a request that ran. A request that is not
  repeatable starts only after the leader recorded the intent in the journal.

  @at_most_once @true_not_run
  Scenario: The leader is killed before it sends a recorded start
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 100 ms
    And the leader is paused after deciding a start and before sending it
    And the leader is killed
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome done

  @at_most_once
  Scenario: The leader is paused before it sends a recorded start
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 100 ms
    And the leader is paused after deciding a start and before sending it
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 2 s pass
    And the leader resumes
    And 5 s pass
    Then "order" ran exactly once

  @at_most_once
  Scenario: The leader is killed while a request that is not repeatable runs
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 500 ms
    And 0.2 s pass
    And the leader is killed
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome done

  @at_most_once
  Scenario: A caller resubmits the same id through other entry hosts
    Given a zone with 3 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 2000 ms
    And the caller of "order" resubmits it through all other entry hosts
    And the caller of "order" resubmits it
    And 5 s pass
    And the caller of "order" resubmits it
    And 1 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome done

  @at_most_once
  Scenario: The reply to the write of the intent is lost
    Given a zone with 2 entry hosts and 4 workers
    When the replies to platform writes are lost
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 15 s pass
    Then "order" ran at most once

  @at_most_once
  Scenario: The reply to the write is lost and the leader is killed
    Given a zone with 2 entry hosts and 4 workers
    When the replies to platform writes are lost
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.3 s pass
    And the leader is killed
    And 2 s pass
    And the platform recovers
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 10 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome done

  @true_not_run @at_most_once
  Scenario: A request that cannot be recorded is refused and does not run later
    Given a zone with 2 entry hosts and 4 workers
    When the platform becomes unavailable
    And 4 s pass
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.1 s pass
    Then the caller of "order" receives the outcome not_run
    And "order" never ran

  @true_not_run
  Scenario: A queued request that is cancelled does not run
    Given a zone with 2 entry hosts and 1 workers
    When callers submit 1 requests of 64 cores at once
    And a caller submits "late" with 1 tasks of 64 cores each
    And the caller cancels "late"
    And 10 s pass
    Then the caller of "late" receives the outcome not_run
    And "late" never ran

  @own_answer
  Scenario: Messages are delayed, duplicated and reordered
    Given a zone with 2 entry hosts and 4 workers
    When messages take up to 900 ms and events are duplicated
    And callers submit 40 requests of 8 cores at once
    And 20 s pass
    Then every caller receives the outcome done

  @own_answer @no_double_run
  Scenario: Replies to start commands are lost
    Given a zone with 2 entry hosts and 4 workers
    When worker replies are lost
    And a caller submits "check" that runs for 8000 ms
    And 2 s pass
    And worker replies arrive again
    And 30 s pass
    Then the caller of "check" receives the outcome done

  @leaving
  Scenario: A draining worker gets no new task after 3 s and no request is lost
    Given a zone with 2 entry hosts and 2 workers
    And "check" is a running request of 5000 ms
    When the worker of "check" is listed as draining
    And 3 s pass
    And callers submit 20 requests of 30 cores at once
    And 10 s pass
    Then no task started on the draining worker later than 3 s after the listing
    And every caller receives the outcome done

  @leaving @no_double_run
  Scenario: The leader is killed while a worker drains
    Given a zone with 2 entry hosts and 2 workers
    And "check" is a running request of 5000 ms
    When the worker of "check" is listed as draining
    And the leader is killed
    And another entry host serves as leader
    And callers submit 20 requests of 30 cores at once
    And 20 s pass
    Then no task started on the draining worker later than 3 s after the listing
    And every caller receives the outcome done

  @graceful_stop
  Scenario: A graceful stop of the leader interrupts no request
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 10000 ms
    When callers submit 20 requests of 30 cores at once
    And the leader begins a graceful stop
    And another entry host serves as leader
    And 20 s pass
    Then every caller receives the outcome done
    And "check" ran exactly once

  @graceful_stop
  Scenario: A graceful stop during an outage finishes the accepted requests
    Given a zone with 2 entry hosts and 4 workers
    When the platform becomes unavailable
    And 4 s pass
    And a caller submits "check" that runs for 3000 ms
    And 0.5 s pass
    And the leader begins a graceful stop
    And 5 s pass
    Then "check" ran exactly once
    And the caller of "check" receives the outcome done

  @no_double_run
  Scenario: The leader is killed before it sends the starts of a gang
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "job" with 4 tasks of 40 cores each
    And the leader is paused after deciding a start and before sending it
    And the leader is killed
    And another entry host serves as leader
    And the caller of "job" resubmits it
    And 10 s pass
    Then the caller of "job" receives the outcome done

  @at_most_once
  Scenario: The leader is killed and the workers restart while a recorded request runs
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "order" that is not repeatable and runs for 2000 ms
    And 0.2 s pass
    And the leader is killed
    And every worker restarts
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome unknown

  @at_most_once
  Scenario: The platform becomes unavailable before the intent is written
    Given a zone with 2 entry hosts and 4 workers
    When the platform becomes unavailable
    And a caller submits "order" that is not repeatable and runs for 100 ms
    And 0.5 s pass
    And the leader is killed
    And 70 s pass
    And the platform recovers
    And another entry host serves as leader
    And the caller of "order" resubmits it
    And 5 s pass
    Then "order" ran exactly once
    And the caller of "order" receives the outcome done
