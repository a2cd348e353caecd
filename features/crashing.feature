Feature: Tasks that crash their workers

    # Users saw their workers go down, four to eight of forty at any moment, for as long as a job lasted that could never be
    # done: a task of it crashed each worker that started it, some milliseconds after the start. The worker was back 3.4 s later
    # under another id; its runs were lost with its former life, and 0.05 s later the task was placed on the next one. What is
    # lost with its worker has no end, so that nothing was counted: the task had been started 30 to 60 times, and each time all
    # that ran beside it went too. The owner's lines of the lost runs showed it: every one of them lost with "otherIncarnation", no end of
    # the task ever listed, and one owner all the while.
    Scenario Outline: A task that has crashed three workers is started twice more at the most, a job of steps "<steps>"
        Given a cell of 3 daemons and 8 workers
        When 1 crashing job of steps "<steps>" is submitted
        And 6 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 40000 ms
        Then no promise was broken

        Examples:
            | steps                         |
            | 1 crashing                    |
            | 11 speculative first crashing |

    Scenario Outline: A task under which workers crash is given up, a job of steps "<steps>"
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

    # Nothing tells such a step from any other before its first tasks have been started, so that it may take as many workers
    # down as they are spread over, once, and three more.
    Scenario Outline: A step of tasks that all crash their workers is given up, a job of steps "<steps>"
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

    Scenario Outline: The count of crashes outlasts the fault "<fault>" for <ms> ms at each crash
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

    Scenario: What each next job of a kind takes down is no more than its own tasks do
        Given a cell of 3 daemons and 8 workers
        When 6 crashing jobs of steps "1 crashing" are submitted, 2000 ms apart
        And 6 jobs of steps "3, 4 after 0" are submitted
        Then the crashing jobs are "failed" within 20000 ms
        And all jobs are "completed" within 20000 ms
        And they have taken 18 workers down at most
        And no promise was broken

    Scenario Outline: Workers that crash of themselves cost no sound job its life, <rounds> times <count> workers <ms> ms apart
        Given a cell of 3 daemons and 16 workers
        When 30 jobs of steps "<steps>" are submitted
        And the shard runs for 300 ms
        And <count> workers crash of themselves <rounds> times, <ms> ms apart
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

    # The time of each crash was taken from the silence of its worker, which had begun with the cut, right after the start.
    Scenario Outline: A sound job is not given up for workers that crash behind cuts after its runs have ended, <cut> ms after the start
        Given a cell of 3 daemons and 3 workers that start again under their IDs 600 ms after a crash
        When 1 jobs of steps "1" are submitted
        And the worker of the newest start is cut off <cut> ms after it, until it has crashed 2500 ms after it, 3 times
        Then all jobs are "completed" within 20000 ms
        And no job was given up

        Examples:
            | cut |
            | 50  |
            | 200 |

    Scenario Outline: A run that is lost and not crashed counts for nothing, by "<fault>"
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

    # A start of such a task is sent once. Where that order got lost, its run held its room and its task until the lease was over that
    # the order would have brought, though a look under a higher token proves at once that this incarnation will not carry it out, and
    # its ticket that no other will.
    Scenario: A task under which a worker crashed is started again soon after an order for it got lost
        Given a cell of 3 daemons and 3 workers that check tickets and start again under their IDs 3300 ms after a crash
        When 1 jobs of steps "1" are submitted
        And the shard runs for 300 ms
        And 1 workers crash of themselves 1 times, 50 ms apart
        And orders get lost until a start is given up, 8000 ms at the most
        Then a task is started within 2000 ms
        And all jobs are "completed" within 8000 ms
        And no promise was broken

    # The first task was tried first each time, and the others stood until the job had failed.
    Scenario: Tasks of a step under which a worker crashed do not wait for one of them that fails by itself
        Given a cell of 3 daemons and 1 workers that start again under their IDs 600 ms after a crash
        When 1 jobs of steps "3 first failing" are submitted
        And the worker of the newest start crashes soon after it, 1 times
        Then 2 tasks are done within 5000 ms

    # Each task of a step that lasts counts as lost once it has stood for 3 s. They waited for a worker of their own one after the other, so
    # that the last of four stood for 9 s.
    Scenario: Tasks that last wait for their trials at the same time
        Given a cell of 3 daemons and 6 workers that start again under their IDs 600 ms after a crash
        When 6 jobs of steps "1 long running of 5 cores" are submitted
        And the shard runs for 1000 ms
        And 1 jobs of steps "4 long running of 3 cores" are submitted
        And the shard runs for 1000 ms
        And 2 workers crash of themselves 4 times, 1500 ms apart
        And the shard runs for 3000 ms
        Then 10 tasks run
        And no job was given up

    # A sound job was given up: one of the three crashes that were counted for its task belonged to a start that no worker had carried out.
    Scenario: A start that was lost with its worker does not give a sound job up
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "1" are submitted
        And the first start is lost with its worker as the owner is killed
        And the worker of the newest start crashes soon after it, 2 times
        Then all jobs are "completed" within 20000 ms
        And no job was given up
        And no promise was broken

    # One more run by itself is asked for each crash under a start that no worker had confirmed, five starts in all at the most.
    Scenario Outline: A job <what> given up after the crashes "<crashes>"
        When workers crash under a task, "<crashes>"
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

    # An incarnation carried a late order out, crashed by it and was replaced, and nobody looked in between: that crash counted for no task.
    Scenario Outline: Crashes that nobody saw keep a task that crashes its workers from being started on and on, let go of by <by>
        Given a cell of 3 daemons and 4 workers that start again under their IDs 50 ms after a crash
        When 1 crashing job of steps "1 crashing" is submitted
        And a start is carried out late by an incarnation that crashes unseen, 3 times, and let go of by <by>
        Then the crashing job is "failed" within 20000 ms
        And no promise was broken

        Examples:
            | by                   |
            | a look               |
            | the end of its lease |

    # Only the order of events is the same: its workers crashed of themselves.
    Scenario Outline: Crashes that nobody saw cost no sound job its life, let go of by <by>
        Given a cell of 3 daemons and 4 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1" are submitted
        And a start is carried out late by an incarnation that crashes unseen, <times> times, and let go of by <by>
        Then all jobs are "completed" within 20000 ms
        And no job was given up

        Examples:
            | by                   | times |
            | a look               | 3     |
            | a look               | 6     |
            | the end of its lease | 3     |

    # Such a task was sent to a worker that had just lost an order for it, and both orders came late: two incarnations of the worker crashed that
    # no look had met, and nobody counted them.
    Scenario Outline: A task under which <crashes> workers crashed <what> run on a worker that lost an order <ms> ms ago
        When <crashes> workers have crashed under a task, and a worker lost its order <ms> ms ago
        Then the task <what> run there

        Examples:
            | crashes | ms   | what  |
            | 0       | 200  | may   |
            | 1       | 200  | can't |
            | 1       | 1600 | may   |
