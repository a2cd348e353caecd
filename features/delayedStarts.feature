Feature: Starts that a worker leaves unanswered and carries out seconds later

    # Tasks ran again after their ends had been acknowledged: a look had proved that one incarnation of the worker refuses the order, the
    # task ended elsewhere, and the next incarnation carried the order out before it was looked at.
    Scenario Outline: A start is carried out by an incarnation that no look has reached, <name>
        Given the start of a job of steps "<steps>" is sent to a worker that carries orders out late for <late> ms
        And that worker crashes after "<crashes>" ms, for <down> ms each time
        And "<fault>" comes after <from> ms, for <for> ms
        When it is played with 10 seeds
        Then nothing goes wrong in any of them

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

    # The run was let go of by a look from before the cut, while the incarnation behind the cut had done the task.
    Scenario Outline: A start is carried out behind a cut that lasts until no order can come any more, for <for> ms
        Given the start of a job of steps "2" is sent to a worker that carries orders out late for 2460 ms
        And that worker crashes after "2715" ms, for 50 ms each time
        And "owner cut from the workers" comes after <from> ms, for <for> ms
        And 14 jobs of steps "2" follow, 170 ms apart
        When it is played with 5 seeds
        Then nothing goes wrong in any of them

        Examples:
            | from | for  |
            | 2605 | 3900 |
            | 2615 | 4250 |
            | 2650 | 4675 |
            | 2605 | 5100 |

    # A second copy of one order was carried out once the first had ended: a start is sent once.
    Scenario Outline: The worker crashes after a start was carried out late, <name>
        Given the start of a job of steps "<steps>" is sent to a worker that carries orders out late for <late> ms
        And that worker crashes after "<crashes>" ms, for <down> ms each time
        When it is played with 10 seeds
        Then nothing goes wrong in any of them

        Examples:
            | name                                 | steps      | late | crashes    | down |
            | and orders are late still            | 2          | 6600 | 4117       | 600  |
            | and orders are late no more          | 2          | 1300 | 3500       | 50   |
            | by its task, away for long           | 1 crashing | 6600 |            | 600  |
            | by its task and twice more, for short | 1 crashing | 6600 | 3250, 3500 | 50   |

    # A second start elsewhere is safe only once no incarnation can carry the first one out.
    Scenario: A task whose start got no answer is started again once it cannot come any more, and not before
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        When it is played with 10 seeds
        Then nothing goes wrong in any of them
        And the task is first at work after 6500 to 7500 ms

    # No other incarnation takes the ticket, so that a look that does not list the run settles it.
    Scenario: A task whose start got no answer is started again at once where tickets hold for one incarnation
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        And workers refuse tickets of other incarnations
        When it is played with 10 seeds
        Then nothing goes wrong in any of them
        And the task is first at work after 150 to 400 ms

    # Each further start that it loses holds up one more task until it cannot come any more.
    Scenario: A worker that left a start unanswered gets no other before it answers an order
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 4000 ms
        And 20 jobs of steps "2" follow, 100 ms apart
        When it is played with 10 seeds
        Then nothing goes wrong in any of them
        And no other start got no answer

    # Its room was kept on an incarnation that refuses it: beside late orders a third of a cell idled for 6 s.
    Scenario: The room of a start that got no answer serves others while its worker refuses that start
        Given a cell of 3 daemons and 1 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1 of 4 cores" are submitted
        And its start gets no answer
        And 1 jobs of steps "1 long running of 4 cores" are submitted
        Then a task is started within 1000 ms
        When 1 jobs of steps "1 of 4 cores" are submitted
        Then a task is started within 1000 ms
        And no promise was broken

    # The next incarnation may be given whatever has no answer yet.
    Scenario: Two starts that got no answer, late one after the other, bring no incarnation over its capacity
        Given a cell of 3 daemons and 1 workers that start again under their IDs 50 ms after a crash
        When 1 jobs of steps "1 of 4 cores" are submitted
        And its start gets no answer
        And the shard runs for 400 ms
        And 1 jobs of steps "1 of 8 cores" are submitted
        And orders to that worker are late until it crashes after 2300 ms behind a cut of 1500 ms
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

    # It waited for workers at rest from the moment on at which its start was let go of, and stood for 8.5 s.
    Scenario: A task whose start got no answer waits for no worker at rest as well
        Given the start of a job of steps "1" is sent to a worker that carries orders out late for 200 ms
        And 40 jobs of steps "1 failing" follow, 160 ms apart
        When it is played with 5 seeds
        Then nothing goes wrong in any of them
        And the task is first at work after 6500 to 7500 ms
