Feature: An accepted sheet is in force everywhere within seconds and never reverts
  Operators apply sheets to real entry hosts under a mixed load, while every host is
  asked all the time for the version that it has in force. These scenarios guard against
  a host that misses a version, goes back to an older one, or hides that a zone is away.

  @sheet_in_force
  Scenario: A sheet applied through one entry host is in force on all of them
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 2 s
    When an operator applies a sheet through sibenik-e2
    Then the sheet is in force on every entry host within 5 s
    And no host ever reported a lower version than before
    And every request is answered and the records show no fault

  @sheet_in_force
  Scenario: Two operators race on the same version
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 2 s
    When two operators apply different sheets on the same version at once
    Then one is accepted, the other is refused and shown the change of the first
    And the sheet is in force on every entry host within 5 s
    And no host ever reported a lower version than before
    And every request is answered and the records show no fault

  @sheet_in_force
  Scenario: The entry host that applied a sheet is killed right after its answer
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 3 s
    When an operator applies a sheet through rijeka-e1
    And the host rijeka-e1 is killed
    Then the sheet is in force on every other entry host within 5 s
    When the host rijeka-e1 is started again
    Then the sheet is in force on every entry host within 5 s
    And no host ever reported a lower version than before
    And every request is answered and the records show no fault

  @sheet_in_force
  Scenario: The platform loses its answer after the sheet was written
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 2 s
    When the answer to the row of a sheet applied through zadar-e1 is lost
    Then the sheet is in force on every entry host within 5 s
    When the platform is well
    Then no host ever reported a lower version than before
    And every request is answered and the records show no fault

  @sheet_in_force
  Scenario: The entry hosts of a zone are cut off from the platform, not from their peers
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 2 s
    When all entry hosts of rijeka are cut off from the platform
    And an operator applies a sheet through zadar-e2
    Then the sheet is in force on every entry host within 5 s
    When the platform is well
    Then no host ever reported a lower version than before
    And every request is answered and the records show no fault

  @sheet_in_force
  Scenario: A zone that is cut off from everything is named and catches up
    Given a running fleet whose versions are watched
    And callers send 60 requests a second for 2 s
    When all entry hosts of sibenik stand still
    And an operator applies a sheet with the program through zadar-e1
    Then the program names sibenik as cut off and ends with status 9
    When all entry hosts of sibenik go on
    Then the sheet is in force on every entry host within 5 s
    And no host ever reported a lower version than before
    And every request is answered and the records show no fault
