Feature: Tasks that crash their workers

    # Guards against a task that crashes each worker that starts it, some milliseconds after the start, and is started 30 to
    # 60 times: 4 to 8 of 40 workers are down for as long as its job lasts. A run that is lost with its worker has no listed
    # end, so no attempt was counted. The crashed worker is back 3.4 s later under another ID, its runs are lost as
    # "otherIncarnation", 0.05 s later the task is placed on the next worker, and each crash also loses all runs beside it.
    Scenario Outline: A task that has crashed three workers is started at most twice more, a job of steps "<steps>"
        Given a cell of 3 daemons and 8 workers
        When 1 crashing job of steps "<steps>" is submitted
        And 6 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 40000 ms
        Then no promise was broken

        Examples:
            | steps                         |
            | 1 crashing                    |
            | 11 speculative first crashing |

    Scenario Outline: A task that crashes its workers is given up, a job of steps "<steps>"
        Given a cell of 3 daemons and 8 workers
        When 1 crashing job of steps "<steps>" is submitted
        And 6 jobs of steps "3, 4 after 0" are submitted
        Then the crashing job is "failed" within 15000 ms
        And all jobs are "completed" within 15000 ms
        And it has taken <workers> workers down at most
        And no promise was broken

        Examples:
            | steps                         | workers |
            | 1 crashing                    | 3       |
            | 1 crashing checkpointing      | 3       |
            | 2, 3 first crashing after 0   | 3       |
            | 11 speculative first crashing | 3       |
            | 1 long running crashing       | 3       |
            | 1 of 8 cores crashing         | 3       |

    # Before its first tasks have been started, such a step looks like any other. It may therefore crash as many workers as
    # its tasks are spread over, once, and three more.
    Scenario Outline: A step whose tasks all crash their workers is given up, a job of steps "<steps>"
        Given a cell of 3 daemons and 8 workers
        When 1 crashing job of steps "<steps>" is submitted
        And 6 jobs of steps "3, 4 after 0" are submitted
        Then the crashing job is "failed" within 20000 ms
        And all jobs are "completed" within 20000 ms
        And it has taken 11 workers down at most
        And no promise was broken

        Examples:
            | steps                          |
            | 36 crashing                    |
            | 12 of 4 cores crashing         |
            | 8 long running crashing        |

    # A gang starts all of its members or none, on as many workers as they need.
    Scenario Outline: A gang whose members crash their workers is given up after the third start, <members> members of <cores> cores
        Given a cell of 3 daemons and 8 workers
        When 1 crashing job of steps "<members> of <cores> cores gang <which>" is submitted
        And 6 jobs of steps "3, 4 after 0" are submitted
        Then the crashing job is "failed" within 20000 ms
        And all jobs are "completed" within 20000 ms
        And it has taken <workers> workers down at most
        And no promise was broken

        Examples:
            | members | cores | which          | workers |
            | 4       | 1     | crashing       | 12      |
            | 8       | 5     | crashing       | 24      |

    Scenario Outline: The count of crashes survives the fault "<fault>" for <ms> ms at each crash
        Given a cell of 4 daemons and 8 workers
        When 2 crashing jobs of steps "1 crashing" are submitted
        And 2 crashing jobs of steps "2 speculative first crashing" are submitted
        And 4 jobs of steps "3, 4 after 0" are submitted
        And the fault "<fault>" comes at each crash for <ms> ms, in the first 30000 ms
        Then the crashing jobs are "failed" within 15000 ms
        And all jobs are "completed" within 15000 ms
        And no job was shown as failed and then as anything else
        And no promise was broken

        Examples:
            | fault                        | ms   |
            | owner killed                 | 600  |
            | owner killed                 | 4000 |
            | all killed                   | 1500 |
            | store hangs                  | 1500 |
            | store loses answers          | 1500 |
            | store answers late           | 2000 |
            | store slow                   | 2000 |
            | store hangs, owner killed    | 1500 |
            | owner cut from the workers   | 1500 |
            | owner cut from the store     | 3000 |

    Scenario: Each further job whose task crashes its workers crashes no more of them than the first
        Given a cell of 3 daemons and 8 workers
        When 6 crashing jobs of steps "1 crashing" are submitted, 2000 ms apart
        And 6 jobs of steps "3, 4 after 0" are submitted
        Then the crashing jobs are "failed" within 20000 ms
        And all jobs are "completed" within 20000 ms
        And they have taken 18 workers down at most
        And no promise was broken

    Scenario Outline: No healthy job is given up when workers crash on their own, <rounds> times <count> workers <ms> ms apart
        Given a cell of 3 daemons and 16 workers
        When 30 jobs of steps "<steps>" are submitted
        And the shard runs for 300 ms
        And <count> workers crash on their own <rounds> times, <ms> ms apart
        Then all jobs are "<state>" within 30000 ms
        And no job was given up
        And no promise was broken

        Examples:
            | steps           | state     | count | rounds | ms   |
            | 3, 4 after 0    | completed | 12    | 2      | 1500 |
            | 3, 4 after 0    | completed | 6     | 4      | 4000 |
            | 2 long running  | running   | 12    | 4      | 6000 |
            | 2 long running  | running   | 3     | 8      | 1500 |
            | 1 of 8 cores    | completed | 6     | 3      | 4000 |

    # Guards against dating a crash by the silence of its worker, which begins with the cut, right after the start.
    Scenario Outline: A healthy job is not given up when its workers crash after its runs have ended, cut off since <cut> ms after the start
        Given a cell of 3 daemons and 3 workers that start again under their IDs 600 ms after a crash
        When 1 jobs of steps "1" are submitted
        And the worker of the newest start is cut off <cut> ms after it, until it has crashed 2500 ms after it, 3 times
        Then all jobs are "completed" within 20000 ms
        And no job was given up

        Examples:
            | cut |
            | 50  |
            | 200 |

    Scenario Outline: A run that is lost without a crash is not counted as a crash, by "<fault>"
        Given a cell of 3 daemons and 6 workers
        When 12 jobs of steps "2 long running" are submitted
        And the shard runs for 2000 ms
        And the fault "<fault>" comes and goes 4 times, for 9000 ms each
        Then all jobs are "running" within 20000 ms
        And no job was given up

        Examples:
            | fault                                   |
            | all workers cut                         |
            | workers not listed                      |
            | workers cut until their entries lapsed  |
            | owner cut from the workers              |

    # After a crash, a start of the task is sent only once. If that order was lost, its run kept its room and its task until
    # the end of the lease that the order would have brought. A look with a higher token proves immediately that this
    # incarnation will not carry the order out, and the ticket ensures that no other incarnation will.
    Scenario: A task whose worker crashed is started again soon after an order for it was lost
        Given a cell of 3 daemons and 3 workers that check tickets and start again under their IDs 3300 ms after a crash
        When 1 jobs of steps "1" are submitted
        And the shard runs for 300 ms
        And 1 workers crash on their own 1 times, 50 ms apart
        And orders are lost until a start is given up, for at most 8000 ms
        Then a task is started within 2000 ms
        And all jobs are "completed" within 8000 ms
        And no promise was broken

    # Guards against retrying the first task every time while the other tasks wait until the job has failed.
    Scenario: After a crash, tasks of a step do not wait for a task of the step that fails on its own
        Given a cell of 3 daemons and 1 workers that start again under their IDs 600 ms after a crash
        When 1 jobs of steps "3 first failing" are submitted
        And the worker of the newest start crashes soon after it, 1 times
        Then 2 tasks are done within 5000 ms

    # A long-running task counts as lost once it has waited for 3 s. If tasks wait for a worker of their own one after
    # another, the last of four waits for 9 s.
    Scenario: Long-running tasks wait for their trials at the same time
        Given a cell of 3 daemons and 6 workers that start again under their IDs 600 ms after a crash
        When 6 jobs of steps "1 long running of 5 cores" are submitted
        And the shard runs for 1000 ms
        And 1 jobs of steps "4 long running of 3 cores" are submitted
        And the shard runs for 1000 ms
        And 2 workers crash on their own 4 times, 1500 ms apart
        And the shard runs for 3000 ms
        Then 10 tasks run
        And no job was given up

    # Guards against giving up a healthy job when one of the three crashes counted for its task belongs to a start that no
    # worker had carried out.
    Scenario: A healthy job is not given up because a start was lost when its worker crashed
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "1" are submitted
        And the first start is lost because its worker crashes as the owner is killed
        And the worker of the newest start crashes soon after it, 2 times
        Then all jobs are "completed" within 20000 ms
        And no job was given up
        And no promise was broken

    # Each crash under a start that no worker had confirmed demands one more run alone on a worker, up to five starts in
    # all.
    Scenario Outline: A job <what> given up after the crashes "<crashes>"
        When workers crash while they run a task, "<crashes>"
        Then its job <what> given up

        Examples:
            | crashes                                                        | what  |
            | confirmed, confirmed, confirmed alone                          | is    |
            | confirmed, confirmed, confirmed                                | isn't |
            | confirmed, confirmed, unconfirmed alone                        | isn't |
            | unconfirmed, confirmed, confirmed alone                        | isn't |
            | unconfirmed, confirmed, confirmed alone, confirmed alone       | is    |
            | unconfirmed, unconfirmed, confirmed alone, confirmed alone     | isn't |
            | unconfirmed, unconfirmed, unconfirmed, unconfirmed, unconfirmed | is    |
            | possible, possible, possible, confirmed, confirmed             | is    |
            | possible, possible, confirmed, confirmed                       | isn't |
            | possible, possible, possible, confirmed, unconfirmed           | isn't |
            | possible, possible, possible, possible, possible               | isn't |

    # An incarnation carries out a late order, crashes because of it and is replaced before any look reaches it, so that its
    # crash was counted for no task.
    Scenario Outline: A task that crashes its workers is given up even if no look notices the crashes, released after <by>
        Given a cell of 3 daemons and 4 workers that start again under their IDs 50 ms after a crash
        When 1 crashing job of steps "1 crashing" is submitted
        And a start is carried out late by an incarnation that crashes between looks, 3 times, and its run is released after <by>
        Then the crashing job is "failed" within 20000 ms
        And no promise was broken

        Examples:
            | by                   |
            | a look               |
            | the end of its lease |

    # The same order of events as above, but these workers crash on their own.
    Scenario Outline: No healthy job is given up because of crashes that no look noticed, <times> times, released after <by>
        Given a cell of 3 daemons and 4 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1" are submitted
        And a start is carried out late by an incarnation that crashes between looks, <times> times, and its run is released after <by>
        Then all jobs are "completed" within 20000 ms
        And no job was given up

        Examples:
            | by                   | times |
            | a look               | 3     |
            | a look               | 6     |
            | the end of its lease | 3     |

    # A task that crashes its workers was sent to a worker that had just lost an order for it. Both orders arrived late and
    # crashed two incarnations of the worker that no look had reached, so that neither crash was counted.
    Scenario Outline: A task that crashed <crashes> workers <what> run on a worker that left an order unanswered <ms> ms ago
        When <crashes> workers have crashed while they ran a task, and a worker left an order unanswered <ms> ms ago
        Then the task <what> run there

        Examples:
            | crashes | ms   | what  |
            | 0       | 200  | may   |
            | 1       | 200  | can't |
            | 1       | 1600 | may   |
