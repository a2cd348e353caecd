Feature: Takeover of a shard in larger cells

    Scenario: A strong VM takes over before a weak one
        Given a cell of daemons with strengths "0.2, 0.2, 0.2, 1, 1" and 4 workers
        When 4 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 500 ms
        And the fault "owner killed" comes
        Then another daemon owns the shard within 1500 ms
        And no weak daemon has owned the shard since
        And all jobs are "completed" within 20000 ms
        And no promise was broken

    Scenario: After the loss of all VMs a strong one takes over
        Given a cell of daemons with strengths "0.2, 0.2, 0.2, 1, 1" and 4 workers
        When the fault "all killed" comes
        And the shard runs for 300 ms
        And the fault goes
        And the shard runs for 3000 ms
        Then no weak daemon has owned the shard since

    Scenario: A weak VM owns the shard while no strong one is left, and hands it over to a strong one later
        Given a cell of daemons with strengths "0.2, 0.2, 1" and 4 workers
        When the fault "owner killed" comes
        Then another daemon owns the shard within 4500 ms
        When the fault goes
        And the shard runs for 4000 ms
        Then the shard's owner is strong
        When 4 jobs of steps "2" are submitted
        Then all jobs are "completed" within 5000 ms
        And no promise was broken

    # Guards against owners on weak VMs that replace each other without end, each for being as late as the one before.
    Scenario: An owner on a weak VM that answers late keeps the shard
        Given a cell of daemons with strengths "0.2, 0.2, 0.2" and 4 workers
        When the shard runs for 20000 ms
        And the fault "owner cut from its peers" comes
        And the shard runs for 900 ms
        And the fault goes
        And the shard runs for 3000 ms
        Then no other daemon has logged "claimBegins"

    Scenario: A restore makes progress over a slow link
        Given a cell of 3 daemons and 4 workers
        When 300 jobs of steps "1 long running" are submitted
        And the shard runs for 3000 ms
        And all links to the store carry 100 bytes a ms
        And the fault "owner killed" comes
        Then another daemon owns the shard within 6000 ms

    Scenario: No daemon reports too small a count of waiting jobs while a claimant reads the journal
        Given a cell of 3 daemons and 4 workers
        When 300 jobs of steps "1 long running" are submitted
        And the shard runs for 3000 ms
        And all links to the store carry 100 bytes a ms
        And the fault "owner killed" comes
        Then for 6000 ms no daemon reports that fewer than 200 jobs wait

    Scenario: A claimant that makes no progress gives its claim up
        Given a cell of 3 daemons and 4 workers
        When 300 jobs of steps "1 long running" are submitted
        And the shard runs for 3000 ms
        And the link of the next claimant carries 1 byte a ms, and no other daemon can claim
        And the fault "owner killed" comes
        And the shard runs for 2500 ms
        And the other daemons can claim again
        Then a daemon owns the shard within 6000 ms

    Scenario: An owner that stops answering is replaced soon
        Given a cell of 4 daemons and 4 workers
        When the shard runs for 500 ms
        And the fault "owner cut from its peers, the store, workers" comes
        Then another daemon owns the shard within 800 ms

    Scenario Outline: An owner that is lost right after an outage of the store of <ms> ms is replaced soon
        Given a cell of 4 daemons and 4 workers
        When the fault "store hangs" comes
        And 2 jobs of steps "2" are submitted
        And the shard runs for <ms> ms
        And the fault goes
        And the shard runs for 100 ms
        And the fault "owner cut from its peers, the store, workers" comes
        Then another daemon owns the shard within 1000 ms

        Examples:
            | ms   |
            | 2000 |
            | 2300 |
            | 2600 |
            | 2900 |
            | 3200 |

    # Guards against runs that end by their leases, and start again, while a new owner has no list of workers.
    Scenario: A new owner renews the leases of restored runs whose workers are not listed
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "4 long running" are submitted
        And the shard runs for 2000 ms
        And the fault "workers not listed, owner killed" comes
        And the shard runs for 12000 ms
        Then no run was ended by an expired lease
        And every task ran 1 time

    # Guards against a second start of tasks whose ends a new owner did not learn while it had no list of workers.
    Scenario: Tasks that end while a new owner has no list of workers are not started again once their workers are cut off
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "8" are submitted
        And the shard runs for 300 ms
        And the fault "workers not listed, owner killed" comes
        And the shard runs for 3000 ms
        And the fault "worker cut" comes
        And the workers are listed again
        And the shard runs for 9000 ms
        Then every task ran 1 time
        And no promise was broken

    # Guards against a weak daemon that replaces an owner which is overloaded and answers now and then.
    Scenario: A weak daemon does not claim from an owner that has answered a peer since the daemon lost it
        When the owner answers a peer every 1000 ms, and a weak daemon never
        Then the weak daemon has not claimed after 20000 ms
        When the owner answers nobody any more
        Then the weak daemon has claimed within 5000 ms

    # A job that started after its caller was refused elsewhere would make that refusal untrue.
    Scenario: A submission whose caller has gone is not forwarded to an owner that is found later
        When the caller of a submission that reaches no owner closes its connection, and an owner is found 400 ms later
        Then the submission is not forwarded

    Scenario: A request that hangs at a lost owner is forwarded to its successor
        When a request hangs at its owner, and the shard has another owner after 100 ms
        Then it is answered by the next owner after 100 ms

    # Guards against an outage of 15 s after all VMs have come back. While the store takes a quarter of a second for each
    # call, a daemon that claims is the last to learn that its own claim took effect: its peers still hold the previous row,
    # are told by the claimant that it owns nothing, and claim in turn, so that all claims queue in the store.
    Scenario: After the loss of all VMs the shard has an owner soon, even while the store is slow
        Given a cell of 32 daemons, every fifth of them strong, and 350 workers
        When 350 jobs of steps "1 long running" are submitted
        And the shard runs for 3000 ms
        And the fault "all killed, store slow" comes
        And the shard runs for 2700 ms
        And all daemons are back
        Then a daemon owns the shard within 6000 ms
        And the shard was claimed at most 2 times
        And no promise was broken

    Scenario Outline: A journal of <jobs> jobs is restored soon from a slow store, also after a page could not be read
        Given a cell of 4 daemons and 4 workers
        When the journal holds <jobs> unfinished jobs and <ended> that have ended
        And the owner is killed, and from the first page that its successor reads the store is down for <downMs> ms and then slow
        Then a daemon owns the shard within <ownMs> ms
        And a job is accepted within <acceptMs> ms

        Examples:
            | jobs | ended | downMs | ownMs | acceptMs |
            | 1000 | 0     | 0      | 4000  | 2000     |
            | 350  | 0     | 1500   | 6000  | 2000     |
            | 10   | 3000  | 0      | 3000  | 4000     |

    Scenario: A list of 350 workers is read over a link on which it takes longer than the time limit of one read
        Given a cell of 3 daemons and 350 workers
        When all links to the store carry 60 bytes a ms
        And the fault "owner killed" comes
        Then another daemon owns the shard within 2000 ms
        And the owner knows 350 workers within 15000 ms

    Scenario: A claimant that makes very slow progress gives its claim up
        Given a cell of 4 daemons and 4 workers
        When the journal holds 1000 unfinished jobs and 0 that have ended
        And the link of the next claimant carries 20 bytes a ms, and no other daemon can claim
        And the fault "owner killed" comes
        And the shard runs for 2500 ms
        And the other daemons can claim again
        Then a daemon owns the shard within 8000 ms

    Scenario: A daemon that gave up a restore is ready as soon as another daemon owns the shard
        Given a cell of 4 daemons and 4 workers
        When the journal holds 1000 unfinished jobs and 0 that have ended
        And the link of the next claimant carries 7 bytes a ms, and no other daemon can claim
        And the fault "owner killed" comes
        And the shard runs for 2500 ms
        And the other daemons can claim again
        Then a daemon owns the shard within 6000 ms
        And all daemons that run are ready within 600 ms

    # A daemon that has just started has not been answered by any peer yet. Without an order of claims among such daemons,
    # all strong ones would claim at the same time.
    Scenario Outline: Daemons that come back together claim one after another, with a store that is <store>
        Given a cell of 32 daemons, every fifth of them strong, and 20 workers
        When the fault "<faults>" comes
        And the shard runs for 2700 ms
        And all daemons but the former owner are back
        Then a daemon owns the shard within 4000 ms
        And at most 2 daemons began a claim

        Examples:
            | store | faults                |
            | well  | all killed             |
            | slow  | all killed, store slow |

    # A daemon that knows no other members ranks itself as the strongest, and no peer can tell it that the owner is healthy.
    Scenario: A weak VM that has not read the table of members does not claim the shard
        Given a cell of daemons with strengths "0.2, 0.2, 0.2, 1, 1" and 4 workers
        When the fault "all killed" comes
        And the shard runs for 300 ms
        And the table of members cannot be read
        And only the weak daemons are back
        And the shard runs for 1500 ms
        And the table of members can be read again
        And all daemons are back
        Then a daemon owns the shard within 3000 ms
        And no weak daemon has owned the shard since

    Scenario: A daemon that cannot read the table of members claims the shard eventually
        Given a cell of 3 daemons and 4 workers
        When the fault "all killed" comes
        And the table of members cannot be read
        And all daemons but the former owner are back
        Then a daemon owns the shard within 6000 ms

    Scenario: Each daemon logs why it is not ready and for how long the shard had no working owner
        Given a cell of 4 daemons and 4 workers
        When the fault "owner killed, store hangs" comes
        And the shard runs for 5000 ms
        Then each other daemon has logged "notReady" 1 time, at last with "reason" "ownerSilent"
        And each other daemon has logged "withoutOwner" 3 times, at last with "doing" "storeSilent"
        And each other daemon has logged "ownerSilent" at most 8 times
        When the fault goes
        And the shard runs for 2000 ms
        Then each other daemon has logged "ready" 1 time, at last with "reason" ""
        And each other daemon has logged "ownerAtWork" 1 time, at last with "reason" ""

    Scenario Outline: A job is accepted soon after all 32 VMs lost power and the store failed during their return, seed <seed>
        When the power loss of seed <seed> is simulated
        Then a job is accepted at most 4000 ms after the last fault, and no promise was broken

        Examples:
            | seed |
            | 7    |
            | 21   |
            | 101  |
            | 102  |
            | 9022 |
            | 9074 |
            | 31018 |

    # Guards against a shard whose owner does not know that it is the owner: the transaction of a claim waits in the store's
    # queue and takes effect after the claimant has given the claim up.
    Scenario Outline: A claim that takes effect after it was given up is still used, in a cell of <members>
        Given a cell of <members> daemons and 2 workers
        When the owner is killed while the store is slow and another writer keeps its queue full until 300 ms after the first claim
        Then a daemon owns the shard within 2500 ms

        Examples:
            | members |
            | 2       |
            | 3       |

    # The entries of VMs that never come back stay in the store.
    Scenario Outline: VMs that have been gone for a minute do not delay a takeover: <gone> of <strengths>
        Given a cell of daemons with strengths "<strengths>" and 4 workers
        When the daemons <gone> are gone for good
        And the shard runs for 70000 ms
        And the fault "owner killed" comes
        Then another daemon owns the shard within 800 ms

        Examples:
            | gone             | strengths                                 |
            | 0, 1, 2, 3, 4, 5 | 1, 1, 1, 1, 1, 1, 1, 1, 1                 |
            | 0, 1, 2          | 1, 1, 1, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2     |

    # Each owner that is replaced soon after its claim doubles the time for which the next owner may be silent. If that time
    # is not reset while an owner stays in office, a real loss long after such a series is noticed late.
    Scenario: The loss of an owner that has worked for a minute is noticed as soon as that of any other
        Given a cell of 6 daemons and 4 workers
        When three owners are cut off, each soon after its claim
        And the shard runs for 60000 ms
        And the fault "owner cut from its peers, the store, workers" comes
        Then another daemon owns the shard within 2000 ms

    # A daemon waits up to a second, four answers of the store, for each candidate that ranks before it, even if that
    # candidate cannot claim.
    Scenario: While the store is slow and refuses most daemons, the one that it still serves takes over soon
        Given a cell of 32 daemons and 4 workers
        When the store is slow and serves only the owner and one other daemon
        And the fault "owner killed" comes
        Then another daemon owns the shard within 5000 ms

    # Guards against running out of memory: each unanswered ping started the next round of pings, so that an owner that was
    # cut off from its peers had 110 MB of pings in flight three seconds after the cut.
    Scenario Outline: An owner that loses <others> pings its peers at the usual rate, in a cell of <members>
        Given a cell of <members> daemons and 4 workers
        When <others> lose power
        Then no daemon sends more than 70 calls to its peers in any 500 ms of 3000 ms

        Examples:
            | members | others                   |
            | 6       | all others               |
            | 34      | all others               |
            | 34      | half of the others       |
            | 97      | all others               |

    # If every daemon pings every other one, each added VM adds load to all of them: 5,280 calls per second with 97 daemons.
    Scenario Outline: The rate of calls between daemons does not grow with the cell, <members> daemons
        Given a cell of <members> daemons and 4 workers
        When 3 jobs of steps "2" are submitted
        Then in 10000 ms each other daemon has at most 26 calls per second with its peers, and the owner 200

        Examples:
            | members |
            | 6       |
            | 34      |
            | 97      |
            | 300     |

    Scenario: Every daemon of a large cell reports how many jobs wait
        Given a cell of 97 daemons and 4 workers
        When 3 jobs of steps "1" are submitted
        And the shard runs for 5000 ms
        Then all daemons report within 100 ms that 0 jobs wait

    Scenario Outline: The owner of a large cell is replaced as soon as that of a small one, <fault>
        Given a cell of 97 daemons, every fifth of them strong, and 20 workers
        When the fault "<fault>" comes
        Then another daemon owns the shard within <ms> ms

        Examples:
            | fault                                        | ms   |
            | owner killed                                 | 600  |
            | owner cut from its peers, the store, workers | 1200 |
            | owner and a third of the others killed       | 1200 |

    # Callers in a data centre that is cut off switch to another one once the daemons of their own report that they are not
    # ready.
    Scenario Outline: Daemons of a large cell soon report not ready when they are cut off, after <ms> ms
        Given a cell of 97 daemons, every fifth of them strong, and 20 workers
        When the shard runs for <ms> ms
        And the fault "a fifth of the others cut off" comes
        Then the daemons that are cut off are no longer ready after 1100 ms
        And no other daemon has logged "notReady"

        Examples:
            | ms   |
            | 400  |
            | 800  |
            | 1200 |
            | 1600 |
            | 2000 |

    Scenario: Every daemon of a large cell learns soon of a new owner
        Given a cell of 97 daemons, every fifth of them strong, and 20 workers
        When the fault "owner killed" comes
        And the shard runs for 3000 ms
        Then no other daemon has logged "withoutOwner"

    Scenario: A lost ping does not make a peer count as silent if it has answered a later ping
        When a ping of a peer is lost, and one that was sent 100 ms later is answered at once
        Then the peer is not silent

    # A daemon that pings the owner at longer intervals than an outage of the store lasts does not notice the outage. It
    # takes the lack of commits during the outage for a fault of the owner and claims. In one case a weak VM restored the
    # shard for 1.6 s, and three more owners followed.
    Scenario Outline: An outage of the store of <ms> ms causes no takeover in a cell of <members>
        Given a cell of <members> daemons, every fifth of them strong, and 20 workers
        When 6 jobs of steps "2" are submitted
        And the fault "<fault>" comes
        And 6 jobs of steps "2" are submitted
        And the shard runs for <ms> ms
        And the fault goes
        And the shard runs for 3000 ms
        Then no other daemon has logged "claimBegins"

        Examples:
            | members | ms   | fault         |
            | 34      | 3300 | store refuses |
            | 34      | 3500 | store refuses |
            | 34      | 3700 | store refuses |
            | 34      | 3900 | store refuses |
            | 34      | 4100 | store refuses |
            | 34      | 4300 | store refuses |
            | 34      | 4300 | store hangs   |
            | 97      | 4300 | store refuses |
            | 97      | 5000 | store refuses |
            | 97      | 5500 | store refuses |
            | 97      | 6000 | store hangs   |

    Scenario: A daemon that reaches no peer does not claim the shard while the owner keeps committing
        Given a cell of 6 daemons and 4 workers
        When 200 jobs of steps "4" are submitted
        And the shard runs for 500 ms
        And the fault "another cut from its peers" comes
        And the shard runs for 10000 ms
        Then at most 0 daemons began a claim
        And no promise was broken

    Scenario: A daemon that reaches no peer takes over if the owner and all other daemons are lost
        Given a cell of 6 daemons and 4 workers
        When 20 jobs of steps "4" are submitted
        And the shard runs for 500 ms
        And all daemons but one are killed
        Then a daemon owns the shard within 4000 ms
        And all jobs are "completed" within 30000 ms
        And no promise was broken

    Scenario Outline: After the loss of all VMs daemons on slow links get a configuration of <queues> queues
        Given a cell of 34 daemons, every fifth of them strong, the others on slow links, 20 workers and a configuration of <queues> queues
        When 200 jobs of steps "4" are submitted
        And the shard runs for 2000 ms
        And the fault "all killed" comes
        And the shard runs for 700 ms
        And all daemons are back
        Then a daemon owns the shard within 2000 ms
        And all daemons that run are ready within <readyMs> ms
        And no weak daemon has owned the shard since
        And the shard was claimed at most 1 times
        And no promise was broken

        Examples:
            | queues | readyMs |
            | 1400   | 5000    |
            | 2800   | 5000    |
            | 5600   | 10000   |

    Scenario: Daemons on slow links that the store refuses get a configuration of 2800 queues from their peers
        Given a cell of 34 daemons, every fifth of them strong, the others on slow links, 20 workers and a configuration of 2800 queues
        When the shard runs for 3000 ms
        And the store refuses 9 of the daemons on slow links
        And the shard runs for 3000 ms
        And the configuration changes
        And the shard runs for 5000 ms
        Then every daemon that runs has the newest version
        And no weak daemon has owned the shard since

    # Guards against an owner that renews leases after its VM was suspended. What it reads first was answered before the suspension, so
    # that it took most workers for live, and renewed the leases of those that were cut off with it for up to 1.8 s more. Its
    # successor had counted these leases as over, and ran the tasks a second time.
    Scenario Outline: An owner that is suspended for <ms> ms as it is cut off with some workers renews no lease too late
        Given a cell of 4 daemons and 9 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And the owner and 3 workers are cut off from all others, and its VM is suspended for <ms> ms
        And the shard runs for 12000 ms
        And the fault goes
        And the shard runs for 5000 ms
        Then no promise was broken

        Examples:
            | ms   |
            | 0    |
            | 1000 |
            | 2000 |
            | 3000 |
            | 4000 |
            | 5500 |
