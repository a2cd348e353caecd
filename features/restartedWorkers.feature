Feature: Workers that start again under their IDs

    # Users saw tasks run a second time that had ended, and others that never ran though the workers had room. Their workers had
    # crashed and started again, under the IDs that they had, within a second: what such a worker ends is numbered from 1
    # again. The owner kept by the ID up to which number it had taken ends, and up to which they were durable. It passed the first
    # ends of the new life over; they stayed listed, so that their runs counted as live, and what waited for them stood. Once a
    # higher number was acknowledged, the worker forgot them all: their runs were then neither at work nor ended, taken for
    # gone and started again. The owner's lines showed it: no "runEnded" for 17 tasks of a step that had run to their ends, then
    # "runGone" for all 17 within 17 ms of the worker's 18th end, and no line about the crash but "workerSilent".
    Scenario Outline: What has ended on a worker that started again is not started again
        Given a cell of 3 daemons and 4 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 4 workers crash of themselves 1 times, 1500 ms apart
        And 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 20000 ms
        And no promise was broken

        Examples:
            | ms   |
            | 50   |
            | 600  |
            | 3300 |
            | 7000 |

    Scenario Outline: Accepted work goes on where a worker that started again ends less than it had ended before
        Given a cell of 3 daemons and 2 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 2 workers crash of themselves 1 times, 4000 ms apart
        And 1 jobs of steps "<steps>" are submitted
        Then all jobs are "completed" within 8000 ms
        And no promise was broken

        Examples:
            | ms   | steps        |
            | 50   | 1            |
            | 600  | 2, 1 after 0 |
            | 3300 | 2, 1 after 0 |
