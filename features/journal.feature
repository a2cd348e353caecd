Feature: The journal of a home

    Scenario Outline: An append under the fault "<fault>"
        Given a journal
        And the table has the fault "<fault>" for 3000 ms
        When a record is appended
        And 10000 ms pass
        Then the append is "durable"
        And the journal holds the record 1 time

        Examples:
            | fault     |
            | none      |
            | refuse    |
            | hang      |
            | loseReply |
            | slow      |
            | late      |

    Scenario Outline: A claim under the fault "<fault>"
        Given a journal
        And the table has the fault "<fault>" for 3000 ms
        When a record is appended that claims the row "job/j1"
        And 10000 ms pass
        Then the append is "<outcome>"
        And the journal holds the record <times> time

        Examples:
            | fault     | outcome     | times |
            | none      | durable     | 1     |
            | refuse    | notAccepted | 0     |
            | hang      | durable     | 1     |
            | loseReply | durable     | 1     |
            | late      | durable     | 1     |

    Scenario: A claim of a row that already exists fails alone, and the rest of its batch is written
        Given a journal
        And the row "job/j1" is taken
        When a record is appended that claims the row "job/j1"
        And another record is appended
        And 1000 ms pass
        Then the append is "alreadyExists"
        And the other append is "durable"

    Scenario: A home that lost its ownership writes nothing
        Given a journal
        And the ownership row has changed
        When a record is appended
        And 1000 ms pass
        Then the append is "unavailable"
        And the journal holds the record 0 times
        And the journal reports that it lost ownership

    Scenario: Concurrent appends are written in few transactions
        Given a journal
        When 1000 records are appended at once
        And 1000 ms pass
        Then all of them are durable in at most 5 writes

    Scenario: Appends stay within the configured rate of batches
        Given a journal of 10 batches a second
        When a record is appended every 5 ms for 4000 ms
        And 2000 ms pass
        Then all of them are durable in at most 60 writes
