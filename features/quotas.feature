Feature: Caps on the running tasks of organisations

    # Guards against an organisation that exceeds its cap and so makes the callers of other organisations wait.
    Scenario Outline: No organisation has more running than its cap under any fault: <fault>
        Given a cell of 4 daemons and 6 workers for the organisations "north 6, south 0"
        When 12 jobs of steps "3, 4 after 0" are submitted for "north"
        And 4 jobs of steps "2, 2 after 0" are submitted for "south"
        And the shard runs for 900 ms
        And the fault "<fault>" comes
        And the shard runs for 3000 ms
        And the fault goes
        Then all jobs are "completed" within 60000 ms
        And no promise was broken

        Examples:
            | fault                                    |
            | owner killed                             |
            | owner killed, worker carries out late    |
            | owner cut from its peers, the store      |
            | owner cut from the workers               |
            | all killed                               |
            | all killed, worker cut                   |
            | all killed, caps lowered to a quarter    |
            | worker carries out late                  |
            | orders to a worker get lost              |
            | orders to all workers get lost           |
            | half of the workers crash and are back   |
            | worker fails everything                  |
            | store loses answers                      |
            | store answers late                       |
            | caps lowered to a quarter                |
            | caps raised to double                    |
            | caps lowered to a quarter, owner killed  |
            | caps raised to double, owner stops       |

    Scenario: An organisation at its cap does not delay the others
        Given a cell of 3 daemons and 4 workers for the organisations "north 4, south 0"
        When 60 jobs of steps "3" are submitted for "north"
        And the shard runs for 500 ms
        And 6 jobs of steps "2" are submitted for "south"
        Then the jobs of "south" are completed within 2500 ms
        And no promise was broken

    Scenario: A step wider than its cap runs in waves
        Given a cell of 3 daemons and 4 workers for the organisations "north 5"
        When 1 jobs of steps "20" are submitted for "north"
        Then all jobs are "completed" within 12000 ms
        And at most 5 tasks of "north" ran at once, and 5 did

    # Guards against a gang that never starts because smaller tasks of its organisation use each part of the cap that becomes free.
    Scenario: A gang that needs most of its cap runs among smaller tasks of its organisation
        Given a cell of 3 daemons and 4 workers for the organisations "north 6"
        When jobs of steps "1" for "north" come each 200 ms for 20000 ms, and one of steps "5 gang" after 1000 ms
        Then the gang ran within 2500 ms
        And no promise was broken

    Scenario: Lowering a cap stops no running task, and no task starts above the cap
        Given a cell of 3 daemons and 4 workers for the organisations "north 12"
        When 1 jobs of steps "10 long running" are submitted for "north"
        And the shard runs for 2000 ms
        And the fault "caps lowered to a quarter" comes
        And 2 jobs of steps "2" are submitted for "north"
        And the shard runs for 4000 ms
        Then 10 tasks of "north" run
        And the shard runs for 8000 ms
        And the log names "cap" as the reason why tasks wait
        And the fault goes
        And the shard runs for 3000 ms
        And all jobs but those that last are completed
        And no promise was broken

    Scenario: No advisor call is made and no run is preempted for tasks that wait for their cap
        Given a cell of 3 daemons and 1 worker with two queues for the organisations "north 2, south 0"
        When 1 jobs of steps "8 checkpointing for 20000 ms" are submitted for "south" to the later queue
        And the shard runs for 1500 ms
        And 1 jobs of steps "2 for 20000 ms" are submitted for "north"
        And the shard runs for 2500 ms
        And 5 jobs of steps "1" are submitted for "north"
        And the shard runs for 3000 ms
        Then 2 tasks of "north" run
        And the advisor was asked about no task of the last 5 jobs
        And no run was stopped for them

    Scenario Outline: A job of steps "<steps>" that does not fit its cap is refused at once
        Given a cell of 3 daemons and 4 workers for the organisations "north 4"
        When a job of steps "<steps>" is submitted once for "north"
        Then it is answered with "overQuota" within 100 ms
        And no task ran

        Examples:
            | steps              |
            | 1 of 5 cores       |
            | 5 gang             |
            | 1, 3 gang of 2 cores after 0 |

    # Guards against a burst of submissions by one organisation that delays the jobs of all others.
    Scenario: Submissions beyond an organisation's share do not delay other organisations
        Given a cell of 3 daemons and 4 workers for the organisations "north 0, south 0" with the weights "2, 8" and the order "shares"
        When jobs of steps "4" come for 6000 ms, each 30 ms for "north" and each 250 ms for "south"
        And the shard runs for 5000 ms
        Then at least 22 of 24 jobs of "south" ended within 2200 ms of their submission
        And no promise was broken
