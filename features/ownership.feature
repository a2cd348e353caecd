Feature: Ownership under pauses and cuts

    Scenario: A paused owner is replaced by its deputy, and does nothing unsafe when it goes on
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is paused
        And 20000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        When everything is healed
        And 5000 ms pass in the cell
        Then every task is answered within 60000 ms
        And the stand-ins saw no promise broken
        And the daemon "leon-feria-e0" has a later session

    Scenario: A data centre that is cut off from the platform goes on placing
        Given a cell
        And a job with 200 tasks of 3000 ms is submitted through "leon-feria-e0"
        When a data centre is cut off from the platform
        And 60000 ms pass in the cell
        Then at least 10 tasks were started in the last 50000 ms
        And no session was fenced
        When everything is healed
        Then every task is answered within 90000 ms
        And the stand-ins saw no promise broken

    Scenario: An owner that alone is cut off from the platform is replaced
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is cut off from the platform
        And 20000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        And every task is answered within 60000 ms
        And the stand-ins saw no promise broken

    Scenario: An owner that is cut off from its peers alone keeps what it owns
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is cut off from its peers
        And 30000 ms pass in the cell
        Then no session was fenced
        When everything is healed
        Then every task is answered within 60000 ms
        And the stand-ins saw no promise broken

    Scenario: After a long outage nobody is replaced
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the platform is out
        And 120000 ms pass in the cell
        And everything is healed
        And 20000 ms pass in the cell
        Then no session was fenced
        And every task is answered within 60000 ms
        And the stand-ins saw no promise broken

    Scenario: A planned stop hands everything over without a grace
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that run
        When the home daemon is stopped gracefully
        And 4000 ms pass in the cell
        Then the daemon "leon-feria-e0" owns nothing in the table
        And every task is answered within 60000 ms
        And the workers ran 12 attempts

    Scenario: A new daemon takes its share
        Given a cell
        When the daemon "leon-feria-e7" is added in "leon-feria"
        And 30000 ms pass in the cell
        Then every unit has a live owner in its data centre

    Scenario: In a large cell, daemons read their own data centre's units only
        Given a cell
        And 1000 racks of other data centres are owned by others
        And 2000 ms pass in the cell
        When 30000 ms pass in the cell
        Then the platform answered at most 900 reads meanwhile
        When a job "j1" of the class "batch" with 4 tasks of 500 ms is submitted
        Then the job "j1" ends within 10000 ms
