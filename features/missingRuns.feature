Feature: Runs that are missing from looks

    # Guards against a successor that takes a run for ended which its predecessor has stopped, where the run does not last for ever.
    Scenario Outline: Checkpointing runs are being stopped but listed no more as the fault "<fault>" comes <ms> ms into a drain
        Given a cell of 4 daemons and 6 workers that hide runs that are being stopped, with less urgent jobs, seed 1
        When 4 less urgent jobs of steps "3 checkpointing for 20000 ms" are submitted
        And the shard runs for 2000 ms
        And 6 jobs of steps "3" are submitted
        And the shard runs for 100 ms
        And 3 workers with tasks drain
        And the shard runs for <ms> ms
        And the fault "<fault>" comes
        And the shard runs for 8000 ms
        Then runs were stopped on a draining worker
        And no promise was broken

        Examples:
            | fault        | ms  |
            | owner stops  | 40  |
            | owner stops  | 200 |
            | owner killed | 40  |
            | owner killed | 200 |

    # Guards against a look that is taken for the moment from which a late start would be listed.
    Scenario Outline: Calls take up to <longest> ms to workers that check starts once, with one owner, seed <seed>
        Given a cell of 4 daemons and 6 workers that check starts once and begin runs up to 100 ms later, seed <seed>
        When one call in 4 takes up to <longest> ms to its worker
        And 20 jobs of steps "6" are submitted
        And the shard runs for 8000 ms
        Then no promise was broken

        Examples:
            | longest | seed |
            | 300     | 1    |
            | 300     | 2    |
            | 400     | 1    |
            | 400     | 2    |
            | 400     | 3    |

    Scenario Outline: Calls take up to <longest> ms to workers that check starts once, as owners hand over, seed <seed>
        Given a cell of 4 daemons and 6 workers that check starts once and begin runs up to 100 ms later, seed <seed>
        When one call in 4 takes up to <longest> ms to its worker
        And the owner is told to stop 6 times, 720 ms after each other, while jobs of steps "6, 3 long running" arrive
        And the shard runs for 8000 ms
        Then no promise was broken

        Examples:
            | longest | seed |
            | 400     | 1    |
            | 400     | 2    |
            | 400     | 3    |

    # Guards against room that is given away while a start that the worker has accepted is about to begin.
    Scenario Outline: Starts are not answered in time by full workers that keep their IDs, calls of up to <longest> ms, seed <seed>
        Given 4 daemons and 2 workers that check starts once, begin late and keep their IDs, seed <seed>
        When one call in 4 takes up to <longest> ms to its worker
        And 30 jobs of steps "2 of 4 cores" are submitted
        And the shard runs for 12000 ms
        Then no promise was broken

        Examples:
            | longest | seed |
            | 150     | 1    |
            | 150     | 2    |
            | 150     | 3    |
            | 150     | 4    |

    # Guards against a stop that counts as over before it may be, since the answer to the start came after it.
    Scenario Outline: A member of a gang is stopped while its start is under way, at a worker <kind>
        When a gang loses one member as another's start is under way, at a worker <kind>
        Then its owner held each run for as long as it was up

        Examples:
            | kind                          |
            | that keeps its ID             |
            | with an ID for each incarnation |

    Scenario: A successor stops an inherited run before a look has listed it
        When a successor's first list shows that the worker of a checkpointing run drains, and the stop overtakes the first look
        Then its owner held each run for as long as it was up

    # Guards against a task that waits without bound.
    Scenario: A run is missing and its stops get no answer
        When a run that a worker has listed is missing from then on, and stops of it get no answer, while looks do
        Then its task waits for 7000 ms at most

    # Guards against a successor that takes a run for ended which its predecessor has stopped for a more urgent one.
    Scenario Outline: Runs are being stopped for more urgent ones but listed no more as the fault "<fault>" comes <ms> ms later, seed <seed>
        Given a cell of 3 daemons and 4 workers that hide runs that are being stopped, with less urgent jobs, seed <seed>
        When 3 less urgent jobs of steps "8 checkpointing for 6000 ms" are submitted
        And 4 jobs of steps "8 for 700 ms" are submitted
        And the shard runs for 1000 ms
        And 4 jobs of steps "16 for 500 ms" are submitted
        And the shard runs for <ms> ms
        And the fault "<fault>" comes
        And the shard runs for 8000 ms
        Then runs were stopped for more urgent ones
        And no promise was broken

        Examples:
            | fault        | ms   | seed |
            | owner stops  | 600 | 1    |
            | owner stops  | 700 | 1    |
            | owner stops  | 800 | 1    |
            | owner stops  | 900 | 1    |
            | owner stops  | 1000 | 1    |
            | owner stops  | 1100 | 1    |
            | owner stops  | 1200 | 1    |
            | owner stops  | 1300 | 1    |
            | owner stops  | 1400 | 1    |
            | owner stops  | 1500 | 1    |
            | owner stops  | 1600 | 1    |
            | owner stops  | 1700 | 1    |
            | owner stops  | 1800 | 1    |
            | owner stops  | 1900 | 1    |
            | owner stops  | 2000 | 1    |
            | owner stops  | 2100 | 1    |
            | owner stops  | 2200 | 1    |
            | owner stops  | 2300 | 1    |
            | owner stops  | 2400 | 1    |
            | owner stops  | 2500 | 1    |

    # Guards against the shorter proof for runs whose start may be late, which counts them as absent at one look.
    Scenario Outline: A lasting run is being stopped as its owner changes, and its start may be late for <left> ms more
        When a successor looks at a worker that stops a lasting run, whose row says for <left> ms more that its start may be late
        Then its owner held each run for as long as it was up

        Examples:
            | left |
            | -1   |
            | 20   |
            | 300  |

    Scenario: Room of a lasting run that is being stopped as its owner changes, and whose start may be late
        When a successor looks at a worker that stops a lasting run, whose row says for 3000 ms more that its start may be late
        Then its owner held the room of each run for as long as it was up

    # Guards against a gang that cannot be started again, since a stop of a run that was never there gets no answer.
    Scenario: A gang's member was sent to a worker that answers looks and no orders
        When a gang's member is sent to a worker that answers looks and no orders
        Then its task waits for 3000 ms at most

    # Guards against tasks that wait while each of many peers takes 0.7 s to answer nothing.
    Scenario: An owner that is told to stop asks six peers that do not reach the store
        Given a cell of 7 daemons and 24 workers that answer a start after up to 100 ms
        When 6 daemons other than the owner do not reach the store
        And the owner is told to stop as planned starts become durable, while jobs of steps "1 for 100 ms" arrive for 5000 ms more
        Then no 3000 ms passed without a start
