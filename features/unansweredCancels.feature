Feature: Reads and cancels that reach no owner of the shard

    Scenario: They are not answered as a job that was not accepted
        Given a cell of 4 daemons and 4 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 1000 ms
        And the fault "owner killed, store refuses" comes
        And the shard runs for 500 ms
        Then every daemon answers a read and a cancel of the job with "unavailable"

    # Guards against a job that runs to its end because its caller stopped asking before the shard had an owner again.
    Scenario Outline: A cancel that is sent once while there is no owner takes effect soon after there is one, <fault>
        Given a cell of 5 daemons and 6 workers
        When 10 jobs of steps "2 long running" are submitted
        And the shard runs for 1500 ms
        And the fault "owner killed, <fault>" comes
        And each job is cancelled once, 100 ms apart, through one daemon after another
        And the shard runs for <ms> ms
        And the fault goes
        Then a daemon owns the shard within 3000 ms
        And all jobs are "cancelled" within 1000 ms
        And the shard runs for 2000 ms
        And nothing runs
        And the log has pending cancels, all of which ended with "cancelled"

        Examples:
            | fault                | ms   |
            | store refuses        | 5000 |
            | store hangs          | 5000 |
            | store hangs          | 9000 |
            | store loses answers  | 5000 |
            | store answers late   | 5000 |
            | store slow           | 5000 |

    # Guards against an open route that fills a daemon's memory with cancels of jobs that nobody has submitted.
    Scenario: A daemon keeps a limited number of cancels, for a limited time
        Given a cell of 4 daemons and 4 workers
        When the fault "owner killed, store hangs" comes
        And one daemon gets cancels of 100 jobs that nobody has submitted
        And the shard runs for 40000 ms
        Then the log has 64 pending cancels that ended with "expired"
        And the log has 36 pending cancels that ended with "notKept"
