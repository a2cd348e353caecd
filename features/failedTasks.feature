Feature: Tasks that have failed

    # Guards against a failed gang that stays idle although it has attempts left and most room is free. Each failed member avoided
    # the worker it had failed on for 15 s as long as any other worker might run it. That included workers that were full, had
    # shrunk, had room for some members only or had never been named to the advisor, so that the wait did not end earlier, and the
    # advisor was not called meanwhile. A gang of three tasks that fit two to a worker, with about three workers allowed, failed on
    # two of them; the third could not hold all members, and the gang stayed idle for 15.3 s.
    Scenario Outline: A gang whose tasks fail goes on to its next run after two workers have failed it
        Given a cell of 3 daemons and 9 workers, of which an advisor that takes 500 ms allows the first 3
        When the job of steps "3 gang of 3 cores <fails>" is submitted
        Then the job is idle for at most 3000 ms after each of its runs, until it is "<state>"

        Examples:
            | fails               | state     |
            | first failing twice | completed |
            | first failing       | failed    |
            | failing twice       | completed |
            | failing             | failed    |

    # The same happens to any task that has failed on all workers except one that is allowed but has no room. A gang that needs two
    # workers waits even if the third one is free.
    Scenario Outline: A job that has failed on two workers returns to them if the third one has too little room
        Given a cell of 3 daemons and 3 workers, one of which is <third>
        When the job of steps "<steps>" is submitted, and 2 workers fail everything until it has failed <times> times
        Then the job is idle for at most 3000 ms after each of its runs, until it is "completed"

        Examples:
            | third  | steps             | times |
            | full   | 1 of 3 cores      | 2     |
            | shrunk | 1 of 3 cores      | 2     |
            | full   | 3 gang of 3 cores | 1     |
            | shrunk | 3 gang of 3 cores | 1     |
            | free   | 3 gang of 3 cores | 2     |

    Scenario: A task that has failed on two workers goes to the third one that is free
        Given a cell of 3 daemons and 3 workers, one of which is free
        When the job of steps "1 of 3 cores" is submitted, and 2 workers fail everything until it has failed 2 times
        Then the job is idle for at most 3000 ms after each of its runs, until it is "completed"

    # Long-running tasks have no last attempt, and may avoid a worker for longer after a failure: the job may be idle for 6 s.
    Scenario Outline: A long-running job that has failed on two workers returns to them if the third one has no room
        Given a cell of 3 daemons and 3 workers, one of which is <third>
        When the job of steps "<steps>" is submitted, and 2 workers fail everything until it has failed <times> times
        Then the job is idle for at most 6000 ms after each of its runs, until it is at work

        Examples:
            | third  | steps                          | times |
            | full   | 1 long running of 3 cores      | 2     |
            | shrunk | 1 long running of 3 cores      | 2     |
            | full   | 3 gang long running of 3 cores | 1     |
            | shrunk | 3 gang long running of 3 cores | 1     |

    # A task with one attempt left waited for 6.8 s without any fault in the cell: the two workers that had failed it were empty, but
    # it waited for a third one that was expected to have room in 7 s. The longer wait before the last attempt protects a task from
    # a worker that fails all runs. A task that several workers failed is likely to be the cause itself, so the longer wait
    # requires that only one worker failed it, that half of all room is in use and that others are expected to have room in time.
    Scenario Outline: The last attempt waits for a worker that is soon free: <left> left, failed by <failed>, others busy for <busy> ms
        Given a task with <left> attempts left that <failed> of 4 workers failed 3000 ms ago, while the others are busy for <busy> ms
        Then it avoids <count> workers

        Examples:
            | left | failed | busy  | count |
            | 1    | 1      | 2000  | 1     |
            | 1    | 1      | 9000  | 0     |
            | 1    | 2      | 2000  | 0     |
            | 2    | 1      | 2000  | 0     |

    # Guards against a gang that waits after the start of one member was lost: the members that had started held their room for the
    # 3 to 4 s until they gave up waiting for the others.
    Scenario: A gang stops its other members and starts again when the start of one is lost
        Given a cell of 3 daemons and 3 workers, one of which is free
        When the fault "orders to a worker get lost" comes
        And the job of steps "3 gang of 5 cores" is submitted
        And the shard runs for 1500 ms
        And the fault goes
        Then the job has completed within 4000 ms
        And no run ended as "alone"
        And no promise was broken
