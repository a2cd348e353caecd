Feature: The owner learns how fast workers are

    # Guards against speeds that are hidden by wrong estimates, or distorted by the few tasks that take 7 times as long.
    Scenario Outline: Slow workers are found although estimates deviate by <spread> and 3 tasks in 100 take 7 times as long
        When <count> workers, of which a quarter run at 0.55 and the others at 1.2, end 30 tasks each, with estimates off by <spread>, seed <seed>
        Then the speeds are spread, and each is within <within> of the worker's own relative to the others
        And estimates are known to be off by 1.3 within 0.15

        Examples:
            | count | spread | seed | within |
            | 246   | 0.2    | 1    | 0.35   |
            | 246   | 0.5    | 2    | 0.6    |
            | 12    | 0.3    | 3    | 0.45   |

    # Guards against a preference that follows noise: placement on equal workers must stay as it is.
    Scenario Outline: Equal workers are never seen as different with estimates off by <spread>, seed <seed>
        When <count> equal workers end 400 tasks each, with estimates off by <spread>, seed <seed>
        Then the speeds were spread after none of the ends

        Examples:
            | count | spread | seed |
            | 246   | 0.9    | 1    |
            | 33    | 0.2    | 2    |
            | 6     | 0.5    | 3    |
            | 4     | 0.9    | 4    |

    # Guards against a learned speed that outlives the reason for it.
    Scenario: A worker that turns slow is noticed within some ten ends
        Given 40 equal workers that have ended 60 tasks each, with estimates off by 0.3, seed 1
        When the first worker runs at 0.5 and ends 12 tasks
        Then its speed is below 0.75

    # Guards against memory that grows with each worker address and queue that has ever been seen.
    Scenario: Addresses and queues are bounded
        When 3000 addresses and 500 queues end a task each
        Then at most 2000 entries are kept, the newest among them

    # Guards against speeds learned from times that are not those of the run: an end that is listed twice, or read late because the
    # owner or its VM stood still or the worker was silent, a run that resumed, and one that a former owner started.
    Scenario Outline: <count> run times are learned where <what>
        Given an owner of one worker that learns run times
        When two runs of 1000 ms, the second 100 ms after the first, end while <what>
        Then <count> ends were learned, each within 100 ms of 1000 ms

        Examples:
            | what                                | count |
            | nothing is wrong                    | 2     |
            | their ends are listed repeatedly    | 1     |
            | the owner is suspended for 500 ms   | 0     |
            | the worker is silent for 600 ms     | 0     |
            | they started from a checkpoint      | 0     |
            | a former owner had started them     | 0     |

    # Guards against urgent tasks that miss their due time on a slow worker while fast ones are free, and against batches with slack
    # that take the fast workers.
    Scenario Outline: <kind> tasks go to the <choice> worker with free capacity
        Given a fast and a slow worker, known from 40 tasks each, beside 4 usual ones
        When a job of <kind> tasks is placed
        Then it runs on the <choice> worker

        Examples:
            | kind   | choice |
            | urgent | fast   |
            | batch  | slow   |

    # Guards against a change for deployments whose workers are equal.
    Scenario Outline: <kind> tasks go to the same workers with and without learning where workers are equal
        Given 6 workers, known as equal from 400 tasks each
        When a job of <kind> tasks is placed
        Then it runs where it would run without learning

        Examples:
            | kind   |
            | urgent |
            | batch  |

    # Guards against estimates that are taken at their word although the queue is known to exceed them, and against the opposite.
    Scenario Outline: A job of a queue that takes <factor> times its estimates counts as <standing>
        Given estimates of 800 ms of which the queue is known to take <factor>
        When a job is submitted that is due <due> ms later
        Then it counts as <standing>

        Examples:
            | factor | due   | standing |
            | 1      | 900   | onTime   |
            | 1.5    | 900   | late     |
            | 1.5    | 1400  | onTime   |
            | 0.5    | 790   | late     |

    # Guards against a loss of the benefit under load: with learning, more urgent jobs must be in time than without, and no batch may
    # be late for it.
    Scenario Outline: More urgent jobs are in time at <share> of the capacity where a quarter of the workers is slow, seed <seed>
        When urgent jobs and batches take <share> of 12 workers, a quarter of them slow, with and without learning, seed <seed>
        Then at least 95 percent of the urgent jobs are in time with learning, and 5 percent more than without
        And no fewer batches are in time with learning

        Examples:
            | share | seed |
            | 0.6   | 1    |
            | 0.85  | 2    |

    # Guards against an operator who cannot see why placement prefers some workers, and against a log line for each review.
    Scenario Outline: <lines> log lines show the speeds over 20 s of load where a quarter of the workers runs at <speed>
        When urgent jobs and batches take 0.6 of 12 workers for 20 s, a quarter of them at <speed>
        Then <lines> log lines show the speeds, the newest of them those of 12 workers

        Examples:
            | speed | lines |
            | 0.55  | 2     |
            | 1.2   | 0     |

    # Guards against an owner that takes all workers as equal again after each takeover, and a row that grows beyond what the store
    # takes.
    Scenario: The next owner knows the speeds before the first run has ended under it
        Given a cell of 12 workers, a quarter of them slow, whose owner has learned their speeds and stored them
        When the owner is killed
        Then the next owner restores 12 speeds, none of which is further than 0.3 from the worker's own relative to the others

    Scenario: The row of the most addresses and queues with long names is below 32 KiB and holds the newest ones
        When 3000 addresses and 500 queues with long names end a task each
        Then the row has less than 32768 bytes, and is read back with the newest of both

    # Guards against a takeover that fails, or a job that is lost, by a row that a defect or another program has written.
    Scenario Outline: A row that holds <value> is skipped and reported
        Given a cell of 12 workers, a quarter of them slow, whose owner has learned their speeds and stored them
        When the row holds <value> and the owner is killed
        Then the next owner reports the row as unreadable, restores no speeds, and completes a job

        Examples:
            | value                                           |
            | speeds                                          |
            | {"speeds":[]}                                   |
            | {"speeds":[["10.0.0.1:1",-1,0.1]],"biases":[]}  |
            | {"speeds":{},"biases":[["plans",1,1,-3]]}       |
