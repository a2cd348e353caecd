Feature: Ends of runs are acknowledged once they are durable, and a run counts as gone only by proof

    # A worker lists at most 500 ends. One that had ended more counted as proof that the runs of the others were gone.
    Scenario: Tasks whose ends do not fit into the answer to a look are not started again
        Given a cell of 3 daemons and 1 workers
        When a job of 900 small tasks is submitted
        And the shard runs for 350 ms
        And the fault "store refuses" comes
        And the shard runs for 1500 ms
        And the fault goes
        Then all jobs are "completed" within 20000 ms
        And every task ran 1 time
        And no promise was broken

    # After an outage, the list may hold the entry of a former worker at an address before that of the present one.
    Scenario: Runs are not started again because the list shows a former worker at their worker's address
        Given a cell of 3 daemons and 4 workers whose tasks take their estimates, with a stretch of 2
        When a worker crashes, and another one at its address is at work
        And the owner is killed while the list holds the former worker instead of the present one
        And the shard runs for 4000 ms
        And the workers are listed again
        Then all jobs are "completed" within 20000 ms
        And every task ran 1 time
        And no promise was broken

    # The next incarnation would discard ends that are not durable yet, and their tasks would be started again.
    Scenario: A look that arrives late acknowledges no ends of the worker's next incarnation
        When a look that acknowledges an end is carried out 3000 ms late, by the worker's next incarnation
        Then no end of that incarnation is acknowledged before it is durable

    # Another end of the same occurrence was acknowledged at once, since its task was no longer in memory.
    Scenario: An end of a task that is done is acknowledged only once the task's end is durable
        When two runs of a task end as done on two workers, and the store takes 3000 ms to commit
        Then no end is acknowledged before the task's end is durable
        And both ends are acknowledged in time

    # Guards against the same at workers that get a new ID with each incarnation: there no acknowledgement waits for a newer token.
    Scenario: An end of a task that is done, at a worker that starts again under another ID, waits for the task's end to be durable
        When two runs of a task end as done on two workers, which start again under other IDs, and the store takes 3000 ms to commit
        Then no end is acknowledged before the task's end is durable
        And both ends are acknowledged in time

    # The rows may be from another version of the daemon, whose next owner can read them and must learn of the ends.
    Scenario: Ends of a job whose rows an owner cannot read are left for the next owner
        Given a cell of 3 daemons and 2 workers
        When 1 jobs of steps "2" are submitted
        And the shard runs for 300 ms
        And the state row of that job cannot be read
        And the fault "owner killed" comes
        And the shard runs for 4000 ms
        And the fault goes
        And the state row of that job can be read again
        And the fault "owner killed" comes
        And the shard runs for 4000 ms
        Then all jobs are "completed" within 20000 ms
        And every task ran 1 time
        And no promise was broken

    # Guards against looks without a pause at a worker that keeps such ends, and against ends that it would never list.
    Scenario Outline: A worker that lists <ends> ends, of which the owner cannot read one, is asked to forget <acknowledged>
        When a worker lists <ends> ends for 5000 ms, of which the job of number <unread> cannot be read
        Then the owner has acknowledged <acknowledged> of them, with at most 25 looks

        Examples:
            | ends | unread | acknowledged |
            | 3    | 1      | 0            |
            | 3    | 3      | 2            |
            | 500  | 3      | 500          |

    # The members of a gang are not stopped one by one when it is done, so that this start was sent once its worker answered.
    Scenario: A start that waits for a silent worker is not sent once its gang is done
        When the start of a member waits for a silent worker, which answers again after a former run of the gang was listed as done
        Then the start was not sent, and the member holds no room

    # The protocol promises no order. An end that came after one with a higher number was passed over and acknowledged all the same.
    Scenario: Ends that a worker lists in any order are all applied
        When two runs end on a worker that lists the newest end first
        Then both tasks are done

    # With runs that no look has listed yet, each look takes the newest token, and its acknowledgement waits again.
    Scenario Outline: Ends are acknowledged while further runs start, with commits of <ms> ms
        When a task starts each 70 ms for 6000 ms on a worker that keeps its ID, and each commit takes <ms> ms
        Then at no time were more than 20 ends unacknowledged

        Examples:
            | ms  |
            | 30  |
            | 120 |

    # The rows of such a job stay unchanged, since starting it over could run its tasks twice.
    Scenario: A job whose rows an owner cannot read is not accepted anew
        Given a cell of 3 daemons and 2 workers whose tasks take their estimates, with a stretch of 2
        When 1 jobs of steps "2 for 500 ms, 1 after 0 for 9000 ms" are submitted
        And the shard runs for 2500 ms
        And the state row of that job cannot be read
        And the fault "owner killed" comes
        And the shard runs for 4000 ms
        And the fault goes
        And that job is submitted anew
        And the shard runs for 4000 ms
        Then no task was started again after its end was acknowledged

    # As above, with a whole cell; a slow store takes 110 ms for each write.
    Scenario: Ends are acknowledged by a cell whose store is slow
        Given a cell of 3 daemons and 2 workers that start again under their IDs 3000 ms after a crash
        When the fault "store slow" comes
        And 80 jobs are submitted once, 100 ms apart
        Then at most 20 ends of that cell are unacknowledged
        And no promise was broken
