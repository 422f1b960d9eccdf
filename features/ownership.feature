Feature: Only one leader places on a worker, whatever fails
  Workers start whatever they are given. These scenarios guard against two
  leaders that place on the same worker, and against a request that runs twice.

  @no_double_run @no_overload
  Scenario: The leader is killed while a request runs
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 20000 ms
    When the leader is killed
    And another entry host takes over
    And the caller of "check" asks again
    And 25 s pass
    Then "check" ran exactly once
    And the caller of "check" is told done

  @no_double_run
  Scenario: The leader is paused between its decision and its sending, and wakes later
    Given a zone with 2 entry hosts and 4 workers
    When a caller submits "check" that runs for 20000 ms
    And the leader is paused between its decision to start and its sending
    And another entry host takes over
    And the caller of "check" asks again
    And 1 s pass
    And the leader wakes
    And 30 s pass
    Then "check" ran exactly once
    And the caller of "check" is told done
    And one entry host serves

  @no_double_run @no_overload
  Scenario: The leader is paused past its lease and wakes
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 20000 ms
    When the leader is paused
    And another entry host takes over
    And callers submit 40 requests of 30 processors at once
    And the leader wakes
    And 40 s pass
    Then every caller is told done
    And one entry host serves

  @no_double_run
  Scenario: Two newcomers at once become one leader
    Given a zone with 6 entry hosts and 4 workers
    When callers submit 40 requests of 30 processors at once
    And 10 s pass
    Then one entry host serves
    And every caller is told done

  @no_overload
  Scenario: The platform loses the answers to its writes
    Given a zone with 2 entry hosts and 4 workers
    When the platform loses the answers to its writes
    And callers submit 20 requests of 30 processors at once
    And 20 s pass
    Then every caller is told done
    And one entry host serves

  @no_overload
  Scenario: The zone is cut off from the platform for an hour
    Given a zone with 2 entry hosts and 4 workers
    When the platform goes down
    And 3600 s pass
    And callers submit 20 requests of 30 processors at once
    And 5 s pass
    Then the leader still serves
    And every caller is told done

  @no_double_run @no_overload
  Scenario: The leader alone is cut off from the platform
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 60000 ms
    When the leader is cut off from the platform
    And another entry host takes over
    And the caller of "check" asks again
    And callers submit 20 requests of 30 processors at once
    And 70 s pass
    Then every caller is told done
    And "check" ran exactly once

  @no_double_run
  Scenario: The leader is cut off from workers while its request runs there
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 30000 ms
    When the leader is cut off from 4 workers
    And 30 s pass
    And the cuts end
    And 60 s pass
    Then the caller of "check" is told done

  @no_overload
  Scenario: All workers restart while requests run
    Given a zone with 2 entry hosts and 4 workers
    When callers submit 16 requests of 30 processors at once
    And 0.2 s pass
    And every worker restarts
    And 40 s pass
    Then every caller is told done

  @no_double_run @no_overload
  Scenario: A kill during an outage stops new placements until the platform is back
    Given a zone with 2 entry hosts and 4 workers
    When the platform goes down
    And 5 s pass
    And the leader is killed
    And 30 s pass
    Then no host serves
    When the platform comes back
    And another entry host takes over
    And callers submit 20 requests of 30 processors at once
    And 5 s pass
    Then every caller is told done

  @no_double_run
  Scenario: Workers that restart forget the claim of a leader that is paused
    Given a zone with 2 entry hosts and 4 workers
    When the leader is cut off from the platform
    And 2 s pass
    And a caller submits "check" that runs for 20000 ms
    And the leader is paused between its decision to start and its sending
    And another entry host is elected
    And every worker restarts
    And 0.7 s pass
    And the leader wakes
    And another entry host takes over
    And the caller of "check" asks again
    And 25 s pass
    Then "check" ran at most once at a time

  @no_double_run
  Scenario: Running tasks are kept alive while the platform is down and the leader lost
    Given a zone with 3 entry hosts and 4 workers
    And "check" runs for 60000 ms
    When the platform goes down
    And 5 s pass
    And the leader is killed
    And 30 s pass
    And the platform comes back
    And another entry host takes over
    And the caller of "check" asks again
    And 40 s pass
    Then "check" ran exactly once
    And the caller of "check" is told done

  @no_double_run
  Scenario: A renewal arrives and its reply is lost, then the worker is out of reach
    Given a zone with 2 entry hosts and 4 workers
    And "check" runs for 60000 ms
    When the worker of "check" hears requests and its replies are lost
    And 120 s pass
    Then "check" ran at most once at a time
    And the caller of "check" is told done
