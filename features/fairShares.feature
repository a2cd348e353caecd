Feature: Shares, urgency and headroom under heavy load

    # Guards against jobs without any value that are placed before batches which can still be in time, and against a change of
    # the other orders.
    Scenario Outline: The order <order> of steps with a priority and a standing
        Then the order "<order>" puts the steps "0 overdue, 2 late, 1 overdue, 2 onTime, 0 late, 0 onTime" as "<steps>"

        Examples:
            | order | steps                                                        |
            | due   | 0 onTime, 0 late, 0 overdue, 1 overdue, 2 onTime, 2 late     |
            | value | 0 onTime, 0 late, 2 onTime, 2 late, 0 overdue, 1 overdue     |

    # Guards against urgent jobs that are already worthless and take the capacity of batches. Urgent jobs need twice the capacity
    # for 8 s, so most of them become overdue; batches need a third of it.
    Scenario Outline: Overdue urgent jobs with the order <order>
        When urgent jobs at 2.0 times the capacity arrive for 8000 ms beside batches, with the order "<order>"
        Then <batches> percent of the "batch" jobs are in time
        And every job ends in the end
        And no capacity limit or execution guarantee was violated

        Examples:
            | order | batches   |
            | due   | 0 to 20   |
            | value | 50 to 100 |

    # Guards against accepted work that stands beside free capacity because it is worthless, and against runs that are stopped or
    # capacity that is reserved for it. Capacity on worker 0 is reserved for a gang whose other worker does not become free.
    Scenario: An overdue step takes reserved capacity after 2 s, and reserves none and stops no run
        Given 2 workers of 8 cores with the policies "value", "none", "none"
        And a step "1 of 8 cores for 2000 ms" of priority 1 that runs on "worker-1"
        And a waiting step "2 gang of 8 cores for 2000 ms" of priority 1 called "gang"
        And a waiting step "1 of 4 cores for 8000 ms" of priority 0 called "overdue", which is overdue
        When the placer runs for 1500 ms
        Then the step "overdue" has 0 runs
        When the placer runs for 1000 ms
        Then the step "overdue" has 1 run
        And no run was stopped

    Scenario Outline: With the order <order>, <stopped> runs are stopped for an overdue step of priority 0
        Given 1 worker of 8 cores with the policies "<order>", "none", "none"
        And a step "1 of 8 cores checkpointing for 60000 ms" of priority 2 that runs on "worker-0"
        And a waiting step "1 of 8 cores for 2000 ms" of priority 0 called "urgent"<standing>
        When the placer runs for 1000 ms
        Then <stopped> runs were stopped

        Examples:
            | order | standing           | stopped |
            | value | , which is overdue | 0       |
            | value |                    | 1       |
