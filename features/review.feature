Feature: What a review of the mend of busy owners found

    # Each owner in a row that was replaced soon doubles the time for which the next may be silent. That time is never
    # taken back while an owner stays in office, so that long after the cascade a real loss is noticed late.
    Scenario: An owner that has been at work for a minute is missed as soon as any other
        Given a cell of 6 daemons and 4 workers
        When three owners are cut off, each soon after its claim
        And the shard runs for 60000 ms
        And the fault "owner cut from its peers, the store, workers" comes
        Then another daemon owns the shard within 2000 ms

    # Each candidate before a daemon costs it four answers of the store, up to a second, though it may not be able to claim.
    Scenario: While the store is slow and refuses most daemons, the one that it serves takes over soon
        Given a cell of 32 daemons and 4 workers
        When the store is slow and serves but the owner and one other daemon
        And the fault "owner killed" comes
        Then another daemon owns the shard within 5000 ms

    # Each of these looks costs the daemon and the worker work that nobody needs: the shard has another owner.
    Scenario: An owner that is replaced during its first looks sends none of those that wait for a turn
        When the owner of 200 workers is replaced at once
        Then it has looked at 24 workers

    Scenario: A worker that is silent for good is not renewed for long by an owner that is late
        When an owner that is 60 ms late looks at a worker that never answers again
        Then the leases there are surely over 10500 ms after its last answer

    # Tasks that last take the room that is kept for a gang, for good, where that leaves the gang too few workers.
    Scenario: A gang for which room is kept runs in the end though tasks that last are submitted meanwhile
        Given a cell of 3 daemons and 6 workers whose tasks take their estimates, with a stretch of 20
        When 1 jobs of steps "3 of 8 cores for 12000 ms" are submitted
        And the shard runs for 1000 ms
        And 1 jobs of steps "4 gang of 8 cores for 2000 ms" are submitted
        And the shard runs for 1000 ms
        And 1 jobs of steps "3 long running of 1 cores" are submitted
        And the shard runs for 40000 ms
        Then all jobs but those that last are completed

    # Disruptions of workers last 4 to 7 s; the second attempt is spent in the same one, though the other worker is free soon.
    Scenario: The last attempt of a task is not spent on the worker that has just failed it
        Given a cell of 3 daemons and 2 workers whose tasks take their estimates, with 2 attempts
        When the fault "worker fails everything" comes
        And 1 jobs of steps "1 of 8 cores for 9000 ms" are submitted
        And the shard runs for 3000 ms
        And 1 jobs of steps "1 of 4 cores for 1000 ms" are submitted
        And the shard runs for 7000 ms
        And the fault goes
        And the shard runs for 20000 ms
        Then all jobs but those that last are completed
