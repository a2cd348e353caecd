Feature: Task placement under load

    # Large tasks that need all 8 accelerators of a worker share four workers with small tasks that have a longer time limit.
    # For each load, the first row shows that simple policies starve the large tasks, the second that the default ones do not.
    Scenario Outline: Large tasks at <load> times the nominal load with the policies <order>, <packing>, <room>
        Given workers of 8 accelerators with policies "<order>", "<packing>", "<room>"
        When large and small jobs arrive at <load> times the nominal load for 30000 ms
        Then <large> percent of the large jobs are in time
        And <small> percent of the small jobs are in time
        And no capacity limit or execution guarantee was violated

        Examples:
            | load | order      | packing  | room    | large     | small     |
            | 1.0  | acceptance | spread   | none    | 0 to 90   | 95 to 100 |
            | 1.0  | due        | scarcest | planned | 95 to 100 | 95 to 100 |
            | 1.3  | acceptance | spread   | none    | 0 to 60   | 95 to 100 |
            | 1.3  | due        | scarcest | planned | 95 to 100 | 90 to 100 |

    # A task avoids the worker on which it failed for as long as a silent worker might still run it. Only that task may wait.
    Scenario: A task that waits for a silent worker delays no other task
        Given a step of 3 tasks whose first task failed on the only responsive worker, while another worker is silent
        When the step is placed
        Then tasks "1, 2" run on the responsive worker
        When the step is placed after the leases of the silent worker have expired
        Then tasks "0, 1, 2" run on the responsive worker

    # Tasks that have waited for 2 s may take capacity reserved for a gang. A stream of tasks that each run for longer than
    # that would take it again and again, and the gang would never start. So the time until reserved capacity may be taken
    # again doubles: it is taken after 2, 6 and 14 s, and in the 8 s between the last two all running tasks end.
    Scenario Outline: A gang on <workers> whole workers starts among less urgent tasks that arrive every <every> ms, seed <seed>
        When tasks of 3 cores for 4000 ms arrive at <workers> workers every <every> ms, and after 8000 ms a more urgent gang of 8 cores, seed <seed>
        Then the gang starts within 14000 ms

        Examples:
            | seed | workers | every |
            | 1    | 4       | 940   |
            | 2    | 4       | 625   |
            | 3    | 4       | 470   |
            | 2    | 2       | 1250  |
            | 3    | 2       | 940   |
