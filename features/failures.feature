Feature: Failures and the results that callers get

    Scenario Outline: <fault> while tasks <phase>
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that <phase>
        When <fault>
        And 8000 ms pass in the cell
        And every fault is cleared
        Then every task is final within 60000 ms
        And no execution guarantee was violated
        And the tasks of re-runnable jobs are all "completed"

        Examples:
            | phase          | fault                                                       |
            | are submitted  | the home daemon is killed                                   |
            | run            | the home daemon is killed                                   |
            | end            | the home daemon is killed                                   |
            | run            | the home daemon is killed and started again on its VM       |
            | are submitted  | the home daemon is paused                                   |
            | run            | the home daemon is paused                                   |
            | run            | another daemon is killed                                    |
            | run            | another daemon is paused                                    |
            | run            | two daemons of one data centre are killed                   |
            | are submitted  | the platform is out                                         |
            | run            | the platform is out                                         |
            | end            | the platform is out                                         |
            | are submitted  | the platform loses every second reply                       |
            | run            | the platform answers late                                   |
            | run            | the data centres are cut off from each other                |
            | run            | a data centre is cut off from the platform                  |
            | run            | the home daemon is cut off from the platform                |
            | run            | the home daemon is cut off from its peers                   |
            | run            | a worker is lost                                            |
            | are submitted  | a worker is lost                                            |
            | run            | a worker is unreachable                                     |
            | are submitted  | workers lose the replies to starts                          |
            | are submitted  | a worker fails everything                                   |
            | run            | the home daemon is stopped gracefully                       |
            | are submitted  | the home daemon is stopped gracefully                       |
            | run            | another daemon is stopped gracefully                        |
            | run            | the home daemon is paused and the platform is out           |
            | are submitted  | the home daemon is killed and the platform is out           |
            | run            | the home daemon is killed and another daemon is paused      |
            | run            | a worker is lost and the home daemon is killed              |
            | end            | the platform is out and the home daemon is killed           |
            | run            | the home daemon is killed twice                             |

    Scenario: A job is refused during an outage and accepted when it is submitted again afterwards
        Given a cell
        And the platform is out
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        Then the last answer is "notAccepted"
        When every fault is cleared
        And a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        Then the job "j1" ends within 10000 ms
        And the workers ran 4 attempts

    Scenario: At-most-once tasks on lost workers are reported as mayHaveRun and not run again
        Given a cell
        When an at-most-once job "j1" with 4 tasks of 60000 ms is submitted
        And 1000 ms pass in the cell
        And every worker is lost
        Then the job "j1" ends within 20000 ms
        And the job "j1" has 4 tasks in the state "mayHaveRun"
        And the workers ran 4 attempts
