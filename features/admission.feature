Feature: Admission of jobs to a shard under heavy load

    # On 100 cores. An urgent job has 3 tasks of 800 ms and an objective of 1450 ms, a batch 25 tasks of 3400 ms and one of
    # 24000 ms. Accepted work is given as priority, organisation with its cap in cores, and core-seconds.
    # Guards against jobs that are accepted without any value, and against refusals of jobs that would still be of value: a
    # less urgent backlog, one that a cap holds back or one beside free cores delays nothing.
    Scenario Outline: A job that is <job>, with <free> of 100 cores free and the accepted work "<work>", order <order>
        Given accepted work "<work>" for 100 cores, of which <free> are free, with the order "<order>"
        When the admission of a job that is "<job>" is decided, while submissions <shed> are shed
        Then the decision is "<decision>"

        Examples:
            | job              | free | work                      | order    | shed   | decision                    |
            | urgent           | 0    | 0 north 350               | due      | none   | accepted                    |
            | urgent           | 0    | 0 north 360               | due      | none   | backlog, 1000 to 1500 ms    |
            | urgent           | 0    | 0 north 600               | due      | none   | backlog, 2450 to 3675 ms    |
            | urgent           | 0    | 0 north 9000              | due      | none   | backlog, 10000 to 15000 ms  |
            | urgent           | 0    | 1 north 9000; 2 south 900 | due      | none   | accepted                    |
            | urgent           | 30   | 0 south 9000              | due      | none   | accepted                    |
            | urgent           | 0    | 0 south/50 9000           | due      | none   | accepted                    |
            | urgent           | 0    | 0 south/90 9000; 0 east 9 | due      | none   | accepted                    |
            | urgent           | 0    | 0 south 9000              | heldRoom | none   | accepted                    |
            | urgent           | 0    | 0 south+ 9000             | shares   | none   | accepted                    |
            | urgent           | 0    | 0 south+ 9000             | due      | none   | backlog, 10000 to 15000 ms  |
            | urgent, cap 10   | 50   | 0 north/10 100            | due      | none   | backlog, 6450 to 9675 ms    |
            | batch            | 0    | 0 north 2000; 2 east 4800 | due      | none   | accepted                    |
            | batch            | 0    | 0 north 2000; 2 east 5000 | due      | none   | backlog, 1400 to 2100 ms    |
            | batch            | 0    | unknown                   | due      | none   | accepted                    |
            | long-running     | 0    | 0 north 9000; 2 east 9000 | due      | none   | accepted                    |
            | batch            | 100  |                           | due      | from 2 | ownerLate, 1000 to 1500 ms  |
            | long-running     | 100  |                           | due      | from 2 | ownerLate, 1000 to 1500 ms  |
            | urgent           | 100  |                           | due      | from 2 | accepted                    |
            | urgent           | 100  |                           | due      | from 0 | ownerLate, 1000 to 1500 ms  |
