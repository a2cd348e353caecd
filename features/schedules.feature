Feature: Occurrences of scheduled jobs

    # Guards against a schedule that began long ago, whose overdue occurrences were all opened at once and ended the process.
    Scenario: A job that is due hourly since a year is worked off in order while other jobs are served
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a job of 40 small tasks is submitted that is due every 3600000 ms, 17520 times, since 8760 hours
        And the shard runs for 2000 ms
        And 5 jobs of steps "2, 2 after 0" are submitted
        Then all jobs are "completed" within 5000 ms
        When the shard runs for 5000 ms
        Then at least 50 of its occurrences are done, in order, and no task ran twice
        And no row of the shard takes more than 20000 bytes
        And no promise was broken
        And the shard has had no other owner

    # Guards against a loop over all occurrences of a schedule, and against opening without end those that are due at once.
    Scenario Outline: A job that is due every <ms> ms without end is worked off while other jobs are served
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a job of 2 small tasks is submitted that is due every <ms> ms, 1000000000 times, since <hours> hours
        And the shard runs for 2000 ms
        And 5 jobs of steps "2, 2 after 0" are submitted
        Then all jobs are "completed" within 5000 ms
        And at least 50 of its occurrences are done, in order, and no task ran twice
        And no row of the shard takes more than 20000 bytes

        Examples:
            | ms | hours |
            | 1  | 0     |
            | 1  | 24    |
            | 0  | 0     |

    # Guards against a takeover that loses occurrences, opens them again, or opens the whole backlog.
    Scenario Outline: The backlog of a schedule is worked off under the next owner after "<fault>"
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a job of 5 small tasks is submitted that is due every 1000 ms, 300 times, since 1 hours
        And the shard runs for 4000 ms
        And the fault "<fault>" comes
        And the shard runs for 2500 ms
        And the fault goes
        Then its 300 occurrences are done within 60000 ms, and no task ran twice
        And no promise was broken

        Examples:
            | fault               |
            | owner killed        |
            | owner stops         |
            | all killed          |
            | store loses answers |

    # Guards against a cancel that leaves the rest of a backlog running.
    Scenario: A cancel in the middle of a backlog ends it
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a job of 40 small tasks is submitted that is due every 3600000 ms, 17520 times, since 8760 hours
        And the shard runs for 3000 ms
        And it is cancelled
        And the shard runs for 3000 ms
        Then none of its tasks runs, and it is "cancelled"

    # Guards against a window of open occurrences that delays those that overlap, and against starts before their time.
    Scenario: Occurrences that overlap start when they are due
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a job of 10 small tasks is submitted that is due every 100 ms, 40 times, since 0 hours
        Then its 40 occurrences are done within 10000 ms, and no task ran twice
        And each occurrence has started at most 400 ms after its time, and none before

    # Guards against a wall clock that steps: no occurrence may be opened twice or before its time by the new reading.
    Scenario: A wall clock that steps forth and back opens no occurrence twice
        Given a job that is due every 1000 ms, 10 times
        When the wall clock reads 0, 3500, 500, 2000, 4200 and then 20000 ms
        Then 1, 4, 4, 4, 5 and then 10 occurrences are open or done
