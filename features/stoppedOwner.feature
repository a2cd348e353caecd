Feature: An owner whose process is stopped and goes on

    # Guards against leases that an owner renews as it wakes, counted from that moment, which its successor has counted as over.
    Scenario Outline: Runs that last, <ms> ms, <first> first, reaches <reached>
        Given a cell of 4 daemons and 6 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And 2 workers are reached by the owner only, which then reaches <reached>
        And the owner's process is stopped for <ms> ms, after which it handles <first> first
        And the shard runs for 20000 ms
        Then no promise was broken

        Examples:
            | ms    | first   | reached           |
            | 1000  | timers  | everything        |
            | 2000  | timers  | everything        |
            | 3000  | timers  | everything        |
            | 4000  | timers  | everything        |
            | 5000  | timers  | everything        |
            | 7000  | timers  | everything        |
            | 9000  | timers  | everything        |
            | 11000 | timers  | everything        |
            | 1000  | answers | everything        |
            | 2000  | answers | everything        |
            | 3000  | answers | everything        |
            | 4000  | answers | everything        |
            | 5000  | answers | everything        |
            | 7000  | answers | everything        |
            | 9000  | answers | everything        |
            | 11000 | answers | everything        |
            | 1000  | timers  | the other workers |
            | 2000  | timers  | the other workers |
            | 3000  | timers  | the other workers |
            | 4000  | timers  | the other workers |
            | 5000  | timers  | the other workers |
            | 7000  | timers  | the other workers |
            | 9000  | timers  | the other workers |
            | 11000 | timers  | the other workers |
            | 1000  | answers | the other workers |
            | 2000  | answers | the other workers |
            | 3000  | answers | the other workers |
            | 4000  | answers | the other workers |
            | 5000  | answers | the other workers |
            | 7000  | answers | the other workers |
            | 9000  | answers | the other workers |
            | 11000 | answers | the other workers |
            | 1000  | timers  | nothing else      |
            | 1400  | timers  | nothing else      |
            | 1700  | timers  | nothing else      |
            | 2000  | timers  | nothing else      |
            | 3000  | timers  | nothing else      |
            | 4000  | timers  | nothing else      |
            | 5000  | timers  | nothing else      |
            | 7000  | timers  | nothing else      |
            | 9000  | timers  | nothing else      |
            | 11000 | timers  | nothing else      |
            | 1000  | answers | nothing else      |
            | 1400  | answers | nothing else      |
            | 1700  | answers | nothing else      |
            | 2000  | answers | nothing else      |
            | 3000  | answers | nothing else      |
            | 4000  | answers | nothing else      |
            | 5000  | answers | nothing else      |
            | 7000  | answers | nothing else      |
            | 9000  | answers | nothing else      |
            | 11000 | answers | nothing else      |

    # Guards against a start that was planned before the process was stopped, and is sent with a new deadline as it wakes.
    Scenario Outline: Starts that wait for <what>, <advice> advice, <ms> ms, <first> first, reaches <reached>
        Given a cell of 4 daemons and 6 workers whose tasks need <advice> advice
        When jobs of steps "60 long running of 0 cores" are planned, and the owner is stopped for <ms> ms <when>, which then reaches <reached> and handles <first> first
        And the shard runs for 24000 ms
        Then no promise was broken

        Examples:
            | what | when | advice | ms | first | reached |
            | their commit | before it reads that their commit is durable | no | 1000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 2000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 3000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 4000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 5000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 7000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 9000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 11000 | timers | everything |
            | their commit | before it reads that their commit is durable | no | 1000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 2000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 3000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 4000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 5000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 7000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 9000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 11000 | answers | everything |
            | their commit | before it reads that their commit is durable | no | 1000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 2000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 3000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 4000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 5000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 7000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 9000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 11000 | timers | nothing else |
            | their commit | before it reads that their commit is durable | no | 1000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 2000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 3000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 4000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 5000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 7000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 9000 | answers | nothing else |
            | their commit | before it reads that their commit is durable | no | 11000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 1000 | timers | everything |
            | their turn | between two turns of its queue | no | 2000 | timers | everything |
            | their turn | between two turns of its queue | no | 3000 | timers | everything |
            | their turn | between two turns of its queue | no | 4000 | timers | everything |
            | their turn | between two turns of its queue | no | 5000 | timers | everything |
            | their turn | between two turns of its queue | no | 7000 | timers | everything |
            | their turn | between two turns of its queue | no | 9000 | timers | everything |
            | their turn | between two turns of its queue | no | 11000 | timers | everything |
            | their turn | between two turns of its queue | no | 1000 | answers | everything |
            | their turn | between two turns of its queue | no | 2000 | answers | everything |
            | their turn | between two turns of its queue | no | 3000 | answers | everything |
            | their turn | between two turns of its queue | no | 4000 | answers | everything |
            | their turn | between two turns of its queue | no | 5000 | answers | everything |
            | their turn | between two turns of its queue | no | 7000 | answers | everything |
            | their turn | between two turns of its queue | no | 9000 | answers | everything |
            | their turn | between two turns of its queue | no | 11000 | answers | everything |
            | their turn | between two turns of its queue | no | 1000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 2000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 3000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 4000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 5000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 7000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 9000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 11000 | timers | nothing else |
            | their turn | between two turns of its queue | no | 1000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 2000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 3000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 4000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 5000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 7000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 9000 | answers | nothing else |
            | their turn | between two turns of its queue | no | 11000 | answers | nothing else |
            | their turn | between two turns of its queue | valid | 1000 | timers | everything |
            | their turn | between two turns of its queue | valid | 2000 | timers | everything |
            | their turn | between two turns of its queue | valid | 3000 | timers | everything |
            | their turn | between two turns of its queue | valid | 4000 | timers | everything |
            | their turn | between two turns of its queue | valid | 5000 | timers | everything |
            | their turn | between two turns of its queue | valid | 7000 | timers | everything |
            | their turn | between two turns of its queue | valid | 9000 | timers | everything |
            | their turn | between two turns of its queue | valid | 11000 | timers | everything |
            | their turn | between two turns of its queue | valid | 1000 | answers | everything |
            | their turn | between two turns of its queue | valid | 2000 | answers | everything |
            | their turn | between two turns of its queue | valid | 3000 | answers | everything |
            | their turn | between two turns of its queue | valid | 4000 | answers | everything |
            | their turn | between two turns of its queue | valid | 5000 | answers | everything |
            | their turn | between two turns of its queue | valid | 7000 | answers | everything |
            | their turn | between two turns of its queue | valid | 9000 | answers | everything |
            | their turn | between two turns of its queue | valid | 11000 | answers | everything |

    # Guards against orders that leave the process as it wakes: each has the deadline that it was given before the stop.
    Scenario Outline: Orders for <shape> that have not left the process, <ms> ms, <first> first, reaches <reached>
        Given a cell of 4 daemons and 6 workers whose tasks need no advice
        When jobs of steps "<shape>" are planned, and the owner is stopped for <ms> ms as their orders leave, which then reaches <reached> and handles <first> first
        And the shard runs for 24000 ms
        Then no promise was broken

        Examples:
            | shape | ms | first | reached |
            | 3 long running | 1000 | timers | everything |
            | 3 long running | 2000 | timers | everything |
            | 3 long running | 3000 | timers | everything |
            | 3 long running | 4000 | timers | everything |
            | 3 long running | 5000 | timers | everything |
            | 3 long running | 7000 | timers | everything |
            | 3 long running | 9000 | timers | everything |
            | 3 long running | 11000 | timers | everything |
            | 3 long running | 1000 | answers | everything |
            | 3 long running | 2000 | answers | everything |
            | 3 long running | 3000 | answers | everything |
            | 3 long running | 4000 | answers | everything |
            | 3 long running | 5000 | answers | everything |
            | 3 long running | 7000 | answers | everything |
            | 3 long running | 9000 | answers | everything |
            | 3 long running | 11000 | answers | everything |
            | 3 long running | 1000 | timers | nothing else |
            | 3 long running | 2000 | timers | nothing else |
            | 3 long running | 3000 | timers | nothing else |
            | 3 long running | 4000 | timers | nothing else |
            | 3 long running | 5000 | timers | nothing else |
            | 3 long running | 7000 | timers | nothing else |
            | 3 long running | 9000 | timers | nothing else |
            | 3 long running | 11000 | timers | nothing else |
            | 3 long running | 1000 | answers | nothing else |
            | 3 long running | 2000 | answers | nothing else |
            | 3 long running | 3000 | answers | nothing else |
            | 3 long running | 4000 | answers | nothing else |
            | 3 long running | 5000 | answers | nothing else |
            | 3 long running | 7000 | answers | nothing else |
            | 3 long running | 9000 | answers | nothing else |
            | 3 long running | 11000 | answers | nothing else |
            | 3 gang long running | 1000 | timers | everything |
            | 3 gang long running | 2000 | timers | everything |
            | 3 gang long running | 3000 | timers | everything |
            | 3 gang long running | 4000 | timers | everything |
            | 3 gang long running | 5000 | timers | everything |
            | 3 gang long running | 7000 | timers | everything |
            | 3 gang long running | 9000 | timers | everything |
            | 3 gang long running | 11000 | timers | everything |
            | 3 gang long running | 1000 | answers | everything |
            | 3 gang long running | 2000 | answers | everything |
            | 3 gang long running | 3000 | answers | everything |
            | 3 gang long running | 4000 | answers | everything |
            | 3 gang long running | 5000 | answers | everything |
            | 3 gang long running | 7000 | answers | everything |
            | 3 gang long running | 9000 | answers | everything |
            | 3 gang long running | 11000 | answers | everything |
            | 3 gang long running | 1000 | timers | nothing else |
            | 3 gang long running | 2000 | timers | nothing else |
            | 3 gang long running | 3000 | timers | nothing else |
            | 3 gang long running | 4000 | timers | nothing else |
            | 3 gang long running | 5000 | timers | nothing else |
            | 3 gang long running | 7000 | timers | nothing else |
            | 3 gang long running | 9000 | timers | nothing else |
            | 3 gang long running | 11000 | timers | nothing else |
            | 3 gang long running | 1000 | answers | nothing else |
            | 3 gang long running | 2000 | answers | nothing else |
            | 3 gang long running | 3000 | answers | nothing else |
            | 3 gang long running | 4000 | answers | nothing else |
            | 3 gang long running | 5000 | answers | nothing else |
            | 3 gang long running | 7000 | answers | nothing else |
            | 3 gang long running | 9000 | answers | nothing else |
            | 3 gang long running | 11000 | answers | nothing else |

    # Guards against an answer of the store that lay unread during a pause and counts from its reading, so that a replaced owner gives up late.
    Scenario: An answer that is read late proves the ownership only at the time of its call
        When the store answers a confirmation of ownership that the owner reads 900 ms after its call
        Then its ownership counts as proven for the first 10 ms only

    # Guards against leases that an owner renews for longer than its successor allows, as it reads answers of before a short stop on waking.
    Scenario Outline: Workers lost on waking, <ms> ms, <first> first
        Given a cell of 4 daemons and 6 workers whose tasks last about 6000 ms, seed 2
        When 6 jobs of steps "3 long running" are submitted
        And 1 jobs of steps "3" are submitted
        And the shard runs for 3000 ms
        And 2 workers are reached by the owner only, which loses the others as it wakes from a stop of <ms> ms, handling <first> first
        And the shard runs for 20000 ms
        Then no promise was broken

        Examples:
            | ms  | first   |
            | 300 | answers |
            | 500 | answers |
            | 700 | answers |
            | 900 | answers |
            | 500 | timers  |
            | 900 | timers  |

    # Guards against leases that an owner renews through a series of stops, each of them too short to count by itself.
    Scenario Outline: Stopped <times> times for <ms> ms, <apart> ms apart, <first> first, after <after> ms
        Given a cell of 4 daemons and 6 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for <after> ms
        And 2 workers are reached by the owner only, which then reaches nothing else
        And the owner's process is stopped <times> times for <ms> ms, <apart> ms apart, after which it handles <first> first
        And the shard runs for 18000 ms
        Then no promise was broken

        Examples:
            | after | times | ms  | apart | first   |
            | 3300  | 5     | 900 | 200   | answers |
            | 3300  | 6     | 900 | 20    | timers  |
            | 3000  | 5     | 900 | 200   | timers  |
            | 3300  | 7     | 700 | 20    | timers  |

    # Guards against leases that an owner renews once its VM has been suspended, a time that only the wall clock counts.
    Scenario Outline: VM suspended for <ms> ms, reaches <reached>
        Given a cell of 4 daemons and 6 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3300 ms
        And 2 workers are reached by the owner only, which then reaches <reached>
        And the VM of the former owner is suspended for <ms> ms
        And the shard runs for 24000 ms
        Then no promise was broken

        Examples:
            | ms   | reached           |
            | 2000 | nothing else      |
            | 3000 | nothing else      |
            | 4000 | nothing else      |
            | 5000 | nothing else      |
            | 3000 | the other workers |
            | 3000 | everything        |

    # Guards against leases that a daemon renews as it wakes from a stop between its claim and its first look, after another one's claim.
    Scenario Outline: A successor stopped <into> ms into its claim, <ms> ms, <first> first, reaches <reached>
        Given a cell of 4 daemons and 6 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And the owner is killed, and <into> ms into its claim the successor, which alone reaches 2 workers, is stopped for <ms> ms, then reaches <reached> and handles <first> first
        And the shard runs for 24000 ms
        Then no promise was broken

        Examples:
            | into | ms   | first   | reached      |
            | 2    | 2000 | answers | everything   |
            | 2    | 3000 | answers | everything   |
            | 2    | 4000 | answers | everything   |
            | 6    | 3000 | answers | everything   |
            | 6    | 4000 | answers | everything   |
            | 6    | 3000 | timers  | everything   |
            | 6    | 4000 | timers  | everything   |
            | 6    | 6000 | timers  | everything   |
            | 6    | 3000 | answers | nothing else |
            | 6    | 3000 | timers  | nothing else |
            | 12   | 3000 | answers | everything   |
            | 12   | 3000 | timers  | nothing else |
