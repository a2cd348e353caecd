Feature: Random orders of faults, by seed

    Scenario Outline: Schedules <first> to <last>
        When the schedules <first> to <last> are explored
        Then every promise holds in each of them

        Examples:
            | first | last |
            | 1     | 12   |
            | 277   | 286  |
            | 297   | 297  |
            | 335   | 340  |
            | 371   | 374  |
            | 457   | 460  |
            | 559   | 562  |

    Scenario Outline: Schedules <first> to <last> that show the scene "<scene>" often
        When the schedules <first> to <last> of 12 steps are explored with the scene "<scene>"
        Then every promise holds in each of them

        Examples:
            | scene          | first | last |
            | endMidStart    | 1     | 6    |
            | cutWithBacklog | 1     | 6    |
            | cutWithBacklog | 50    | 50   |
            | cutWithBacklog | 140   | 140  |
            | cutWithBacklog | 426   | 426  |
            | endInOutage    | 1     | 6    |

    Scenario Outline: The checks find a part of a node that is broken on purpose: <part>
        When schedules from <first> on are explored with the scene "<scene>" and the part "<part>" broken
        Then a broken promise is found within 60 schedules

        Examples:
            | part                  | scene          | first |
            | noListing             | endMidStart    | 1     |
            | noReadBack            | endMidStart    | 1     |
            | unknownStartIsRefused | endMidStart    | 1     |
            | endlessPromise        | cutWithBacklog | 11    |
            | noRecovery            | endInOutage    | 30    |
            | noTakeoverWait        | endMidStart    | 60    |
            | startsNeverVoid       | endMidStart    | 8     |

    Scenario Outline: No task stalls beside free room on a shard with long-running jobs, seed <seed>
        When the seed <seed> is explored on a shard with long-running jobs
        Then nothing went wrong on the shard

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |

    # Guards against organisations that have more running than their caps allow.
    Scenario Outline: Organisations keep to caps that change, among workers that <what>, seed <seed>
        When the seed <seed> is explored on a shard with organisations, among workers that <what>
        Then nothing went wrong on the shard

        Examples:
            | what                        | seed |
            | serve                       | 1    |
            | serve                       | 5    |
            | serve                       | 10   |
            | start again under their IDs | 2    |
            | start again under their IDs | 3    |
            | fail                        | 4    |
            | shrink and grow             | 6    |
            | crash under their tasks     | 30247 |

    # Guards against runs that are taken for ended because a look lacks them, and against room that is given away for them.
    Scenario Outline: Random faults among workers that <kind>, seed <seed>
        When the seed <seed> is explored on a shard whose workers <kind>
        Then nothing went wrong on the shard

        Examples:
            | kind                                                                  | seed   |
            | hide runs that are being stopped                                      | 930001 |
            | hide runs that are being stopped and keep their IDs                   | 930002 |
            | check starts once and begin runs later                                | 930006 |
            | check starts once and begin runs later, with daemons that are stopped | 930008 |

    # Guards against two faults: jobs that crash every worker were started without end, and sound jobs were given up because of
    # crashes that a task beside them on the same worker caused.
    Scenario Outline: Only tasks that crash their workers are given up, among jobs that <others>, seed <seed>
        When the seed <seed> is explored on a shard with jobs that crash their workers, among jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | others |
            | 8    | end  |
            | 11   | end  |
            | 34   | end  |
            | 45   | end  |
            | 54   | end  |
            | 224  | end  |
            | 3    | last |
            | 17   | last |
            | 21   | last |
            | 44   | last |
            | 57   | last |
            | 352  | last |
            | 3092 | end  |
            | 261  | end  |
            | 309  | end  |

    # Guards against members of one gang that start from different checkpoints, some of them from none.
    Scenario Outline: Gangs that save checkpoints while they run, with crashed workers that <ids> their IDs, seed <seed>
        When the seed <seed> is explored on a shard with gangs that save checkpoints, with crashed workers that <ids> their IDs
        Then nothing went wrong on the shard

        Examples:
            | seed | ids    |
            | 18   | change |
            | 46   | change |
            | 3    | keep   |
            | 176  | keep   |

    # The leases of these workers run out before the owner can find out that they crashed.
    Scenario Outline: Crashed workers that stay down for longer than their leases, seed <seed>
        When the seed <seed> is explored on a shard with jobs that crash their workers for 7000 ms
        Then nothing went wrong on the shard

        Examples:
            | seed |
            | 2    |
            | 11   |
            | 39   |

    # Guards against taking a restarted worker for its former incarnation: crashes were not counted and ends of runs were ignored.
    Scenario Outline: Workers that restart under their IDs after <ms> ms, with jobs that <others>, seed <seed>
        When the seed <seed> is explored on a shard whose workers start again under their IDs after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | ms   | others |
            | 4    | 3300 | end    |
            | 13   | 3300 | end    |
            | 17   | 3300 | end    |
            | 35   | 3300 | end    |
            | 36   | 3300 | end    |
            | 39   | 3300 | end    |
            | 51   | 3300 | quiet  |
            | 2    | 3300 | last   |
            | 44   | 600  | last   |
            | 816  | 600  | last   |
            | 693  | 600  | last   |
            | 1079 | 600  | last   |
            | 70001 | 600 | last   |

    # Guards against tasks that run twice and workers that hold more than their capacity. A start order that got no answer was
    # carried out by the worker's next incarnation, which had received neither the stop nor the fencing token by which the former
    # incarnation would have refused the order.
    Scenario Outline: Orders reach a worker that has started again after <ms> ms, with jobs that <others>, seed <seed>
        When the seed <seed> is explored on a shard whose workers start again under their IDs after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | ms  | others |
            | 16   | 50  | end    |
            | 25   | 50  | end    |
            | 28   | 50  | end    |
            | 40   | 50  | end    |
            | 7    | 500 | crowd  |
            | 54   | 500 | crowd  |
            | 61   | 500 | crowd  |
            | 62   | 500 | crowd  |
            | 157  | 600 | last   |
            | 122  | 600 | last   |
            | 94   | 50  | end    |
            | 42   | 600 | last   |
            | 273  | 600 | last   |
            | 292  | 600 | last   |
            | 1082 | 50  | end    |

    # Delayed copies of one order reach incarnations that the owner has not called yet, or that its looks have reached but its
    # stop orders have not.
    Scenario Outline: Delayed orders reach incarnations that the owner has not called yet, down for <ms> ms, seed <seed>
        When the seed <seed> is explored on a shard whose workers start again under their IDs after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | ms  | others |
            | 131  | 50  | end    |
            | 231  | 50  | end    |
            | 99   | 600 | last   |
            | 287  | 600 | last   |

    # No look can reach an incarnation before an order that arrives 10 ms after its start, while no owner is at work, or while the
    # worker answers no look.
    Scenario Outline: Delayed orders reach incarnations before any look can, down for <ms> ms, seed <seed>
        When the seed <seed> is explored on a shard whose workers start again under their IDs after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | ms  | others |
            | 140  | 600 | last   |
            | 1036 | 50  | end    |
            | 1611 | 50  | end    |
            | 20333 | 600 | last   |
            | 20968 | 50  | end    |

    # In each of these seeds one order is carried out by an incarnation behind a cut link, or while all daemons are down.
    Scenario Outline: A delayed order starts a task again after its end was acknowledged, workers down for <ms> ms, seed <seed>
        When the seed <seed> is explored on a shard whose workers start again under their IDs after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed  | ms | others |
            | 41086 | 50 | end    |
            | 7279  | 50 | end    |
            | 7466  | 50 | end    |
            | 7475  | 50 | end    |
            | 7494  | 50 | end    |

    # Only faults that delay orders to workers which then restart, three at a time. One seed in four ran tasks twice, because a look
    # at one incarnation was taken as proof that no other incarnation would carry out an order.
    Scenario Outline: Delayed orders during crashes, cuts and kills, workers down for <ms> ms, seeds <first> to <last>
        When the seeds <first> to <last> are explored on a shard with orders under way to workers that start again after <ms> ms, with jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | first | last  | ms  | others |
            | 50001 | 50010 | 50  | end    |
            | 50011 | 50020 | 50  | end    |
            | 50001 | 50010 | 600 | last   |
            | 50011 | 50020 | 600 | last   |
            | 60052 | 60052 | 600 | last   |
            | 71069 | 71069 | 600 | last   |
            | 71150 | 71150 | 600 | last   |
            | 71177 | 71177 | 600 | last   |
            | 81129 | 81129 | 600 | last   |
            | 85058 | 85058 | 600 | last   |
            | 85110 | 85110 | 600 | last   |
            | 85169 | 85169 | 600 | last   |

    # Guards against start orders without an answer that reserve room and delay the turn of unrelated tasks.
    Scenario Outline: Delayed orders with suspended daemons and workers that fail all runs, workers down for <ms> ms, seed <seed>
        When the seed <seed> is explored on a shard with orders under way to workers that start again after <ms> ms, with suspended daemons and workers that fail everything
        Then nothing went wrong on the shard

        Examples:
            | seed  | ms |
            | 83091 | 50 |
            | 84061 | 50 |

    # Guards against workers that hold more than their capacity because they do not check starts against it. Starts that had been
    # planned while a worker was larger were sent after it had shrunk: once the store was back after an outage, or once a silent
    # worker answered again.
    Scenario Outline: No start exceeds the capacity of a worker that has shrunk, with tasks that are <size>, seed <seed>
        When the seed <seed> is explored on a shard whose workers shrink, with tasks that are <size>
        Then nothing went wrong on the shard

        Examples:
            | seed | size  |
            | 65   | small |
            | 67   | small |
            | 98   | small |
            | 107  | large |
            | 182  | large |
            | 192  | large |

    # Several workers fail all runs for 4 to 7 s, others are full for good or have shrunk, and some jobs always fail.
    Scenario Outline: No job stalls beside free room when many runs fail, among jobs that <others>, seed <seed>
        When the seed <seed> is explored on a shard whose workers fail everything at times, among jobs that <others>
        Then nothing went wrong on the shard

        Examples:
            | seed | others |
            | 12   | end    |
            | 19   | end    |
            | 1    | end    |
            | 4    | end    |
            | 22   | end    |
            | 28   | end    |
            | 3    | last   |
            | 5    | last   |
            | 7092 | last   |

    # The monotonic clock of a suspended VM stands still.
    Scenario Outline: Daemons whose VMs are suspended, seed <seed>
        When the seed <seed> is explored on a shard whose daemons' VMs are suspended
        Then nothing went wrong on the shard

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
            | 30   |

    Scenario: Resumed daemons start nothing by a worker list from before their suspension, seed 1029
        When the seed 1029 is explored with long-running and crashing jobs, workers that shrink and VMs that are suspended
        Then nothing went wrong on the shard

    # Guards against an owner that was replaced and, not having noticed, says that a job does not exist which its successor has
    # accepted, and against a cancel that overtakes the job's submission. Such jobs ran after their cancels had been answered.
    Scenario Outline: Callers cancel jobs that are <when> and read the others, among <what>, seed <seed>
        When the seed <seed> is explored on a shard whose callers cancel jobs that are <when>, among <what>
        Then nothing went wrong on the shard

        Examples:
            | when     | what                                    | seed  |
            | accepted | the usual faults                        | 96025 |
            | accepted | the usual faults                        | 96569 |
            | accepted | VMs that are suspended                  | 97017 |
            | accepted | the usual faults                        | 96021 |
            | accepted | the usual faults                        | 96154 |
            | accepted | the usual faults                        | 95010 |
            | accepted | the usual faults                        | 95057 |
            | accepted | delayed orders and workers that restart | 97001 |
            | sent     | the usual faults                        | 96001 |
            | sent     | the usual faults                        | 96012 |
            | sent     | the usual faults                        | 96013 |
            | sent     | the usual faults                        | 96005 |
            | sent     | the usual faults                        | 96009 |
            | mixed    | delayed orders and workers that restart | 98010 |
            | mixed    | delayed orders and workers that restart | 98001 |

    # Guards against tasks that are started again while an owner inside a data centre that is cut off still holds their runs, whose
    # workers are not listed after an outage of the store.
    Scenario Outline: A data centre is cut off in an outage while daemons restart, with <what>, seeds <first> to <last>
        When the seeds <first> to <last> are explored on a shard whose data centre is cut off in an outage, with <what>
        Then nothing went wrong on the shard

        Examples:
            | what                             | first  | last   |
            | looks that are lost              | 200001 | 200003 |
            | looks that are lost              | 200046 | 200046 |
            | looks that are lost              | 200290 | 200290 |
            | looks that are carried out late  | 210001 | 210003 |
            | former workers listed            | 220001 | 220001 |
            | former workers listed            | 220013 | 220013 |

    Scenario Outline: The checks find a dependency of a shard that is broken on purpose: <part>
        When seeds from <first> on are explored on a shard with the part "<part>" broken
        Then a stalled task is found within 20 seeds

        Examples:
            | part          | first |
            | listedOnce    | 3     |
            | endsHidden    | 4     |
            | nobodyAllowed | 1     |

    Scenario: The checks find stop orders that are not sent
        When seeds from 1 on are explored on a shard with the part "stopsNotSent" broken
        Then a task that runs on after its cancel is found within 20 seeds
