Feature: The invariants hold for real processes under each fault
  All processes of a deployment run on the loopback address, under a mixed load. The
  workers' records and the callers' answers are checked after each fault. These
  scenarios guard against defects where the parts meet the operating system and each
  other: sockets, signals, timers and settings.

  @no_double_run @no_overload @own_answer
  Scenario: The leader process of a zone is killed
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load continues for 1.5 s
    And the leader process of zadar is killed
    Then every request is answered and the records show no violation
    And another process is the leader of zadar

  @no_double_run @at_most_once
  Scenario: The leader process of a zone is paused for longer than its lease
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When the load continues for 1 s
    And the leader process of sibenik is paused
    And the load continues for 9 s
    And the paused process is resumed
    Then every request is answered and the records show no violation
    And another process is the leader of sibenik

  @true_not_run @at_most_once
  Scenario: The platform is unavailable and then drops the replies to writes
    Given a running fleet
    And callers send 60 requests a second for 9 s
    When the load continues for 0.5 s
    And the platform server becomes unavailable
    And the load continues for 8 s
    And the platform server drops the replies to writes
    And the load continues for 2 s
    And the platform server works again
    Then every request is answered and the records show no violation
    And at least 100 requests completed during the outage

  @no_double_run @no_overload @true_not_run
  Scenario: One leader and all hosts of another zone are partitioned from the platform
    Given a running fleet
    And callers send 60 requests a second for 6 s
    When the load continues for 1 s
    And the leader of rijeka and all entry hosts of zadar lose access to the platform
    And the load continues for 5 s
    Then zadar completed repeatable requests in the last 1.5 s
    And another process is the leader of rijeka
    When the platform server works again
    Then every request is answered and the records show no violation

  @no_double_run @at_most_once @own_answer
  Scenario: A leader is killed while the platform drops the replies to writes
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load continues for 1 s
    And the platform server drops the replies to writes
    And the load continues for 0.5 s
    And the leader process of zadar is killed
    And the load continues for 4 s
    And the platform server works again
    Then every request is answered and the records show no violation
    And another process is the leader of zadar

  @no_double_run @at_most_once @true_not_run
  Scenario: A leader is paused while the platform is unavailable
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load continues for 1 s
    And the platform server becomes unavailable
    And the load continues for 0.5 s
    And the leader process of sibenik is paused
    And the load continues for 4 s
    And the paused process is resumed
    And the load continues for 1 s
    And the platform server works again
    Then every request is answered and the records show no violation

  @graceful_stop @own_answer
  Scenario: A leader and a follower are stopped gracefully
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When the load continues for 0.5 s
    And 24 callers wait for replies of a follower process of sibenik
    And 24 callers wait for replies of the leader process of rijeka
    And both processes receive SIGTERM
    Then each waiting caller receives the complete answer to its own request
    And both processes exit with status 0
    And every request is answered and the records show no violation

  @leaving
  Scenario: A worker is listed as draining
    Given a running fleet
    And callers send 60 requests a second for 6 s
    When the load continues for 1 s
    And the busiest worker of zadar is listed as draining
    Then every request is answered and the records show no violation
    And the draining worker started no task later than 3 s after the listing

  @own_answer @true_not_run @at_most_once
  Scenario: Workers fail runs, drop, delay and duplicate replies, and restart
    Given a running fleet
    And callers send 60 requests a second for 5 s, each due in 9 s
    When the load continues for 1 s
    And the busiest worker of zadar fails all runs
    And the busiest worker of sibenik drops replies
    And the busiest worker of rijeka delays and duplicates its replies
    And the load continues for 1 s
    And the second busiest worker of zadar restarts
    And the load continues for 2 s
    And all worker faults are cleared
    Then every request is answered except those whose run was lost in a restart

  @true_not_run @own_answer
  Scenario: Callers send invalid requests
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When callers send these invalid requests to zadar-e1
      | fault                  | status | code          | field           | message             |
      | broken JSON            | 400    | bad_json      |                 | not JSON            |
      | a body that is large   | 413    | too_large     |                 | over 1048576 bytes  |
      | a body that stalls     | 408    | too_slow      |                 | within 5 s          |
      | an unknown kind        | 400    | unknown_kind  | kind            | not a kind of work  |
      | a negative size        | 400    | bad_field     | size.memory_mb  | size.memory_mb must |
      | an impossible size     | 422    | never_fits    | size.cpu_millis | cpu_millis          |
      | an id with new content | 409    | id_conflict   | id              | id                  |
      | an unknown field       | 400    | unknown_field | sise            | 'sise' is not       |
      | no team                | 400    | bad_field     | team            | team must           |
      | an unknown zone        | 400    | unknown_zone  | availability_zone | not a zone        |
    Then each request is refused as listed and did not run
    And every request is answered and the records show no violation
    And no process has exited

  @at_most_once @own_answer
  Scenario: The same request arrives concurrently through all entry hosts
    Given a running fleet
    And callers send 60 requests a second for 2 s
    When callers send 10 requests for zadar, each through all entry hosts at once
    Then each request ran once and every caller received its answer
    And every request is answered and the records show no violation
