Feature: Two owners that are both alive, without a pause

    # Guards against an order of a replaced owner whose commit it learns of late, while only it reaches the run's worker.
    Scenario Outline: The owner's commits are answered "<first>" for <ms> ms and then "<then>", those of the others "<others>", <steps>
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 8 jobs of steps "<steps>" are submitted
        And the shard runs for 2000 ms
        And 2 workers are reached by the owner only, which then reaches all but its peers
        And the store answers the owner "<first>" for <ms> ms, and then "<then>"
        And the store answers the other daemons "<others>"
        And 8 jobs of steps "<steps>" are submitted
        And the shard runs for 22000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | first     | ms   | then      | others | steps          |
            | loseReply | 900  | none      | none   | 3 long running |
            | loseReply | 900  | none      | slow   | 3 long running |
            | loseReply | 1500 | none      | none   | 3 long running |
            | loseReply | 1500 | none      | slow   | 3 long running |
            | loseReply | 2300 | none      | none   | 3 long running |
            | loseReply | 2300 | none      | slow   | 3 long running |
            | lateReply | 900  | none      | none   | 3 long running |
            | lateReply | 900  | none      | slow   | 3 long running |
            | lateReply | 1500 | none      | none   | 3 long running |
            | lateReply | 1500 | none      | slow   | 3 long running |
            | lateReply | 2300 | none      | none   | 3 long running |
            | lateReply | 2300 | none      | slow   | 3 long running |
            | lateReply | 900  | lateReply | none   | 3 long running |
            | lateReply | 900  | lateReply | slow   | 3 long running |
            | lateReply | 1500 | lateReply | none   | 3 long running |
            | lateReply | 1500 | lateReply | slow   | 3 long running |
            | lateReply | 2300 | lateReply | none   | 3 long running |
            | lateReply | 2300 | lateReply | slow   | 3 long running |
            | late      | 900  | none      | none   | 3 long running |
            | late      | 900  | none      | slow   | 3 long running |
            | late      | 1500 | none      | none   | 3 long running |
            | late      | 1500 | none      | slow   | 3 long running |
            | late      | 2300 | none      | none   | 3 long running |
            | late      | 2300 | none      | slow   | 3 long running |
            | hang      | 900  | lateReply | none   | 3 long running |
            | hang      | 900  | lateReply | slow   | 3 long running |
            | hang      | 1500 | lateReply | none   | 3 long running |
            | hang      | 1500 | lateReply | slow   | 3 long running |
            | hang      | 2300 | lateReply | none   | 3 long running |
            | hang      | 2300 | lateReply | slow   | 3 long running |
            | loseReply | 900  | none      | none   | 3 for 1500 ms  |
            | loseReply | 900  | none      | slow   | 3 for 1500 ms  |
            | loseReply | 1500 | none      | none   | 3 for 1500 ms  |
            | loseReply | 1500 | none      | slow   | 3 for 1500 ms  |
            | loseReply | 2300 | none      | none   | 3 for 1500 ms  |
            | loseReply | 2300 | none      | slow   | 3 for 1500 ms  |
            | lateReply | 900  | none      | none   | 3 for 1500 ms  |
            | lateReply | 900  | none      | slow   | 3 for 1500 ms  |
            | lateReply | 1500 | none      | none   | 3 for 1500 ms  |
            | lateReply | 1500 | none      | slow   | 3 for 1500 ms  |
            | lateReply | 2300 | none      | none   | 3 for 1500 ms  |
            | lateReply | 2300 | none      | slow   | 3 for 1500 ms  |
            | lateReply | 900  | lateReply | none   | 3 for 1500 ms  |
            | lateReply | 900  | lateReply | slow   | 3 for 1500 ms  |
            | lateReply | 1500 | lateReply | none   | 3 for 1500 ms  |
            | lateReply | 1500 | lateReply | slow   | 3 for 1500 ms  |
            | lateReply | 2300 | lateReply | none   | 3 for 1500 ms  |
            | lateReply | 2300 | lateReply | slow   | 3 for 1500 ms  |
            | late      | 900  | none      | none   | 3 for 1500 ms  |
            | late      | 900  | none      | slow   | 3 for 1500 ms  |
            | late      | 1500 | none      | none   | 3 for 1500 ms  |
            | late      | 1500 | none      | slow   | 3 for 1500 ms  |
            | late      | 2300 | none      | none   | 3 for 1500 ms  |
            | late      | 2300 | none      | slow   | 3 for 1500 ms  |
            | hang      | 900  | lateReply | none   | 3 for 1500 ms  |
            | hang      | 900  | lateReply | slow   | 3 for 1500 ms  |
            | hang      | 1500 | lateReply | none   | 3 for 1500 ms  |
            | hang      | 1500 | lateReply | slow   | 3 for 1500 ms  |
            | hang      | 2300 | lateReply | none   | 3 for 1500 ms  |
            | hang      | 2300 | lateReply | slow   | 3 for 1500 ms  |

    # Guards against a commit that takes effect while the successor reads the rows page by page.
    Scenario Outline: The successor reads rows over a thin link, while the owner's commits are answered "<first>" for <ms> ms
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 60 jobs of steps "3 for 1500 ms" are submitted
        And the shard runs for 1000 ms
        And 2 workers are reached by the owner only, which then reaches all but its peers
        And the other daemons are on thin links
        And the store answers the owner "<first>" for <ms> ms, and then "none"
        And the shard runs for 25000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | first     | ms   |
            | late      | 1500 |
            | late      | 2500 |
            | lateReply | 1500 |
            | lateReply | 2500 |
            | loseReply | 1500 |
            | loseReply | 2500 |
            | hang      | 1500 |
            | hang      | 2500 |

    # Guards against looks that are taken for proof although a start of the former owner, or an older answer, arrives after them.
    Scenario Outline: Calls to workers take up to <ms> ms and answers as long, no worker is listed for <unlisted> ms, <steps>
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 8 jobs of steps "<steps>" are submitted
        And the shard runs for 2000 ms
        And <kept> workers are reached by the owner only, which then reaches all but its peers
        And the store answers the owner "hang" for 2500 ms, and then "none"
        And calls to workers take up to <ms> ms, and their answers as long
        And no worker is listed for <unlisted> ms
        And the shard runs for 22000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | ms  | unlisted | kept | steps              |
            | 100 | 1000     | 0    | 3 long running     |
            | 100 | 1000     | 2    | 3 long running     |
            | 100 | 6000     | 0    | 3 long running     |
            | 100 | 6000     | 2    | 3 long running     |
            | 300 | 1000     | 0    | 3 long running     |
            | 300 | 1000     | 2    | 3 long running     |
            | 300 | 6000     | 0    | 3 long running     |
            | 300 | 6000     | 2    | 3 long running     |
            | 100 | 1000     | 0    | 3 for 1500 ms      |
            | 100 | 1000     | 2    | 3 for 1500 ms      |
            | 100 | 6000     | 0    | 3 for 1500 ms      |
            | 100 | 6000     | 2    | 3 for 1500 ms      |
            | 300 | 1000     | 0    | 3 for 1500 ms      |
            | 300 | 1000     | 2    | 3 for 1500 ms      |
            | 300 | 6000     | 0    | 3 for 1500 ms      |
            | 300 | 6000     | 2    | 3 for 1500 ms      |
            | 100 | 1000     | 0    | 4 gang for 3000 ms |
            | 100 | 1000     | 2    | 4 gang for 3000 ms |
            | 100 | 6000     | 0    | 4 gang for 3000 ms |
            | 100 | 6000     | 2    | 4 gang for 3000 ms |
            | 300 | 1000     | 0    | 4 gang for 3000 ms |
            | 300 | 1000     | 2    | 4 gang for 3000 ms |
            | 300 | 6000     | 0    | 4 gang for 3000 ms |
            | 300 | 6000     | 2    | 4 gang for 3000 ms |

    # Guards against an owner whose feeds are silent and that has nothing to commit, and so goes on renewing leases.
    Scenario Outline: The feeds of an owner without commits go silent as it loses its peers, and <kept> workers are reached by it only
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for <ms> ms
        And <kept> workers are reached by the owner only, which then reaches all but its peers
        And the feeds of the owner go silent
        And the shard runs for 22000 ms
        Then no promise was broken

        Examples:
            | ms   | kept |
            | 3000 | 2    |
            | 3000 | 3    |
            | 3000 | 6    |
            | 9000 | 2    |
            | 9000 | 3    |
            | 9000 | 6    |

    # Guards against the same where too few workers are silent for the owner to suspect that it was replaced.
    Scenario Outline: The feeds of an owner without commits go silent as it loses its peers and all but <kept> of 6 workers
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And <kept> workers are reached by the owner only, which then reaches only the store
        And the feeds of the owner go silent
        And the shard runs for 22000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | kept |
            | 2    |
            | 3    |
            | 4    |

    # Guards against a start for which the advice comes once the successor has placed the step.
    Scenario Outline: The advisor takes <advice> ms, and the owner loses its peers and, for <ms> ms, the store, <steps>
        Given a cell of 4 daemons and 6 workers whose advisor takes <advice> ms for a step
        When 4 jobs of steps "<steps>" are submitted
        And the shard runs for 400 ms
        And 2 workers are reached by the owner only, which then reaches all but its peers
        And the store answers the owner "hang" for <ms> ms, and then "none"
        And the shard runs for 25000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | advice | ms   | steps              |
            | 500    | 1500 | 3 long running     |
            | 500    | 3000 | 3 long running     |
            | 1500   | 1500 | 3 long running     |
            | 1500   | 3000 | 3 long running     |
            | 2500   | 1500 | 3 long running     |
            | 2500   | 3000 | 3 long running     |
            | 500    | 1500 | 4 gang for 3000 ms |
            | 500    | 3000 | 4 gang for 3000 ms |
            | 1500   | 1500 | 4 gang for 3000 ms |
            | 1500   | 3000 | 4 gang for 3000 ms |
            | 2500   | 1500 | 4 gang for 3000 ms |
            | 2500   | 3000 | 4 gang for 3000 ms |

    # Guards against a start that is sent again, with a newer ticket, after the shard has changed its owner.
    Scenario Outline: Starts of "<steps>" find no free connection for <ms> ms, with <kind> advice, as the owner loses its peers
        Given a cell of 4 daemons and 6 workers whose tasks need <kind> advice
        When 8 jobs of steps "<steps>" are submitted
        And orders to 2 workers find no free connection for <ms> ms
        And the shard runs for 150 ms
        And 2 workers are reached by the owner only, which then reaches all but its peers
        And the store answers the owner "hang" for 3000 ms, and then "none"
        And the shard runs for 22000 ms
        Then no promise was broken
        And the shard has had another owner

        Examples:
            | kind | ms | steps |
            | valid | 400 | 3 long running |
            | no | 400 | 3 long running |
            | valid | 900 | 3 long running |
            | no | 900 | 3 long running |
            | valid | 1600 | 3 long running |
            | no | 1600 | 3 long running |
            | valid | 2800 | 3 long running |
            | no | 2800 | 3 long running |
            | valid | 4500 | 3 long running |
            | no | 4500 | 3 long running |
            | valid | 400 | 4 gang long running |
            | no | 400 | 4 gang long running |
            | valid | 900 | 4 gang long running |
            | no | 900 | 4 gang long running |
            | valid | 1600 | 4 gang long running |
            | no | 1600 | 4 gang long running |
            | valid | 2800 | 4 gang long running |
            | no | 2800 | 4 gang long running |
            | valid | 4500 | 4 gang long running |
            | no | 4500 | 4 gang long running |
            | valid | 400 | 4 gang for 3000 ms |
            | no | 400 | 4 gang for 3000 ms |
            | valid | 900 | 4 gang for 3000 ms |
            | no | 900 | 4 gang for 3000 ms |
            | valid | 1600 | 4 gang for 3000 ms |
            | no | 1600 | 4 gang for 3000 ms |
            | valid | 2800 | 4 gang for 3000 ms |
            | no | 2800 | 4 gang for 3000 ms |
            | valid | 4500 | 4 gang for 3000 ms |
            | no | 4500 | 4 gang for 3000 ms |

    # Guards against a refusal by the worker at a wrong address that is taken for proof that the runs of another one are over.
    Scenario Outline: The entry of a busy worker shows <what>, <when>
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 1200 ms
        And the entry of a busy worker shows "<what>"
        And the fault "<fault>" comes
        And the shard runs for 9000 ms
        Then no promise was broken

        Examples:
            | what                            | when                                       | fault                               |
            | the address of another          | without a change of owner                  | history lost                        |
            | the address of another          | as the owner loses its peers and the store | owner cut from its peers, the store |
            | an address where nobody listens | without a change of owner                  | history lost                        |
            | an address where nobody listens | as the owner loses its peers and the store | owner cut from its peers, the store |

    # Guards against leases that a successor renews once it has read the rows, although it was replaced while it read them.
    Scenario Outline: A successor that alone reaches <kept> workers reads rows at <rate> bytes per ms and is replaced meanwhile
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When 100 jobs of steps "1 of 0 cores long running" are submitted
        And the shard runs for 4000 ms
        And the owner is killed, and its successor alone reaches <kept> workers and else only the store, at <rate> bytes per ms
        And the store answers the successor no more once it has read the rows
        And the shard runs for 20000 ms
        Then no promise was broken

        Examples:
            | kept | rate |
            | 2    | 35   |
            | 2    | 40   |
            | 2    | 45   |
            | 3    | 40   |
            | 4    | 40   |
