Feature: An accepted sheet becomes active everywhere within seconds and never reverts
  Operators apply sheets to real entry hosts under a mixed load, while a poller reads the
  active version of every host. These scenarios guard against a host that misses a
  version or returns to an older one, and against an unreachable zone that is not
  reported.

  @sheet_in_force
  Scenario: A sheet applied through one entry host becomes active on all entry hosts
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 2 s
    When an operator applies a sheet through sibenik-e2
    Then the sheet is active on every entry host within 5 s
    And no host reported a lower version after a higher one
    And every request is answered and the records show no violation

  @sheet_in_force
  Scenario: Two operators concurrently apply sheets based on the same version
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 2 s
    When two operators concurrently apply different sheets based on the same version
    Then one sheet is accepted and the other is refused with the changes of the first
    And the sheet is active on every entry host within 5 s
    And no host reported a lower version after a higher one
    And every request is answered and the records show no violation

  @sheet_in_force
  Scenario: The entry host that applied a sheet is killed right after its reply
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 3 s
    When an operator applies a sheet through rijeka-e1
    And the host rijeka-e1 is killed
    Then the sheet is active on every other entry host within 5 s
    When the host rijeka-e1 is restarted
    Then the sheet is active on every entry host within 5 s
    And no host reported a lower version after a higher one
    And every request is answered and the records show no violation

  @sheet_in_force
  Scenario: The platform writes the sheet and its reply is lost
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 2 s
    When the reply to the row write of a sheet applied through zadar-e1 is lost
    Then the sheet is active on every entry host within 5 s
    When the platform server works again
    Then no host reported a lower version after a higher one
    And every request is answered and the records show no violation

  @sheet_in_force
  Scenario: A zone is partitioned from the platform but not from its peers
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 2 s
    When all entry hosts of rijeka are partitioned from the platform
    And an operator applies a sheet through zadar-e2
    Then the sheet is active on every entry host within 5 s
    When the platform server works again
    Then no host reported a lower version after a higher one
    And every request is answered and the records show no violation

  @sheet_in_force
  Scenario: An unreachable zone is reported and activates the sheet once it is back
    Given a running fleet whose configuration versions are polled
    And callers send 60 requests a second for 2 s
    When all entry hosts of sibenik are paused
    And an operator applies a sheet with the command-line client through zadar-e1
    Then the client reports sibenik as unreachable and exits with status 9
    When all entry hosts of sibenik are resumed
    Then the sheet is active on every entry host within 5 s
    And no host reported a lower version after a higher one
    And every request is answered and the records show no violation
