Feature: A data centre that is cut off from the others

    # Guards against daemons that send callers to an owner which can accept nothing, while other data centres could serve them.
    Scenario Outline: Its daemons are not ready and refuse at once, with the owner <place>, cut after <ms> ms
        Given a cell of 9 daemons in 3 data centres and 4 workers
        When 2 jobs of steps "1 long running" are submitted
        And the shard runs for <ms> ms
        And the data centre of the owner <place> is cut off from "peers, store"
        Then its daemons are not ready within 700 ms, because of "partitioned"
        And its daemons refuse a submission with "notAccepted", and a read and a cancel with "unavailable", within 5 ms
        And the daemons of the other data centres are ready within 3000 ms
        When the shard runs for 2000 ms
        And the data centre is no longer cut off
        Then its daemons are ready within 1000 ms
        And no run was started twice
        And no promise was broken

        Examples:
            | place   | ms   |
            | inside  | 1000 |
            | inside  | 1270 |
            | inside  | 1640 |
            | inside  | 2110 |
            | outside | 1000 |
            | outside | 1730 |

    # Guards against an owner that renews the leases of the workers in its data centre for as long as that is cut off. It went on as
    # most of all workers answered it, and its successor outside started their tasks again once it took the leases to be over.
    Scenario Outline: The owner gives the shard up although <most> of <all> workers are in its data centre, cut for <ms> ms
        Given a cell of 9 daemons in 3 data centres and <all> workers, <most> of them in "leon-feria"
        And the owner is in "leon-feria"
        When 3 jobs of steps "4 long running" are submitted
        And the shard runs for 2000 ms
        And the data centre of the owner inside is cut off from "peers, store, workers"
        And the shard runs for <ms> ms
        And the data centre is no longer cut off
        And the shard runs for 4000 ms
        Then no promise was broken

        Examples:
            | all | most | ms    |
            | 5   | 3    | 9000  |
            | 5   | 4    | 12000 |
            | 6   | 3    | 12000 |
            | 6   | 2    | 12000 |

    # The monotonic clock of a suspended VM stands still, so that the owner goes on for longer than its successor allows for.
    Scenario Outline: The owner is suspended for <ms> ms, <after> ms after its data centre is cut off
        Given a cell of 9 daemons in 3 data centres and 6 workers, 4 of them in "leon-feria"
        And the owner is in "leon-feria"
        When 3 jobs of steps "4 long running" are submitted
        And the shard runs for 2000 ms
        And the data centre of the owner inside is cut off from "peers, store, workers"
        And the shard runs for <after> ms
        And the owner inside is suspended for <ms> ms
        And the shard runs for 12000 ms
        And the data centre is no longer cut off
        And the shard runs for 4000 ms
        Then no promise was broken

        Examples:
            | after | ms   |
            | 300   | 2500 |
            | 300   | 3500 |
            | 300   | 4500 |
            | 1200  | 4000 |

    # Guards against daemons elsewhere that count as gone by the time the store falls silent, so that nobody is asked.
    Scenario Outline: The owner gives the shard up although the store falls silent <ms> ms after the peers and workers
        Given a cell of 9 daemons in 3 data centres and 6 workers, 4 of them in "leon-feria"
        And the owner is in "leon-feria"
        When 3 jobs of steps "4 long running" are submitted
        And the shard runs for 2000 ms
        And the data centre of the owner inside is cut off from "peers"
        And the shard runs for <ms> ms
        And the data centre of the owner inside is cut off from "peers, store, workers"
        And the shard runs for 15000 ms
        And the data centre is no longer cut off
        And the shard runs for 4000 ms
        Then no promise was broken

        Examples:
            | ms    |
            | 3000  |
            | 15000 |
            | 40000 |

    # Nothing is committed while the runs just go on, so that no commit shows that the store is silent.
    Scenario: An owner without commits gives the shard up in a data centre that is cut off
        Given a cell of 9 daemons in 3 data centres and 6 workers, 4 of them in "leon-feria"
        And the owner is in "leon-feria"
        When 3 jobs of steps "4 long running" are submitted
        And the shard runs for 15000 ms
        And the data centre of the owner inside is cut off from "peers, store, workers"
        And the shard runs for 15000 ms
        And the data centre is no longer cut off
        And the shard runs for 4000 ms
        Then no promise was broken

    # Guards against daemons that take a fault of another kind for a partition, and so leave callers without a daemon that is ready.
    Scenario Outline: <what> is not a partition
        Given a cell of 9 daemons in 3 data centres and 4 workers
        When the data centre of the owner inside is cut off from "<cut>"
        And 2 jobs of steps "1" are submitted
        Then <which> daemons stay ready for 400 ms
        When the shard runs for 3000 ms
        Then no daemon was not ready because of "partitioned"

        Examples:
            | what                      | cut   | which |
            | Silence of the peers only | peers | its   |
            | Silence of the store only | store | all   |

    Scenario: An outage of the store leaves all daemons ready
        Given a cell of 9 daemons in 3 data centres and 4 workers
        When the fault "store hangs" comes
        And 2 jobs of steps "1" are submitted
        Then all daemons stay ready for 4000 ms

    Scenario: A cell with one data centre is never cut off in this sense
        Given a cell of 4 daemons and 4 workers
        When the fault "two others cut off, store hangs" comes
        And the shard runs for 3000 ms
        Then no daemon was not ready because of "partitioned"

    # Guards against a partition that stays unnoticed because its signs came one after the other.
    Scenario Outline: The store falls silent <ms> ms after the peers
        Given a cell of 9 daemons in 3 data centres and 4 workers
        When the data centre of the owner outside is cut off from "peers"
        And the shard runs for <ms> ms
        And the data centre of the owner outside is cut off from "store"
        Then its daemons are not ready within 1300 ms, because of "partitioned"

        Examples:
            | ms   |
            | 300  |
            | 3000 |

    # Guards against a partition that seems to go on because only one kind of sign is watched.
    Scenario Outline: The <what> answers first
        Given a cell of 9 daemons in 3 data centres and 4 workers
        When the data centre of the owner outside is cut off from "peers, store"
        And the shard runs for 1500 ms
        And only the "<what>" of the data centre answers again
        Then its daemons are no longer partitioned within 400 ms

        Examples:
            | what  |
            | store |
            | peers |

    # Guards against an owner that renews leases for as long as it is cut off with half of the workers: too few are silent for it to give up.
    Scenario Outline: The owner is cut off alone with <in> of 6 workers, in a cell <cell>
        Given a cell <cell>
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And <in> workers are reached by the owner only, which then reaches nothing else
        And the shard runs for 20000 ms
        Then no promise was broken

        Examples:
            | in | cell                                            |
            | 2  | of 4 daemons and 6 workers                      |
            | 3  | of 4 daemons and 6 workers                      |
            | 4  | of 4 daemons and 6 workers                      |
            | 3  | of 6 daemons in 3 data centres and 6 workers    |
            | 4  | of 6 daemons in 3 data centres and 6 workers    |
