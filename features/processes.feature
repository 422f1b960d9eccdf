Feature: Real processes keep every promise under each fault
  All processes of a deployment run on the loopback address, under a mixed load. The
  workers' records and the callers' answers are judged after each fault. These
  scenarios guard against faults between the parts: sockets, signals, timers, settings.

  @no_double_run @no_overload @own_answer
  Scenario: The process that leads a zone is killed
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load goes on for 1.5 s
    And the process that leads zadar is killed
    Then every request is answered and the records show no fault
    And another process leads zadar

  @no_double_run @at_most_once
  Scenario: The process that leads a zone stands still for longer than its lease
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When the load goes on for 1 s
    And the process that leads sibenik stands still
    And the load goes on for 9 s
    And the process that stood still goes on
    Then every request is answered and the records show no fault
    And another process leads sibenik

  @true_not_run @at_most_once
  Scenario: The platform is down and then loses the answers to writes
    Given a running fleet
    And callers send 60 requests a second for 9 s
    When the load goes on for 0.5 s
    And the platform is down
    And the load goes on for 8 s
    And the platform loses the answers to writes
    And the load goes on for 2 s
    And the platform is well
    Then every request is answered and the records show no fault
    And at least 100 requests were answered during the outage

  @no_double_run @no_overload @true_not_run
  Scenario: One leader alone and all entry hosts of another zone lose the platform
    Given a running fleet
    And callers send 60 requests a second for 6 s
    When the load goes on for 1 s
    And the process that leads rijeka and all entry hosts of zadar lose the platform
    And the load goes on for 5 s
    Then zadar answered repeatable requests in the last 1.5 s
    And another process leads rijeka
    When the platform is well
    Then every request is answered and the records show no fault

  @no_double_run @at_most_once @own_answer
  Scenario: A leader is killed while the platform loses the answers to writes
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load goes on for 1 s
    And the platform loses the answers to writes
    And the load goes on for 0.5 s
    And the process that leads zadar is killed
    And the load goes on for 4 s
    And the platform is well
    Then every request is answered and the records show no fault
    And another process leads zadar

  @no_double_run @at_most_once @true_not_run
  Scenario: A leader stands still while the platform is down
    Given a running fleet
    And callers send 60 requests a second for 4 s
    When the load goes on for 1 s
    And the platform is down
    And the load goes on for 0.5 s
    And the process that leads sibenik stands still
    And the load goes on for 4 s
    And the process that stood still goes on
    And the load goes on for 1 s
    And the platform is well
    Then every request is answered and the records show no fault

  @graceful_stop @own_answer
  Scenario: Entry hosts are stopped gracefully, one that leads and one that does not
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When the load goes on for 0.5 s
    And 24 callers hold connections to the process that follows in sibenik
    And 24 callers hold connections to the process that leads rijeka
    And both processes get SIGTERM
    Then each held connection gets the whole answer to its own request
    And both processes end with status 0
    And every request is answered and the records show no fault

  @leaving
  Scenario: A worker is listed as leaving
    Given a running fleet
    And callers send 60 requests a second for 6 s
    When the load goes on for 1 s
    And the busiest worker of zadar is listed as leaving
    Then every request is answered and the records show no fault
    And the leaving worker started nothing later than 3 s after the listing

  @own_answer @true_not_run @at_most_once
  Scenario: Workers fail everything, drop replies, answer late and twice, and restart
    Given a running fleet
    And callers send 60 requests a second for 5 s and wait 9 s each
    When the load goes on for 1 s
    And the busiest worker of zadar fails everything
    And the busiest worker of sibenik drops replies
    And the busiest worker of rijeka answers late and twice
    And the load goes on for 1 s
    And the second busiest worker of zadar restarts
    And the load goes on for 2 s
    And all workers are well
    Then no request is lost but those that a restart left unknown

  @true_not_run @own_answer
  Scenario: Callers send what cannot be run
    Given a running fleet
    And callers send 60 requests a second for 5 s
    When callers send these to zadar-e1
      | fault                  | status | code          | field           | sentence            |
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
    Then each of them is refused as it says and did not run
    And every request is answered and the records show no fault
    And no process has ended

  @at_most_once @own_answer
  Scenario: The same request arrives through every entry host of all zones at once
    Given a running fleet
    And callers send 60 requests a second for 2 s
    When callers send 10 requests for zadar, each through every entry host at once
    Then each of them ran once and every caller got its answer
    And every request is answered and the records show no fault
