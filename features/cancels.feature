Feature: Answers about jobs that an owner does not know

    # Guards against a job that runs on after its cancel was answered with "no such job".
    Scenario Outline: A replaced owner that has not noticed it does not answer that a job of its successor is unknown, to a <call>
        Given a cell of 4 daemons and 4 workers
        When the fault "owner cut from its peers, the store, workers" comes
        And the next owner has accepted a job, and the former one is sent a <call> of it
        Then no answer within 3000 ms says that the job is unknown

        Examples:
            | call   |
            | cancel |
            | read   |

    Scenario Outline: A <call> of an unknown job is answered soon by an owner whose store answers
        Given a cell of 3 daemons and 4 workers
        When the owner is sent a <call> of an unknown job
        Then it answers within 20 ms that the job is unknown

        Examples:
            | call   |
            | cancel |
            | read   |

    Scenario: A read of an unknown job is refused with a time to try again while the store does not answer
        Given a cell of 3 daemons and 4 workers
        When the fault "store hangs" comes
        And the owner is sent a read of an unknown job
        Then it refuses within 1000 ms, with a time to try again

    # Guards against a job that starts after its cancel was answered, since the cancel arrived before the submission.
    Scenario Outline: A job that is submitted after its cancel was answered never starts, <when>
        Given a cell of 3 daemons and 4 workers
        When a job that was not submitted is cancelled
        And the fault "<fault>" comes
        And the shard runs for <ms> ms
        And that job is submitted
        Then it is accepted within 6000 ms, never starts, and is shown as cancelled

        Examples:
            | when                 | fault        | ms   |
            | by the same owner    | history lost | 100  |
            | under the next owner | owner killed | 3000 |
            | by the next owner    | owner killed | 0    |

    Scenario: A job is not known before its submission, although it was cancelled
        Given a cell of 3 daemons and 4 workers
        When a job that was not submitted is cancelled
        And the owner is sent a read of that job
        Then it answers within 20 ms that the job is unknown

    Scenario: A caller of another organisation cannot cancel a job before its submission
        Given a cell of 3 daemons and 4 workers
        When a job of "north" that was not submitted is cancelled by a caller of "south"
        And that job is submitted
        Then it is accepted within 1000 ms, and its tasks run

    Scenario: A job that was cancelled while the store did not answer is cancelled once the store is back
        Given a cell of 3 daemons and 4 workers
        When the fault "store hangs" comes
        And 2 jobs are submitted, and the second is cancelled 50 ms later
        And the shard runs for 2000 ms
        And the fault goes
        Then the cancel is answered within 2500 ms, and the job never starts

    Scenario: Cancels of unknown jobs above a limited rate are refused with a time to try again
        Given a cell of 3 daemons and 4 workers
        When 200 jobs that were not submitted are cancelled at once
        Then at least 50 cancels are answered within 200 ms, and the others are refused with a time to try again

    # Guards against a cancel that is answered before it is durable, and lost with its owner.
    Scenario: A cancel of a job that was cancelled before its submission is answered only once that is durable
        Given a cell of 3 daemons and 4 workers
        When the fault "store hangs" comes
        And a job that was not submitted is cancelled, submitted and cancelled again
        Then no cancel is answered within 400 ms

    # Guards against an owner that spends its processor time on the cancels that late callers repeat.
    Scenario: A cancel that is repeated after it took effect causes no commit
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 1000 ms
        And the owner is sent 1 cancels of that job, 10 ms apart
        And the shard runs for 1000 ms
        And the owner is sent 20 cancels of that job, 10 ms apart
        Then 21 cancels were answered within 100 ms, and the last 20 caused no commit
        And the owner has cancelled the job once

    # Guards against a copy of a cancel that is answered before the cancel is durable.
    Scenario: Copies of a cancel are answered once the first one is durable
        Given a cell of 3 daemons and 4 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 1000 ms
        And the fault "store hangs" comes
        And the owner is sent 5 cancels of that job, 20 ms apart
        Then no cancel is answered within 100 ms
        When the fault goes
        Then 5 cancels were answered within 1000 ms
        And the owner has cancelled the job once
