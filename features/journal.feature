Feature: The journal determines which requests may start and which were not run
  A request that is not repeatable is started only after its intent is durable. A
  caller receives the outcome "not run" only if no later leader can read the intent.

  Background:
    Given the leader "old" of epoch 1 with an accepted request "r"

  @at_most_once
  Scenario: The write of an intent succeeds and its reply is lost
    When "old" writes the intent to start "r"
    And the table writes the row and its reply is lost
    And "old" reads the row back
    Then "old" may start "r"
    And the table contains 1 intent to start "r"
    When the leader "new" of epoch 2 opens the journal
    Then "new" may not start "r"

  @at_most_once
  Scenario: The old leader is paused after the write is confirmed and before the start
    When "old" writes the intent to start "r"
    And the table writes the row and replies
    Then "old" may start "r"
    When the leader "new" of epoch 2 opens the journal
    Then "new" may not start "r"
    And "new" recovers the intent to start "r" on worker "w-old"

  @at_most_once
  Scenario: The old leader is paused before its write reaches the table
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And "new" writes the intent to start "r"
    And the table writes the row and replies
    Then "new" may start "r"
    When the delayed write of "old" reaches the table
    Then "old" may not start "r"
    And the journal of "old" is fenced
    And the table contains 1 intent to start "r"

  @at_most_once
  Scenario: The old leader resumes after the ring buffer was overwritten
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And "new" writes the intent to start "r"
    And the table writes the row and replies
    And "new" fills the ring buffer twice
    And the delayed write of "old" reaches the table
    Then "old" may not start "r"
    And the journal of "old" is fenced
    When the leader "third" of epoch 3 opens the journal
    Then "third" may not start "r"

  @true_not_run
  Scenario: The platform is unavailable during an append
    When "old" writes the intent to start "r"
    And the write does not reach the table and no reply arrives
    And reads from the table fail
    Then the journal of "old" is unavailable
    And "old" cannot report "r" as not run
    When the request "later" is refused before its journal entry is sent
    And the table replies again
    Then "old" may start "r"
    And the table contains no entry of "later"

  @true_not_run
  Scenario: A fenced leader reports exactly the entries that were not written
    When "old" writes the intent to start "r"
    And the leader "new" of epoch 2 opens the journal
    And the delayed write of "old" reaches the table
    Then "old" can report "r" as not run
    And the table contains 0 intents to start "r"

  @at_most_once @true_not_run
  Scenario: Two new leaders open the journal concurrently
    When the leaders "second" of epoch 2 and "third" of epoch 3 read the rows
    And "second" writes the first row of its epoch and then "third" writes its own
    And "second" writes the intent to start "r"
    And the delayed write of "second" reaches the table
    Then "second" may not start "r"
    And "second" can report "r" as not run
    And the journal of "third" is ready
    And the table contains 0 intents to start "r"
