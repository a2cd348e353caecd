Feature: Reservations of room end

    # Guards against a task that waits beside an empty worker for as long as another task runs. The task "overrun" runs on worker 1
    # far beyond its estimate; a gang that is due earlier needs workers 0 and 1; then the task "plain" is submitted, which may use
    # only these two. An overdue run is expected to end soon, in each pass anew, so the gang's planned start always stays near.
    # Worker 0 stays reserved for the gang, and "plain" may use it only if it ends before that start.
    Scenario Outline: A task does not wait long for room reserved for a gang whose start is always put off, seed <seed>
        Given a cell of 3 daemons and 6 workers whose tasks take 12000 ms, with a stretch of 20, seed <seed>
        When job "overrun" of steps "1 of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-1"
        And the shard runs for 3000 ms
        And job "gang" of steps "2 gang of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        And the shard runs for 1000 ms
        And job "plain" of steps "1 for 4000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        Then job "plain" starts within 3000 ms of its submission
        And job "gang" starts within 40000 ms from now
        And no promise was broken

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |

    # The planned start of this gang is right, but later than a task that would end after it can wait.
    Scenario: A task does not wait long for room reserved for a gang that starts late
        Given a cell of 3 daemons and 6 workers whose tasks take 20000 ms, with a stretch of 20, seed 1
        When job "long" of steps "1 of 8 cores for 20000 ms" is submitted, which the advisor allows on "worker-1"
        And the shard runs for 1000 ms
        And job "gang" of steps "2 gang of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        And the shard runs for 1000 ms
        And job "plain" of steps "1 for 20000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        Then job "plain" starts within 3000 ms of its submission
        And no promise was broken

    # Callers count a job as lost if nothing of it runs, so one task is enough to take reserved room. All tasks of a wide step
    # at once would hold the reserved room for good.
    Scenario: The tasks of a wide step take room reserved for a gang one at a time
        Given a cell of 3 daemons and 6 workers whose tasks take 20000 ms, with a stretch of 20, seed 1
        When job "long" of steps "1 of 8 cores for 20000 ms" is submitted, which the advisor allows on "worker-1"
        And the shard runs for 1000 ms
        And job "gang" of steps "2 gang of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        And the shard runs for 1000 ms
        And job "wide" of steps "6 for 20000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        And the shard runs for 3000 ms
        Then 1 tasks of job "wide" have started
        When the shard runs for 2000 ms
        Then 2 tasks of job "wide" have started
        And no promise was broken

    # Guards against a task that waits although a worker is entirely free. One member of a gang on workers 0 and 1 fails while worker 1
    # is silent, so the scheduler cannot tell whether the other member has ended; then a task is submitted that may use worker 2
    # only. A gang starts all of its members or none, and not before all former runs are known to have ended. Still, room was
    # reserved for the waiting member, until the leases of the silent worker ran out.
    Scenario: A gang with a member that has not ended reserves no room
        Given a cell of 3 daemons and 3 workers whose tasks take 8000 ms, with a stretch of 20, seed 1
        And worker "worker-2" takes no work, and "worker-0" is "failing"
        When job "gang" of steps "2 gang of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-0, worker-1, worker-2"
        And job "gang" has 2 runs
        And worker "worker-1" is "cut", and all workers take work
        And the shard runs for 1000 ms
        And job "plain" of steps "1 for 4000 ms" is submitted, which the advisor allows on "worker-2"
        Then job "plain" starts within 1000 ms of its submission
        When the shard runs for 6000 ms
        And worker "worker-1" is "none", and all workers take work
        Then job "gang" starts within 30000 ms from now
        And no promise was broken

    # Guards against a gang that waits for 3 to 13 s beside free room after workers crashed under it twice. All of its members run on
    # one worker and are lost with it, twice, while a long-running task is at work on each other worker. A task under which two
    # workers crashed is on trial: it gets a worker of its own, or shares one after it has waited for 1.5 s. Each member's wait ended
    # as soon as that member had a place, although the gang as a whole had none, so the first member had to wait again when the last
    # one was ready.
    Scenario: The members of a gang on trial wait at the same time
        Given a cell of 3 daemons and 6 workers that start again under their IDs 60000 ms after a crash
        When 1 jobs of steps "12 long running" are submitted
        And the shard runs for 6000 ms
        And job "gang" of steps "4 gang for 2000 ms" is submitted
        And job "gang" has started, and its worker crashes, 2 times
        Then job "gang" starts again no more than 3000 ms later after the last crash than after the first one
        And no promise was broken

    # The same without a crash to wait for: there is room for the whole step from the beginning.
    Scenario Outline: A step on trial is placed in less than 3 s beside long-running tasks, <members> members, <crashes> crashes
        Given 4 workers with a long-running task on each, and a step of <members> tasks under which <crashes> workers crashed each
        Then the step is placed within 2500 ms

        Examples:
            | members | crashes |
            | 1       | 2       |
            | 1       | 3       |
            | 2       | 2       |
            | 2       | 3       |
            | 4       | 2       |
            | 4       | 3       |
