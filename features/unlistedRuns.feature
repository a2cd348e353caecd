Feature: Runs that a look does not list

    # Guards against a run that is taken for ended, and started elsewhere, while its worker is still stopping it.
    Scenario Outline: Runs on draining workers are stopped but listed no more, with <workers> of them, seed <seed>
        Given a cell of 3 daemons and 6 workers that hide runs that are being stopped, seed <seed>
        When 4 jobs of steps "3 long running" are submitted
        And the shard runs for 2000 ms
        And 6 jobs of steps "3" are submitted
        And the shard runs for 100 ms
        And <workers> workers with tasks drain
        And the shard runs for 4000 ms
        Then runs were stopped on a draining worker
        And no promise was broken

        Examples:
            | workers | seed |
            | 1       | 1    |
            | 3       | 2    |

    # Guards against room that is given away, and a run that is started elsewhere, before its end.
    Scenario Outline: Runs are stopped for more urgent ones but listed no more, seed <seed>
        Given a cell of 3 daemons and 4 workers that hide runs that are being stopped, with less urgent jobs, seed <seed>
        When 3 less urgent jobs of steps "8 checkpointing for 6000 ms" are submitted
        And 4 jobs of steps "8 for 700 ms" are submitted
        And the shard runs for 1000 ms
        And 4 jobs of steps "16 for 500 ms" are submitted
        And the shard runs for 6000 ms
        Then runs were stopped for more urgent ones
        And no promise was broken

        Examples:
            | seed |
            | 1    |
            | 2    |

    # Guards against a successor that takes a run for ended which its predecessor has stopped.
    Scenario Outline: Runs are being stopped but listed no more as the fault "<fault>" comes <ms> ms into a drain
        Given a cell of 4 daemons and 6 workers that hide runs that are being stopped, seed 1
        When 4 jobs of steps "3 long running" are submitted
        And the shard runs for 2000 ms
        And 6 jobs of steps "3" are submitted
        And the shard runs for 100 ms
        And 3 workers with tasks drain
        And the shard runs for <ms> ms
        And the fault "<fault>" comes
        And the shard runs for 8000 ms
        Then runs were stopped on a draining worker
        And no promise was broken

        Examples:
            | fault        | ms  |
            | owner stops  | 40  |
            | owner stops  | 200 |
            | owner killed | 40  |
            | owner killed | 200 |

    # Guards against looks and refusals that are taken for proof although a worker has accepted a start that it begins later.
    Scenario Outline: Owners hand over again and again among workers that <kind>, seed <seed>
        Given a cell of 4 daemons and 6 workers that <kind>, seed <seed>
        When one call in 4 takes up to 150 ms to its worker
        And the owner is told to stop 6 times, 720 ms after each other, while jobs of steps "6, 3 long running" arrive
        And the shard runs for 8000 ms
        Then no promise was broken

        Examples:
            | kind                                                | seed |
            | check starts once and begin runs up to 100 ms later | 1    |
            | check starts once and begin runs up to 100 ms later | 4    |

        # Here the refusal stops a run that has begun since the look.
        Examples:
            | kind                                                               | seed |
            | hide runs that are being stopped and begin others up to 20 ms late | 1    |
            | hide runs that are being stopped and begin others up to 20 ms late | 4    |

    # Guards against one owner that takes such a look or refusal for proof where a start was not answered in time.
    Scenario Outline: Starts are not answered in time by workers that <kind>, seed <seed>
        Given a cell of 4 daemons and 6 workers that <kind>, seed <seed>
        When one call in 4 takes up to 150 ms to its worker
        And 20 jobs of steps "6" are submitted
        And the shard runs for 8000 ms
        Then no promise was broken

        Examples:
            | kind                                                | seed |
            | check starts once and begin runs up to 100 ms later | 1    |
            | check starts once and begin runs up to 100 ms later | 2    |

        Examples:
            | kind                                                               | seed |
            | hide runs that are being stopped and begin others up to 20 ms late | 1    |
            | hide runs that are being stopped and begin others up to 20 ms late | 2    |

    # Guards against a single look without a run whose start was answered, which is no proof that the run has ended.
    Scenario: A look between others lists a run that was started neither as running nor as ended
        When a run that was started is missing in the first look after that only
        Then its owner holds it all the time
