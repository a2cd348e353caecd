Feature: Starts that a worker does not answer and carries out seconds later

    # Guards against running a task again after its end was acknowledged: a look proves that one incarnation of the worker
    # refuses the order, the task ends elsewhere, and the next incarnation carries the order out before a look reaches it.
    Scenario Outline: A start is carried out by an incarnation that no look has reached, <name>
        Given the start of a job of steps "<steps>" is sent to a worker that carries orders out late for <late> ms
        And that worker crashes after "<crashes>" ms, for <down> ms each time
        And the fault "<fault>" comes after <from> ms, for <for> ms
        When this is simulated with 10 seeds
        Then every simulation ends without a violation

        Examples:
            | name                                   | steps        | late | crashes    | down | fault                                | from | for  |
            | all daemons down                       | 2            | 2500 | 1962       | 600  | all killed                           | 2200 | 1000 |
            | all daemons down, soon back            | 2            | 2500 | 2212       | 50   | all killed                           | 1960 | 1500 |
            | all links cut                          | 4            | 2460 | 2715       | 50   | all workers cut                      | 2465 | 1500 |
            | all links cut after the second start   | 2, 2 after 0 | 700  | 959        | 50   | all workers cut                      | 709  | 3500 |
            | a new owner, 5 ms after it began       | 2            | 2600 | 2395       | 600  | owner killed                         | 100  | 4000 |
            | a new owner, 1 ms after it began       | 2            | 2600 | 2399       | 600  | owner killed                         | 100  | 4000 |
            | a new owner, 10 ms after it began | 2 | 700 | 2396 | 600 | owner cut from its peers, the store | 464 | 4000 |
            | a new owner, after copies of the start | 2 | 700 | 3043 | 600 | owner cut from its peers, the store | 464 | 4000 |

    # The run was released because of a look from before the cut, while the incarnation behind the cut had completed the
    # task.
    Scenario Outline: A start is carried out by a worker that stays cut off until no order can arrive any more, for <for> ms
        Given the start of a job of steps "2" is sent to a worker that carries orders out late for 2460 ms
        And that worker crashes after "2715" ms, for 50 ms each time
        And the fault "owner cut from the workers" comes after <from> ms, for <for> ms
        And 14 jobs of steps "2" follow, 170 ms apart
        When this is simulated with 5 seeds
        Then every simulation ends without a violation

        Examples:
            | from | for  |
            | 2605 | 3900 |
            | 2615 | 4250 |
            | 2650 | 4675 |
            | 2605 | 5100 |

    # A start is sent once, because a second copy of the order was carried out after the first one had ended.
    Scenario Outline: The worker crashes after it carried out a start late, <name>
        Given the start of a job of steps "<steps>" is sent to a worker that carries orders out late for <late> ms
        And that worker crashes after "<crashes>" ms, for <down> ms each time
        When this is simulated with 10 seeds
        Then every simulation ends without a violation

        Examples:
            | name                                 | steps      | late | crashes    | down |
            | and orders are late still            | 2          | 6600 | 4117       | 600  |
            | and orders are late no more          | 2          | 1300 | 3500       | 50   |
            | by its task, away for long           | 1 crashing | 6600 |            | 600  |
            | by its task and twice more, for short | 1 crashing | 6600 | 3250, 3500 | 50   |

    # A second start elsewhere is safe only once no incarnation can carry the first one out.
    Scenario: A task whose start got no answer is started again only once that start can no longer arrive
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        When this is simulated with 10 seeds
        Then every simulation ends without a violation
        And the task first runs after 6500 to 7500 ms

    # No other incarnation accepts the ticket, so a look that does not list the run settles the start.
    Scenario: A task whose start got no answer is started again immediately if tickets are valid for one incarnation
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        And workers refuse tickets of other incarnations
        When this is simulated with 10 seeds
        Then every simulation ends without a violation
        And the task first runs after 150 to 400 ms

    # Each further lost start would delay one more task until that start can no longer arrive.
    Scenario: A worker that left a start unanswered gets no other start before it answers an order
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 4000 ms
        And 20 jobs of steps "2" follow, 100 ms apart
        When this is simulated with 10 seeds
        Then every simulation ends without a violation
        And every other start got an answer

    # If the room stays reserved on an incarnation that refuses the start, late orders leave a third of a cell idle for 6 s.
    Scenario: The room of a start that got no answer is available to other tasks while its worker refuses that start
        Given a cell of 3 daemons and 1 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1 of 4 cores" are submitted
        And its start gets no answer
        And 1 jobs of steps "1 long running of 4 cores" are submitted
        Then a task is started within 1000 ms
        When 1 jobs of steps "1 of 4 cores" are submitted
        Then a task is started within 1000 ms
        And no promise was broken

    # The next incarnation may receive every order that has no answer yet.
    Scenario: Two late starts without an answer do not exceed the capacity of an incarnation
        Given a cell of 3 daemons and 1 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1 of 4 cores" are submitted
        And its start gets no answer
        And the shard runs for 400 ms
        And 1 jobs of steps "1 of 8 cores" are submitted
        And orders to that worker are late for 2300 ms, and then it crashes and is cut off for 1500 ms
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

    # Guards against two waits in a row: once its start was released, the task also waited for workers at rest, 8.5 s in
    # all.
    Scenario: A task whose start got no answer does not also wait for workers at rest
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        And 40 jobs of steps "1 failing" follow, 160 ms apart
        When this is simulated with 5 seeds
        Then every simulation ends without a violation
        And the task first runs after 6500 to 7500 ms
