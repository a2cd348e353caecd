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
