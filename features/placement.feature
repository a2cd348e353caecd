Feature: Placement under load

    Scenario: A worker that fails every task is quarantined, and returns to service once it recovers
        Given a cell
        And the worker "leon-feria-w0" fails every task
        When 30 jobs of 2 tasks of 200 ms are submitted, one every 200 ms
        And 5000 ms pass in the cell
        Then at most 12 attempts were made on "leon-feria-w0"
        When every fault is cleared
        And 60000 ms pass in the cell
        And 30 jobs of 2 tasks of 200 ms are submitted, one every 200 ms
        Then the worker "leon-feria-w0" is live again
        And every task is final within 60000 ms

    Scenario: A single failing job quarantines no worker
        Given a cell
        When a job "j1" of the class "batch" with 20 failing tasks is submitted
        Then the job "j1" ends within 30000 ms
        When 5000 ms pass in the cell
        Then every worker is live

    Scenario: Urgent tasks start within 1.6 s on a full cell, and preempted tasks resume from their checkpoint
        Given a cell
        And the class "urgent" has priority 9
        And a job with 16 tasks of 30000 ms is submitted through "leon-feria-e0"
        And 2000 ms pass in the cell
        When a job "u1" of the class "urgent" with 2 tasks of 500 ms is submitted
        Then the job "u1" ends within 6000 ms
        And the tasks of "u1" waited at most 1600 ms
        And every task is final within 90000 ms
        And no task ran for more than 31000 ms in all

    Scenario: A stream of small tasks does not starve a large task
        Given a cell
        When small tasks fill the cell for 40000 ms and a task that needs a whole worker is submitted
        Then the task that needs a whole worker waited at most 20000 ms

    Scenario: A team with a long queue does not delay another team
        Given a cell
        And a job with 200 tasks of 1000 ms is submitted for the team "rigging"
        And 2000 ms pass in the cell
        When a job with 8 tasks of 1000 ms is submitted for the team "barriers"
        Then the job of the team "barriers" ends within 8000 ms

    Scenario Outline: Tasks that use <share> times their declared resources
        Given a cell
        When a job with 16 tasks of 10000 ms that use <share> of their size is submitted
        And 8000 ms pass in the cell
        Then the remedy "<remedy>" was applied at least <times> times
        And no execution guarantee was violated

        Examples:
            | share | remedy   | times |
            | 1.5   | throttle | 1     |
            | 0.5   | none     | 0     |

    Scenario: 10000 cancellations at once take few journal writes
        Given a cell
        When 10000 jobs wait for capacity
        And all waiting jobs are cancelled at once
        Then the cancellations took at most 60 journal writes
        And all waiting jobs are cancelled and none of their tasks ran

    Scenario: Snapshots truncate a home's journal, and its jobs survive the loss of the home daemon
        Given a cell whose homes take a snapshot every 3 batches
        When 30 jobs of 2 tasks of 200 ms are submitted, one every 200 ms
        And 10000 ms pass in the cell
        Then the journal of "leon-feria-e0~1" has at most 8 rows
        When the home daemon is killed
        And 10000 ms pass in the cell
        Then every task is final within 20000 ms
        And the workers ran 60 attempts

    Scenario: Ended jobs are deleted after their retention time
        Given a cell whose homes delete ended jobs after 5000 ms
        When 30 jobs of 2 tasks of 200 ms are submitted, one every 200 ms
        And 10000 ms pass in the cell
        And 30 jobs of 2 tasks of 200 ms are submitted, one every 200 ms
        And 10000 ms pass in the cell
        Then the table holds fewer than 60 jobs
