Feature: The journal decides what may run and what truly did not
  A request that is not repeatable is started only after its intent is durable. A
  caller is told "not run" only when no later leader can find the intent.

  Background:
    Given the leader "old" of epoch 1 with an accepted request "r"

  @at_most_once
  Scenario: The answer to the write of an intent is lost after the write
    When "old" writes the intent to start "r"
    And the table writes the row and the answer is lost
    And "old" reads the row back
    Then "old" may start "r"
    And the table holds 1 intent to start "r"
    When the leader "new" of epoch 2 opens the journal
    Then "new" may not start "r"

  @at_most_once
  Scenario: The old leader is paused between the confirmation and the start
    When "old" writes the intent to start "r"
    And the table writes the row and answers
    Then "old" may start "r"
    When the leader "new" of epoch 2 opens the journal
    Then "new" may not start "r"
    And "new" knows that "r" may be on worker "w-old"

  @at_most_once
  Scenario: The old leader is paused before its write reaches the table
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And "new" writes the intent to start "r"
    And the table writes the row and answers
    Then "new" may start "r"
    When the table gets the delayed write of "old"
    Then "old" may not start "r"
    And "old" has lost the journal
    And the table holds 1 intent to start "r"

  @at_most_once
  Scenario: The old leader wakes after the ring has wrapped
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And "new" writes the intent to start "r"
    And the table writes the row and answers
    And "new" wraps the ring twice
    And the table gets the delayed write of "old"
    Then "old" may not start "r"
    And "old" has lost the journal
    When the leader "third" of epoch 3 opens the journal
    Then "third" may not start "r"

  @true_not_run
  Scenario: The platform is down during an append
    When "old" writes the intent to start "r"
    And the table does not handle the write and the answer is lost
    And the table does not answer reads
    Then "old" refuses early
    And "old" cannot call "r" not run
    When the caller of "later" is refused before its entry is sent
    And the table answers again
    Then "old" may start "r"
    And the table holds no entry of "later"

  @true_not_run
  Scenario: A leader that lost the journal reports exactly what was not written
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And the table gets the delayed write of "old"
    Then "old" can call "r" not run
    And the table holds 0 intents to start "r"

  @at_most_once @true_not_run
  Scenario: Two new leaders open the journal at once
    When the leaders "second" of epoch 2 and "third" of epoch 3 read the rows
    And "second" begins its epoch and "third" begins its epoch after it
    And "second" writes the intent to start "r"
    And the table gets the delayed write of "second"
    Then "second" may not start "r"
    And "second" can call "r" not run
    And "third" is ready
    And the table holds 0 intents to start "r"
