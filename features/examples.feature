Feature: Examples of the library's modules

    Scenario Outline: The example of <module>
        When the example of "<module>" runs
        Then it gives "<result>"

        Examples:
            | module               | result                                  |
            | ledger               | reserved, then refused                  |
            | placements           | b                                       |
            | upstreamChoices      | u2                                      |
            | taskQueue            | urgent first                            |
            | ownerCapacities      | owner-2                                 |
            | journal              | 2 records replayed                      |
            | membership           | the session is dead                     |
            | ownership            | unit/rack/leon-feria/r1 is owned        |
            | homeState            | queued, then starting                   |
            | jobSpec              | neverFits                               |
            | configurationStore   | conflict with version 1                 |
            | configurationDocument | - class batch: batch, policy pack, priority 3 |
            | requestClaims        | claimed, then refused                   |
            | slots                | 8 slots                                 |
            | router               | a slot of leon-feria-u1                 |
            | node                 | completed                               |
            | errors               | notRun is 503                           |
            | check                | tasks: a whole number from 1 to 10      |
            | resources            | 3 accelerators                          |
            | rendezvous           | the same for all                        |
            | ring                 | 3, 2                                    |
            | time                 | 3 runs                                  |
            | moments              | 300 ms                                  |
            | system               | the same for the same seed              |
            | session              | vm-1~1 may act                          |
            | deputy               | promises 3000 ms                        |
            | attempts             | a1 is reserved                          |
            | reportOutbox         | a1 is settled                           |
            | workerReport         | a1 holds 1000 cpuMillis                 |
            | quarantine           | quarantined                             |
            | usage                | throttle a1                             |
            | earmarks             | w1 is kept                              |
            | bucket               | true, true, false                       |
            | outcomes             | attemptAbandoned                        |
            | placer               | 1 placed                                |
            | snapshots            | 1 job up to batch 5                     |
            | homes                | 1 home is held                          |
            | home                 | load-in-7 is accepted                   |
            | jobs                 | the same answer twice                   |
            | rackOwner            | running on w1                           |
            | homeRecovery         | recovered                               |
            | attemptOwners        | no owner is known                       |
            | preemptor            | 1 less urgent tasks of w1 are stopped for it |
            | nodeSettings         | leases of 20000 ms                      |
            | adviceDispatcher     | first, urgent, batch                    |
            | adviceCallSize       | 60, then 80, or 40                      |
            | adviceAhead          | not yet, then now                       |
            | capView              | 1 beside 2 that wait for room           |
            | avoidance            | 1 after 1000 ms, 0 after 3000 ms        |
            | eligible             | 2 of 3                                  |
            | cellMember           | another daemon owns the shard           |
            | chooseWorker         | i-2                                     |
            | claimShard           | token 1, then refused                   |
            | acceptance           | notAccepted, 0 jobs                     |
            | admission            | undefined, then ownerLate               |
            | backlog              | 1600 core-ms for 8 cores                |
            | shedding             | undefined, undefined, 0                 |
            | localRefusals        | overloaded                              |
            | retryTimes           | 500 ms                                  |
            | commitWait           | unavailable                             |
            | endedJobs            | unknown, then cancelled                 |
            | accounts             | 2 tasks                                 |
            | fairShares           | 1 south, 1 north, 1 north               |
            | headroom             | 10 cores, 1 core of arrivals, then 0    |
            | shortage             | not short, then short for 1 s           |
            | callerKeys           | north, then unauthenticated             |
            | batchWriter          | in force at version 1                   |
            | guard                | failed: done, timer                     |
            | traffic              | 1 call, 96 bytes sent, 210 received; platform 0 |
            | workerAnswers        | unknown                                 |
            | commitLog            | 3 jobs in 1 transaction                 |
            | evacuate             | 0 moves while the other is away; not ready |
            | commitMonitor        | commits, then quiet                     |
            | processorShare       | false false false true                  |
            | configurationFetch   | asked 1 time for 3 offers               |
            | handOver             | claimed by a peer                       |
            | startGate            | 2 freed, 1 open, then open again        |
            | pauseGuard           | free, held, free                        |
            | loadReport           | 12 steps wait, 500 planned, 8 cores free, workers: 2 calls 0.2/0.5 kB |
            | ownDelay             | 200 ms, then 500 ms                     |
            | ownerProgress        | nothingStarted for 3000 ms, news of 500 ms ago |
            | ownerWatch           | 7 restarted                             |
            | peers                | 1 daemon, then entry-1 and entry-2      |
            | memberRows           | entry-2, then memberId cannot be read, then nobody |
            | rowReader            | 1 line, 1 entry                         |
            | jobRowSchemas        | done with defaults                      |
            | decode               | entry, unreadable at wave, unreadable at value, none |
            | probes               | 10 strong ones first, 1940 ms between two pings, 1080 ms for place 20 |
            | firstLooks           | 24 sent, then 25                        |
            | forward              | notAccepted after 750 ms                |
            | pendingCancels       | unavailable, unavailable, unavailable; a cancelled, b shutdown |
            | workerList           | i-1, then nobody                        |
            | jobModel             | completed                               |
            | jobRows              | 5c0e7a21d94b36f8.0.0.0 ran on i-1       |
            | dueOccurrences       | 3 due, 0 and 1 open                     |
            | occurrenceSet        | 5 in 2 ranges; 4 is missing             |
            | startPace            | 0.64, then undefined                    |
            | startQueue           | 3 of 4                                  |
            | gangWatch            | 0 stopped, then 2                       |
            | taskPages            | tasks/5c0e7a21d94b36f8/0/128            |
            | taskRows             | 1 live run, then 2 runs, 1 failure       |
            | pacer                | paced to 0 percent                      |
            | taskPlacer           | 5c0e7a21d94b36f8.0.0.0 on i-1           |
            | preempt              | 1 run stops                             |
            | capacityView         | 8000 for it, 0 for others               |
            | planReservations     | i-2 in 0 ms, i-1 in 700 ms              |
            | roomyWorkers         | i-2                                     |
            | ticketBudget         | true, then true, then false             |
            | urgency              | 2 onTime, 1 late                        |
            | blockedSteps         | after 2100, 3100 ms                     |
            | adviceRequester      | may run on i-1                          |
            | shardOwner           | 5c0e7a21d94b36f8 is queued              |
            | shardWorkers         | 1 worker, then 0, as its incarnation was over  |
            | shardQueries         | waits for room, 1 task, i-1 at 0.5      |
            | shardSettings        | leases of 5000 ms                       |
            | shardTables          | sequence                                |
            | readRows             | 120 rows                                |
            | partition            | connected, cut off, connected           |
            | readiness            | ready, notReady, withoutOwner           |
            | crashes              | 1 crash, then 0                         |
            | lostRuns             | 1 run was lost with i-1                 |
            | correlatedCrashes    | 1 worker fell silent                    |
            | incarnations         | i-1, then another one; maybe the same   |
            | delayedStarts           | 1 order, then none                      |
            | absence              | ordered: wait until 5310, refuse, drop after 5330 |
            | missingRuns          | 1 of 3 is gone, run 1 has to be stopped first |
            | dropContext          | listed, list of 300 ms, lease for 4000 ms, at work for 600 ms |
            | endsWithoutTask      | nothing, then 1 end up to 7: 1 done, 0 of known jobs |
            | unansweredStart      | it may arrive at 2000 ms, not at 9000 ms; one with a ticket of one incarnation is settled by a look |
            | lookSlots            | 10 ms, 15 ms, 20 ms, 20 ms |
            | startBreaker         | 100 ms without starts, then one at a time, then all |
            | runOrders            | 1 order without an answer, 1 look under token 8 |
            | nextIncarnation      | 1 of 2 runs may be there, inherited, settled by its next look; 2 may have crashed the incarnation before |
            | runTimes             | spread, 0.5 times as fast               |
            | runTimesRow          | 0 rows, then 1; plans take 2 times their estimates |
            | speedsReport         | speedsLearned: slowest 10.0.0.1:1 0.50, 10.0.0.0:1 1.20 |
            | trials               | 1 task, by itself                       |
            | shortTenures         | 4 times, then 1                         |
            | tableWatch           | configuration seen                      |
            | taskReview           | 1 step put back, then 0                 |
            | taskWait             | ticket, then room                       |
            | upkeep               | completed                               |
            | waveRows             | true, 1 begun |
            | workerLink           | 3 looks                                 |
            | workerTable          | until 6500 on its clock, 8000 free      |
            | workerWatch          | end 7 taken, done                       |
            | taskName             | 5c0e7a21d94b36f8.0.1.17                 |

    Scenario: Every module that the library exports has an example
        Then each module of core, plugins and utils has an example
