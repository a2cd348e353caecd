Feature: Rests of workers are bounded

    # Callers saw a task with attempts left stand for over 4 s, again and again, beside two workers that were free and that the
    # advisor allowed it. Tasks of other jobs failed there by their own fault, three in a row and of two jobs: both workers
    # rested for 4 s, and each later end of a run that had been started before the rest renewed it. The cause: the rest was as
    # long as a disruption of workers, longer than a task may stand, and had no bound where it was renewed.
    Scenario Outline: A task does not stand for 3 s since its workers rest, with calls to the advisor of <call> ms, seed <seed>
        Given a cell of 3 daemons and 5 workers where every run fails, with calls to the advisor of <call> ms that allow 2, seed <seed>
        When 4 jobs of steps "2 for 300 ms" are submitted
        Then no task stands for 3000 ms with room for it, for 15000 ms
        And workers have rested 3 times at least

        Examples:
            | call | seed |
            | 20   | 1    |
            | 20   | 2    |
            | 20   | 3    |
            | 500  | 1    |
            | 500  | 2    |
            | 500  | 3    |

    # Jobs that fail by themselves took the room for a moment, one after the other, and each time its wait began anew: it stood for up to 20 s.
    Scenario: A task goes on with its wait for a worker at rest where others take the room for a moment
        Given a cell of 3 daemons and 1 workers
        When 6 jobs of steps "1 failing" are submitted, 300 ms apart, a job of steps "1 of 8 cores" and 20 more such jobs, 1500 ms apart
        Then the job of steps "1 of 8 cores" is at work within 5000 ms
        And workers have rested 1 times at least

    # The rest after a refused start is short, and took the place of a longer one that had begun while the order was under way.
    Scenario: A refused start does not end a longer rest
        Given a worker whose runs of 2 jobs fail while it is sent a start that it refuses after 300 ms
        When the worker's looks have shown the failures, and the start is refused
        Then the worker takes no work for 2000 ms from the failures on
