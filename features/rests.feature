Feature: Rests of workers are bounded

    # Guards against a task that waits for over 4 s beside free workers on which the advisor allows it. A worker rests for 4 s after
    # three failures in a row of at least two jobs, also when the tasks themselves are at fault. That is longer than a task may
    # wait, and each later failure of a run that had been started before the rest renewed it without bound.
    Scenario Outline: A task does not stall for 3 s because its workers rest, with calls to the advisor of <call> ms, seed <seed>
        Given a cell of 3 daemons and 5 workers where every run fails, with calls to the advisor of <call> ms that allow 2, seed <seed>
        When 4 jobs of steps "2 for 300 ms" are submitted
        Then no task stalls for 3000 ms beside free room, over 15000 ms
        And workers have rested at least 3 times

        Examples:
            | call | seed |
            | 20   | 1    |
            | 20   | 2    |
            | 20   | 3    |
            | 500  | 1    |
            | 500  | 2    |
            | 500  | 3    |

    # Guards against a task that waits for up to 20 s for a resting worker: jobs that always fail took the room for a moment, one
    # after the other, and each time the wait of the task was counted from the beginning.
    Scenario: A task's wait for a resting worker is not reset when others take the room for a moment
        Given a cell of 3 daemons and 1 workers
        When 6 jobs of steps "1 failing" are submitted, 300 ms apart, a job of steps "1 of 8 cores" and 20 more such jobs, 1500 ms apart
        Then the job of steps "1 of 8 cores" is at work within 5000 ms
        And workers have rested at least 1 times

    # The rest after a refused start is short. It replaced a longer rest that had begun while the start order was in flight.
    Scenario: A refused start does not end a longer rest
        Given a worker whose runs of 2 jobs fail while it is sent a start that it refuses after 300 ms
        When the worker's looks have shown the failures, and the start is refused
        Then the worker takes no work for 2000 ms from the failures on
