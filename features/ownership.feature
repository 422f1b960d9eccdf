Feature: Only one leader places tasks on a worker under any fault
  Workers start every task that they receive. These scenarios guard against two
  leaders that place tasks on the same worker, and against overlapping runs of a
  request.

  @no_double_run @no_overload
  Scenario: The leader is killed while a request runs
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 20000 ms
    When the leader is killed
    And another entry host serves as leader
    And the caller of "check" resubmits it
    And 25 s pass
    Then "check" ran exactly once
    And the caller of "check" receives the outcome done

  @no_double_run
  Scenario: The leader is paused before it sends a start and resumes after a failover
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "check" that runs for 20000 ms
    And the leader is paused after deciding a start and before sending it
    And another entry host serves as leader
    And the caller of "check" resubmits it
    And 1 s pass
    And the leader resumes
    And 30 s pass
    Then "check" ran exactly once
    And the caller of "check" receives the outcome done
    And exactly one entry host serves

  @no_double_run @no_overload
  Scenario: The leader is paused past its lease and resumes
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 20000 ms
    When the leader is paused
    And another entry host serves as leader
    And callers submit 40 requests of 30 cores at once
    And the leader resumes
    And 40 s pass
    Then every caller receives the outcome done
    And exactly one entry host serves

  @no_double_run
  Scenario: One leader is elected among concurrent candidates
    Given a zone with 6 entry hosts and 4 workers
    When callers submit 40 requests of 30 cores at once
    And 10 s pass
    Then exactly one entry host serves
    And every caller receives the outcome done

  @no_overload
  Scenario: The replies to platform writes are lost
    Given a zone with 2 entry hosts and 4 workers
    When the replies to platform writes are lost
    And callers submit 20 requests of 30 cores at once
    And 20 s pass
    Then every caller receives the outcome done
    And exactly one entry host serves

  @no_overload
  Scenario: The zone is partitioned from the platform for an hour
    Given a zone with 2 entry hosts and 4 workers
    When the platform becomes unavailable
    And 3600 s pass
    And callers submit 20 requests of 30 cores at once
    And 5 s pass
    Then the leader still serves
    And every caller receives the outcome done

  @no_double_run @no_overload
  Scenario: Only the leader is partitioned from the platform
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 60000 ms
    When the leader is partitioned from the platform
    And another entry host serves as leader
    And the caller of "check" resubmits it
    And callers submit 20 requests of 30 cores at once
    And 70 s pass
    Then every caller receives the outcome done
    And "check" ran exactly once

  @no_double_run
  Scenario: The leader is partitioned from the workers while they run its request
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 30000 ms
    When the leader is partitioned from 4 workers
    And 30 s pass
    And the partitions heal
    And 60 s pass
    Then the caller of "check" receives the outcome done

  @no_overload
  Scenario: All workers restart while requests run
    Given a zone with 2 entry hosts and 4 workers
    When callers submit 16 requests of 30 cores at once
    And 0.2 s pass
    And every worker restarts
    And 40 s pass
    Then every caller receives the outcome done

  @no_double_run @no_overload
  Scenario: No host serves after the leader is killed during an outage
    Given a zone with 2 entry hosts and 4 workers
    When the platform becomes unavailable
    And 5 s pass
    And the leader is killed
    And 30 s pass
    Then no entry host serves
    When the platform recovers
    And another entry host serves as leader
    And callers submit 20 requests of 30 cores at once
    And 5 s pass
    Then every caller receives the outcome done

  @no_double_run
  Scenario: Restarted workers no longer have the claim of the paused leader
    Given a zone with 2 entry hosts and 4 workers
    When the leader is partitioned from the platform
    And 2 s pass
    And a caller submits "check" that runs for 20000 ms
    And the leader is paused after deciding a start and before sending it
    And another entry host is elected leader
    And every worker restarts
    And 0.7 s pass
    And the leader resumes
    And another entry host serves as leader
    And the caller of "check" resubmits it
    And 25 s pass
    Then "check" had no overlapping runs

  @no_double_run
  Scenario: Running tasks survive an outage of the platform and of the leader
    Given a zone with 3 entry hosts and 4 workers
    And "check" is a running request of 60000 ms
    When the platform becomes unavailable
    And 5 s pass
    And the leader is killed
    And 30 s pass
    And the platform recovers
    And another entry host serves as leader
    And the caller of "check" resubmits it
    And 40 s pass
    Then "check" ran exactly once
    And the caller of "check" receives the outcome done

  @no_double_run
  Scenario: A worker receives lease renewals but its replies are lost
    Given a zone with 2 entry hosts and 4 workers
    And "check" is a running request of 60000 ms
    When the worker of "check" receives requests and its replies are lost
    And 120 s pass
    Then "check" had no overlapping runs
    And the caller of "check" receives the outcome done
