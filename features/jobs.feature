Feature: Jobs from submission to answer

    Background:
        Given a cell

    Scenario Outline: A job of the class "<class>"
        When a job "j1" of the class "<class>" with 4 tasks of 500 ms is submitted
        Then the job "j1" ends within 10000 ms
        And the job "j1" has 4 tasks in the state "completed"
        And every task of "j1" has its own result
        And no execution guarantee was violated

        Examples:
            | class       |
            | batch       |
            | interactive |
            | gang        |

    Scenario: A job submitted again through another daemon gets the same answer
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        And the same job is submitted through every daemon
        Then every answer has the same home
        And the job "j1" ends within 10000 ms
        And the workers ran 4 attempts

    Scenario: A job whose id belongs to a job with another specification is refused
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        And a job "j1" of the class "batch" with 5 tasks of 500 ms is submitted
        Then the last answer is "alreadyExists"

    Scenario Outline: A job that no worker can ever run is refused at submission: <case>
        When a job is submitted with <case>
        Then the last answer is "<answer>"
        And the last answer names the field "<field>"

        Examples:
            | case                      | answer    | field     |
            | 5000 cpuMillis a task     | neverFits | taskSize  |
            | 9000 memoryMib a task     | neverFits | taskSize  |
            | 2 accelerators a task     | neverFits | taskSize  |
            | a gang of 100 whole cores | neverFits | tasks     |

    Scenario: Cancelling a job ends its waiting tasks and stops its running ones
        When a job "j1" of the class "batch" with 40 tasks of 60000 ms is submitted
        And 1000 ms pass in the cell
        And the job "j1" is cancelled
        Then the job "j1" ends within 5000 ms
        And the job "j1" has 40 tasks in the state "cancelled"
        And no task is still running on a worker

    Scenario: A failing task is retried and then reported as failed
        When a job "j1" of the class "batch" with 2 failing tasks is submitted
        Then the job "j1" ends within 10000 ms
        And the job "j1" has 2 tasks in the state "failed"
        And the workers ran 6 attempts

    Scenario: A service whose tasks keep failing is restarted at growing intervals
        When a job "j1" of the class "interactive" with 1 failing tasks is submitted
        And 10000 ms pass in the cell
        Then the workers ran at most 9 attempts

    Scenario: A gang starts all of its tasks or none
        When a job "j1" of the class "batch" with 12 tasks of 2000 ms is submitted
        And 500 ms pass in the cell
        And a job "g1" of the class "gang" with 8 tasks of 500 ms is submitted
        Then the job "g1" ends within 20000 ms
        And the tasks of "g1" ran at the same time
        And no execution guarantee was violated

    Scenario: A team's quota limits how many of its tasks run at once
        Given the team "rigging" has a quota of 2000 cpuMillis
        When a job "j1" of the class "batch" with 8 tasks of 500 ms is submitted
        Then the job "j1" ends within 20000 ms
        And at most 2 tasks of "j1" ran at the same time

    Scenario: A result in the object store is returned whole
        When a job "j1" of the class "batch" with 1 task of 20000 bytes is submitted
        Then the job "j1" ends within 10000 ms
        And the result of "j1/0" has at least 20000 bytes
