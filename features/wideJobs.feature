Feature: Jobs whose state is larger than a row of the store

    # Guards against a job whose state outgrew a row, so that no commit of its shard could be written any more.
    Scenario: A job of 5,000 tasks runs to its end, and small jobs beside it do too
        Given a cell of 3 daemons and 4 workers
        When a job of 5000 small tasks is submitted
        And the shard runs for 500 ms
        And 5 jobs of steps "1" are submitted
        Then all jobs are "completed" within 20000 ms
        And every task ran 1 time
        And no promise was broken
        And the shard has had no other owner

    # Guards against a takeover that loses or repeats tasks of a job whose state takes several rows.
    Scenario Outline: A <kind> of <count> tasks is completed although "<fault>" comes <ms> ms after its submission
        Given a cell of 3 daemons and 4 workers
        When a <kind> of <count> small tasks is submitted
        And the shard runs for <ms> ms
        And the fault "<fault>" comes
        And the shard runs for 3000 ms
        And the fault goes
        And 2 jobs of steps "1" are submitted
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

        Examples:
            | kind | count | fault                | ms  |
            | job  | 3000  | owner killed         | 20  |
            | job  | 3000  | owner killed         | 60  |
            | job  | 3000  | owner killed         | 700 |
            | job  | 3000  | worker crashes       | 500 |
            | job  | 3000  | store loses answers  | 30  |
            | job  | 3000  | store answers late   | 30  |
            | job  | 3000  | worker carries out late | 10 |
            | job  | 3000  | half of the workers carry out late | 10 |
            | job  | 3000  | orders to a worker get lost | 10 |
            | gang | 3000  | owner killed         | 30  |
            | gang | 3000  | worker crashes       | 500 |

    # Guards against long checkpoints, whose length the upstream decides, that make a row or a transaction too large.
    Scenario Outline: Tasks with checkpoints of <bytes> bytes are completed, also under the next owner
        Given a cell of 3 daemons and 4 workers whose tasks save checkpoints of <bytes> bytes every 300 ms
        When a job of <count> small tasks with checkpoints is submitted
        And the shard runs for 900 ms
        And 2 jobs of steps "1" are submitted
        And the fault "owner killed" comes
        And the shard runs for 2000 ms
        And the fault goes
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

        Examples:
            | bytes | count |
            | 400   | 150   |
            | 3000  | 400   |
            | 60000 | 20    |

    # Guards against a successor that cannot restore a job of whose newest change only a part is durable.
    Scenario Outline: A job can go on wherever its change is broken off, <what>
        Given a <kind> of 700 tasks of which all run
        When <what>
        Then each first part of that change is restored to a job that can be completed

        Examples:
            | kind | what                             |
            | job  | all of its tasks end             |
            | job  | half of its tasks end            |
            | gang | all of its tasks end             |
            | gang | all of its tasks are started anew |

    # Guards against a takeover that finds a part of the tasks in no row, so that it starts them again although they run or are done.
    Scenario Outline: A successor knows all tasks wherever the pages of a job are divided anew, checkpoints become <what>
        Given a job of 700 tasks of which all run
        When the checkpoints of its tasks become <what>, while some of them end
        Then each first part of that change keeps what was durable of its tasks

        Examples:
            | what    |
            | longer  |
            | shorter |

    # Guards against starts that time out in the daemon that sends them, all at once, and are repeated again and again.
    Scenario Outline: The starts of a <kind> of <count> tasks are sent as fast as a daemon can send them
        Given a cell of 3 daemons and 4 workers where each start costs a daemon 0.5 ms
        When a <kind> of <count> small tasks is submitted
        And the shard runs for 100 ms
        And 3 jobs of steps "1" are submitted
        Then all jobs are "completed" within 20000 ms
        And every start was the first of its task
        And no promise was broken
        And the shard has had no other owner

        Examples:
            | kind | count |
            | job  | 3000  |
            | gang | 2000  |

    # Guards against an accepted job that the store can never take, and against a refusal that comes late or without the limit.
    Scenario: A job that does not fit into a row of the store is refused at once, and the others go on
        Given a cell of 3 daemons and 4 workers
        When a job of 100 steps with labels of 200 characters is submitted once
        And the shard runs for 100 ms
        Then its answer is "neverFits"
        When 2 jobs of steps "2" are submitted
        Then all jobs are "completed" within 5000 ms
        And the shard has had no other owner

    # Guards against one job that stops the commits of all others because the store never accepts its rows.
    Scenario Outline: A job whose rows the store never accepts is set aside until it has changed, with limits that are <limits>
        When 6 jobs are committed, one of them with a row that is too large, to a store whose limits are <limits>
        Then the other 5 are durable within 200 ms, and one job was set aside
        When that job has a small row again and is committed
        Then it is durable within 1500 ms

        Examples:
            | limits  |
            | known   |
            | unknown |

    # Guards against jobs that fill the memory of the process that accepts them, each of them sound by itself.
    Scenario: Jobs beyond the tasks that an owner can hold are refused, until others have ended
        Given a cell of 3 daemons and 4 workers that hold at most 500 tasks
        When jobs of "600, 300, 300" small tasks are submitted once, one after the other
        Then they were answered "neverFits, accepted, overloaded"
        When the shard runs for 4000 ms
        And jobs of "300" small tasks are submitted once, one after the other
        Then they were answered "accepted"
        And no promise was broken

    # Guards against the starts of a job that the store cannot take, which would keep their room and stop the placement of others.
    Scenario: An accepted job whose rows the store rejects for a while goes on afterwards, and the others at once
        Given a cell of 3 daemons and 4 workers
        When a job of two steps of 900 small tasks is submitted
        And the shard runs for 1200 ms
        And the store rejects the rows of that job
        And the shard runs for 2500 ms
        Then the job was set aside
        When 3 jobs of steps "2, 2 after 0" are submitted
        Then the last 3 jobs are "completed" within 4000 ms
        When the store accepts its rows again
        Then all jobs are "completed" within 12000 ms
        And no promise was broken
        And the shard has had no other owner
