Feature: Room that is kept for others has an end

    # Users saw an accepted task stand for as long as another one ran, though one of the two workers that it may use was empty; without the gang beside it, it starts at once. Order: a task (here "overrun") runs on worker 1 far
    # beyond its estimate; a gang that is due earlier needs workers 0 and 1; then a plain task ("plain") comes that may use just
    # these two. Cause: an overdue run is expected to end "soon", at each look anew, so that the gang's plan says "soon" for ever;
    # worker 0 is kept for it, and the plain task may pass only where it ends before.
    Scenario Outline: A task is not kept out for long of room that is kept for a gang whose plan does not come true, seed <seed>
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

    # The same for a plan that may well come true, but later than a task can wait that ends after it.
    Scenario: A task is not kept out for long of room that is kept for a gang which begins late
        Given a cell of 3 daemons and 6 workers whose tasks take 20000 ms, with a stretch of 20, seed 1
        When job "long" of steps "1 of 8 cores for 20000 ms" is submitted, which the advisor allows on "worker-1"
        And the shard runs for 1000 ms
        And job "gang" of steps "2 gang of 8 cores for 2000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        And the shard runs for 1000 ms
        And job "plain" of steps "1 for 20000 ms" is submitted, which the advisor allows on "worker-0, worker-1"
        Then job "plain" starts within 3000 ms of its submission
        And no promise was broken

    # A job is lost to its callers if nothing of it runs; all tasks of a wide step at once would take what is kept for good.
    Scenario: The tasks of a wide step take room that is kept for a gang one by one
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

    # Users saw an accepted task stand though a worker was wholly free. Order: of a gang on workers 0 and 1 one member fails, and
    # worker 1 is silent, so that nobody knows whether the other one has ended; a plain task comes that may use worker 2 only. Cause:
    # a gang starts all of its members or none, and can't before the other one is known to have ended; but room was kept for the
    # member that waits, up to the end of the silent worker's leases. Nothing else stands in the task's way, so that it has no
    # reason to wait.
    Scenario: A gang of which one member has not ended keeps no room
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

    # Users saw an accepted gang stand for 3 to 13 s though there was room for it, after workers had crashed under it twice. Order:
    # its members, all on one worker, are lost with that worker, twice; on each other worker a task that lasts is at work. Cause: a
    # member under which two workers crashed has a worker for itself, or shares one once it has waited for 1.5 s. The members'
    # waits began and ended one after the other: each was over as soon as its member had a place, though the gang had none,
    # so that the first one had to wait anew when the last one was ready.
    Scenario: The members of a gang on trial wait at the same time
        Given a cell of 3 daemons and 6 workers that start again under their IDs 60000 ms after a crash
        When 1 jobs of steps "12 long running" are submitted
        And the shard runs for 6000 ms
        And job "gang" of steps "4 gang for 2000 ms" is submitted
        And job "gang" has started, and its worker crashes, 2 times
        Then job "gang" starts again no more than 3000 ms later after the last crash than after the first one
        And no promise was broken

    # The same with no worker's end to wait for: the whole gang has room from the first moment on.
    Scenario Outline: A step on trial stands for less than 3 s beside tasks that last, <members> members, <crashes> crashes
        Given 4 workers with a task that lasts on each, and a step of <members> tasks under which <crashes> workers crashed each
        Then the step is placed within 2500 ms

        Examples:
            | members | crashes |
            | 1       | 2       |
            | 1       | 3       |
            | 2       | 2       |
            | 2       | 3       |
            | 4       | 2       |
            | 4       | 3       |
