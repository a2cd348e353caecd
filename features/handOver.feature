Feature: Handing a shard over while orders and commits of its owner are under way

    # Guards against starts of both owners around a hand-over, also where the former one has the shard back within a lease.
    Scenario Outline: Over and back after <back> ms, <ms> ms into jobs of "<steps>", a cell <cell>
        Given a cell <cell>
        When 6 jobs of steps "<steps>" are submitted
        And the shard runs for 2500 ms
        And 2 workers are reached by the owner only, which then reaches everything
        And 6 jobs of steps "<steps>" are submitted
        And the shard runs for <ms> ms
        And the owner is told to stop, and its successor <back> ms later
        And the shard runs for 18000 ms
        Then no promise was broken

        Examples:
            | ms | back | cell | steps |
            | 0 | 800 | of 2 daemons and 6 workers | 3 long running |
            | 20 | 800 | of 2 daemons and 6 workers | 3 long running |
            | 40 | 800 | of 2 daemons and 6 workers | 3 long running |
            | 60 | 800 | of 2 daemons and 6 workers | 3 long running |
            | 0 | 2500 | of 2 daemons and 6 workers | 3 long running |
            | 20 | 2500 | of 2 daemons and 6 workers | 3 long running |
            | 40 | 2500 | of 2 daemons and 6 workers | 3 long running |
            | 60 | 2500 | of 2 daemons and 6 workers | 3 long running |
            | 0 | 800 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 20 | 800 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 40 | 800 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 60 | 800 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 0 | 2500 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 20 | 2500 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 40 | 2500 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 60 | 2500 | of 2 daemons and 6 workers | 3 for 1500 ms |
            | 0 | 800 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 20 | 800 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 40 | 800 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 60 | 800 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 0 | 2500 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 20 | 2500 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 40 | 2500 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 60 | 2500 | of 2 daemons and 6 workers | 4 gang for 3000 ms |
            | 0 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 20 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 40 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 60 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 0 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 20 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 40 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 60 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 long running |
            | 0 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 20 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 40 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 60 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 0 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 20 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 40 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 60 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 3 for 1500 ms |
            | 0 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 20 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 40 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 60 | 800 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 0 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 20 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 40 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |
            | 60 | 2500 | of 4 daemons and 6 workers whose tasks need no advice | 4 gang for 3000 ms |

    # Guards against leases that an owner renews which was stopped while it handed the shard over: its successor has begun at once.
    Scenario Outline: The owner's process is stopped <after> ms into the hand-over for <ms> ms, and handles <first> first
        Given a cell of 4 daemons and 6 workers
        When 10 jobs of steps "3 long running" are submitted
        And the shard runs for 3000 ms
        And 2 workers are reached by the owner only, which then reaches everything
        And the owner is told to stop, and <after> ms later its process is stopped for <ms> ms, after which it handles <first> first
        And the shard runs for 18000 ms
        Then no promise was broken

        Examples:
            | after | ms | first |
            | 1 | 1000 | timers |
            | 1 | 2000 | timers |
            | 1 | 3000 | timers |
            | 1 | 4000 | timers |
            | 1 | 5000 | timers |
            | 3 | 1000 | timers |
            | 3 | 2000 | timers |
            | 3 | 3000 | timers |
            | 3 | 4000 | timers |
            | 3 | 5000 | timers |
            | 1 | 1000 | answers |
            | 1 | 2000 | answers |
            | 1 | 3000 | answers |
            | 1 | 4000 | answers |
            | 1 | 5000 | answers |
            | 3 | 1000 | answers |
            | 3 | 2000 | answers |
            | 3 | 3000 | answers |
            | 3 | 4000 | answers |
            | 3 | 5000 | answers |

    # Guards against a look that is taken for proof although its worker has accepted a start that it does not list yet.
    Scenario Outline: Workers take up to <ms> ms to begin a run, while the owner hands over again and again, seed <seed>
        Given a cell of 4 daemons and 6 workers that check tickets and take up to <ms> ms to begin a run, seed <seed>
        When the owner is told to stop 12 times, 720 ms after each other, while jobs of steps "6, 6 after 0" arrive
        And the shard runs for 8000 ms
        Then no promise was broken

        Examples:
            | ms | seed |
            | 5  | 1    |
            | 5  | 2    |
            | 20 | 1    |
            | 20 | 2    |
            | 20 | 3    |
            | 20 | 4    |
            | 20 | 5    |
            | 20 | 6    |

    # Guards against starts that an owner sends, or has under way, as its successor claims: each has to be found, or proven gone.
    Scenario Outline: An owner that hands over under load of steps "<steps>", beside <cut> peers without the store, leaves no start open
        Given a cell of 4 daemons and 24 workers that answer a start after up to 100 ms
        When <cut> daemons other than the owner do not reach the store
        And the owner is told to stop as planned starts become durable, while jobs of steps "<steps>" arrive for 1200 ms more
        And the shard runs for 4000 ms
        Then the successor claimed the shard within <ms> ms, no start was sent after the stop, and none in the 50 ms before the claim
        And the successor found no start of its predecessor open
        And no promise was broken

        Examples:
            | steps            | cut | ms   |
            | 1 for 100 ms     | 0   | 150  |
            | 1 for 100 ms     | 2   | 1550 |
            | 12 for 100 ms    | 2   | 1550 |
            | 4 gang for 50 ms | 0   | 150  |
            | 4 gang for 50 ms | 2   | 1550 |

    # Guards against a start that waits for a connection and is sent after the stop, and against a claim before a slow commit of what was freed.
    Scenario: An owner with slow commits that hands over gives up starts that wait for a connection
        Given a cell of 4 daemons and 24 workers that answer a start after up to 100 ms
        When no worker has a free connection from 330 ms to 600 ms, and the owner reaches the store at 40 bytes per ms
        And the owner is told to stop as planned starts become durable, while jobs of steps "1 for 100 ms" arrive for 1200 ms more
        And the shard runs for 4000 ms
        Then the successor claimed the shard within 350 ms, no start was sent after the stop, and none in the 50 ms before the claim
        And the successor found no start of its predecessor open
        And no promise was broken

    # Guards against an owner that places no more tasks although no peer can take its shard.
    Scenario: An owner that nobody replaces goes on placing tasks
        Given a cell of 4 daemons and 24 workers that answer a start after up to 100 ms
        When 3 daemons other than the owner do not reach the store
        And the owner is told to stop as planned starts become durable, while jobs of steps "1" arrive for 4000 ms more
        Then the owner has placed tasks for 3000 ms after the stop
