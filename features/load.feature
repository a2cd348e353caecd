Feature: What callers get under load

    # Two kinds share four workers with 8 accelerators each: large tasks that need a whole worker, and small ones with time
    # to spare. The first row of each pair is the policy that was in force before.
    Scenario Outline: Large tasks find a worker at <load> times the load, policies <order>, <packing>, <room>
        Given workers of 8 accelerators with policies "<order>", "<packing>", "<room>"
        When large and small jobs come at <load> times the load for 30000 ms
        Then <large> percent of the large jobs are in time
        And <small> percent of the small jobs are in time
        And no worker held more than it has

        Examples:
            | load | order      | packing  | room    | large     | small     |
            | 1.0  | acceptance | spread   | none    | 0 to 90   | 95 to 100 |
            | 1.0  | due        | scarcest | planned | 95 to 100 | 95 to 100 |
            | 1.3  | acceptance | spread   | none    | 0 to 60   | 95 to 100 |
            | 1.3  | due        | scarcest | planned | 95 to 100 | 90 to 100 |

    # A task that failed keeps off the worker on which it failed while another, which is silent, may still run it.
    Scenario: A task that waits for a silent worker holds no other task up
        Given a step of 3 tasks whose first one failed on the only worker that answers, while another is silent
        When the step is placed
        Then tasks "1, 2" run on the worker that answers
        When the step is placed after the leases of the silent worker
        Then tasks "0, 1, 2" run on the worker that answers

    # A gang waited without end, as each task of a stream took the room that was kept for it once it had waited for 2 s, and held it for
    # longer than that. So each that takes kept room makes the next one wait for twice as long: after 2, 6 and 14 s, and in the
    # 8 s between the last two all that runs has ended.
    Scenario Outline: A gang of <workers> whole workers begins among less urgent tasks that come each <every> ms, seed <seed>
        When tasks of 3 cores for 4000 ms come to <workers> workers each <every> ms, and after 8000 ms a more urgent gang of 8 cores, seed <seed>
        Then the gang begins within 14000 ms

        Examples:
            | seed | workers | every |
            | 1    | 4       | 940   |
            | 2    | 4       | 625   |
            | 3    | 4       | 470   |
            | 2    | 2       | 1250  |
            | 3    | 2       | 940   |
