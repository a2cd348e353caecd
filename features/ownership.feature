Feature: Ownership during pauses and network partitions

    Scenario: A paused owner is replaced by its deputy, and does nothing unsafe when it resumes
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is paused
        And 20000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        When every fault is cleared
        And 5000 ms pass in the cell
        Then every task is final within 60000 ms
        And no execution guarantee was violated
        And the daemon "leon-feria-e0" has a later session

    Scenario: A data centre that is cut off from the platform continues to start tasks
        Given a cell
        And a job with 200 tasks of 3000 ms is submitted through "leon-feria-e0"
        When a data centre is cut off from the platform
        And 60000 ms pass in the cell
        Then at least 10 tasks were started in the last 50000 ms
        And no session was fenced
        When every fault is cleared
        Then every task is final within 90000 ms
        And no execution guarantee was violated

    Scenario: An owner that is the only daemon cut off from the platform is replaced
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is cut off from the platform
        And 20000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        And every task is final within 60000 ms
        And no execution guarantee was violated

    Scenario: An owner that is cut off from its peers but not from the platform keeps its units
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is cut off from its peers
        And 30000 ms pass in the cell
        Then no session was fenced
        When every fault is cleared
        Then every task is final within 60000 ms
        And no execution guarantee was violated

    Scenario: No owner is replaced after a long outage of the platform
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the platform is out
        And 120000 ms pass in the cell
        And every fault is cleared
        And 20000 ms pass in the cell
        Then no session was fenced
        And every task is final within 60000 ms
        And no execution guarantee was violated

    Scenario: A graceful stop hands over all units without a grace period
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is stopped gracefully
        And 4000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        And every task is final within 60000 ms
        And the workers ran 12 attempts

    Scenario: Every unit has a live owner after a daemon joins
        Given a cell
        When the daemon "leon-feria-e7" is added in "leon-feria"
        And 30000 ms pass in the cell
        Then every unit has a live owner in its data centre

    Scenario: In a large cell, daemons read only the units of their own data centre
        Given a cell
        And 1000 racks of other data centres are owned by other daemons
        And 2000 ms pass in the cell
        When 30000 ms pass in the cell
        Then the platform answered at most 900 reads meanwhile
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        Then the job "j1" ends within 10000 ms
