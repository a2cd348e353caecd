Feature: Jobs from submission to answer

    Background:
        Given a cell

    Scenario Outline: A job of the class "<class>"
        When a job "j1" of the class "<class>" with 4 tasks of 500 ms is submitted
        Then the job "j1" ends within 10000 ms
        And the job "j1" has 4 tasks in the state "completed"
        And every task of "j1" has its own result
        And the stand-ins saw no promise broken

        Examples:
            | class       |
            | batch       |
            | interactive |
            | gang        |

    Scenario: A resend through another daemon gets the same answer
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        And the same job is submitted through every daemon
        Then every answer names the same home
        And the job "j1" ends within 10000 ms
        And the workers ran 4 attempts

    Scenario: An id that is taken by other contents is refused
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        And a job "j1" of the class "batch" with 5 tasks of 500 ms is submitted
        Then the last answer is "alreadyExists"

    Scenario Outline: What can never run is answered at once: <case>
        When a job is submitted with <case>
        Then the last answer is "<answer>"
        And the last answer names the field "<field>"

        Examples:
            | case                      | answer    | field     |
            | 5000 cpuMillis a task     | neverFits | taskSize  |
            | 9000 memoryMib a task     | neverFits | taskSize  |
            | 2 accelerators a task     | neverFits | taskSize  |
            | a gang of 100 whole cores | neverFits | tasks     |

    Scenario: A cancel ends waiting tasks at once and stops running ones
        When a job "j1" of the class "batch" with 40 tasks of 60000 ms is submitted
        And 1000 ms pass in the cell
        And the job "j1" is cancelled
        Then the job "j1" ends within 5000 ms
        And the job "j1" has 40 tasks in the state "cancelled"
        And the workers have nothing left to run

    Scenario: A failing task is tried again and then answered
        When a job "j1" of the class "batch" with 2 failing tasks is submitted
        Then the job "j1" ends within 10000 ms
        And the job "j1" has 2 tasks in the state "failed"
        And the workers ran 6 attempts

    Scenario: A service that cannot start is started again at growing intervals
        When a job "j1" of the class "interactive" with 1 failing tasks is submitted
        And 10000 ms pass in the cell
        Then the workers ran at most 9 attempts

    Scenario: A gang starts all of its tasks or none
        When a job "j1" of the class "batch" with 12 tasks of 2000 ms is submitted
        And 500 ms pass in the cell
        And a job "g1" of the class "gang" with 8 tasks of 500 ms is submitted
        Then the job "g1" ends within 20000 ms
        And the tasks of "g1" ran at the same time
        And the stand-ins saw no promise broken

    Scenario: A team's quota holds back the rest
        Given the team "rigging" may hold 2000 cpuMillis
        When a job "j1" of the class "batch" with 8 tasks of 500 ms is submitted
        Then the job "j1" ends within 20000 ms
        And at most 2 tasks of "j1" ran at the same time

    Scenario: A large result goes through the object store whole
        When a job "j1" of the class "batch" with 1 task of 20000 bytes is submitted
        Then the job "j1" ends within 10000 ms
        And the result of "j1/0" has at least 20000 bytes
