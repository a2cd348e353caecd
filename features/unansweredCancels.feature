Feature: Reads and cancels that reach no owner of the shard

    Scenario: They are not answered as a job that was not accepted
        Given a cell of 4 daemons and 4 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 1000 ms
        And the fault "owner killed, store refuses" comes
        And the shard runs for 500 ms
        Then every daemon answers a read and a cancel of the job with "unavailable"
