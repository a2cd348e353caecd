Feature: The members of a gang start together or not at all

    # Guards against members of a gang that wait in the sender's queue while others of the gang have left it.
    Scenario Outline: The members of a gang start within 100 ms of each other while answers to starts take up to <answerMs> ms
        Given a cell of 3 daemons and 60 workers that answer starts within <answerMs> ms
        When 2 gangs of 12 tasks and 3 jobs of 30 tasks are submitted every 250 ms for 4000 ms
        Then no gang had members more than 100 ms apart
        And no run ended alone
        And no promise was broken

        Examples:
            | answerMs |
            | 20       |
            | 140      |

    # Guards against the same with an owner that is busy.
    Scenario: The members of a gang start together although each start costs the owner time
        Given a cell of 3 daemons and 60 workers that answer starts within 100 ms, where each start costs a daemon 1 ms
        When 2 gangs of 12 tasks and 3 jobs of 30 tasks are submitted every 250 ms for 4000 ms
        Then no gang had members more than 250 ms apart
        And no run ended alone
        And no promise was broken

    # Guards against a new owner that leaves the rest of a gang to wait for members that were never started.
    Scenario Outline: A new owner stops a gang of which a member did not start, where the former owner was lost <ms> ms after it was placed
        Given a cell of 3 daemons and 6 workers on which gangs run together
        When a gang of 6 tasks, one to a worker, is placed
        And 1 of its workers are deaf
        And the shard runs for <ms> ms
        And the fault "owner killed" comes
        And the shard runs for 8000 ms
        Then no run ended alone
        And no promise was broken

        Examples:
            | ms  |
            | 10  |
            | 60  |
            | 300 |

    # Guards against the rest of a gang that waits for a member whose worker gives no answer.
    Scenario Outline: A gang is stopped before its members end alone where <count> of its workers are <fault> as it starts
        Given a cell of 3 daemons and 6 workers on which gangs run together
        When a gang of 6 tasks, one to a worker, is placed
        And <count> of its workers are <fault>
        And the shard runs for 8000 ms
        Then no run ended alone
        And no promise was broken

        Examples:
            | count | fault |
            | 1     | cut   |
            | 3     | cut   |
            | 1     | deaf  |
            | 1     | late  |

    # Guards against stops that leave no time for the owner's own lateness and for the worker to carry them out.
    Scenario Outline: A gang with a member that never starts is stopped before the others end alone, by an owner that is <lateMs> ms late
        When an owner that is <lateMs> ms late watches a gang of which one member never starts
        Then the worker has stopped the other member before it ends alone

        Examples:
            | lateMs |
            | 0      |
            | 500    |

    # Guards against a gang of which each lost member stops, counts and logs all others again, on an owner that is busy as it is.
    Scenario: A gang that loses several members is stopped once
        When 3 members of a gang of 8 are lost one after the other, and then another review comes
        Then each of the other 7 was stopped once, as one gang

    # Guards against a gang that is stopped and started again without end, since sending all of its starts takes longer than one may be unanswered.
    Scenario Outline: A gang of <tasks> tasks is completed, on an idle owner to which each start costs <startMs> ms
        Given a cell of 1 daemons and 60 workers that answer starts within 20 ms, where each start costs a daemon <startMs> ms
        When 1 gangs of <tasks> tasks and 0 jobs of 1 tasks are submitted every 1000 ms for 1000 ms
        And the shard runs for 8000 ms
        Then at least 100 percent of the newest jobs were completed within 3000 ms
        And no run ended alone
        And no promise was broken

        Examples:
            | tasks | startMs |
            | 60    | 2       |
            | 60    | 3       |
            | 128   | 1.5     |
