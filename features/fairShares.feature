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

    # Guards against a decision by another resource than the one of which an organisation holds the largest share, and against
    # weights of organisations that have no work.
    Scenario Outline: Who holds more than its share: <holders>
        Then of the organisations "<holders>" with 100 cores and 1000 MiB, "<over>" are over their share

        Examples:
            | holders                                           | over         |
            | north 100 0 1                                     | none         |
            | north 51 0 1, south 10 0 1                        | north        |
            | north 50 0 1, south 50 0 1                        | none         |
            | north 50 0 1, south 20 0 3                        | north        |
            | north 10 510 1, south 40 0 1                      | north        |
            | north 0 0 1, south 40 0 1, west 40 0 1            | south, west  |
            | north 60 0 0, south 0 0 0                         | none         |
            | north 1 0 0, south 0 0 1                          | north        |

    # Guards against an order that changes while capacity is not short, and against steps that are put behind a lower priority.
    # North holds 9 and south 1 of 16 cores; a step is given by its priority, organisation and cores.
    Scenario Outline: The order with the policy <shares> while capacity is <room>
        Then with the policy "<shares>" and capacity "<room>" the steps "<steps>" are placed as "<placed>"

        Examples:
            | shares   | room  | steps                                                | placed                                               |
            | none     | short | 1 north 1, 1 south 1, 1 north 1, 1 south 4           | 1 north 1, 1 south 1, 1 north 1, 1 south 4           |
            | heldRoom | free  | 1 north 1, 1 south 1, 1 north 1, 1 south 4           | 1 north 1, 1 south 1, 1 north 1, 1 south 4           |
            | heldRoom | short | 1 north 1, 1 south 1, 1 north 2, 1 south 4           | 1 south 1, 1 south 4, 1 north 1, 1 north 2           |
            | heldRoom | short | 0 north 1, 1 north 1, 1 south 1, 2 north 1, 2 south 1 | 0 north 1, 1 south 1, 1 north 1, 2 south 1, 2 north 1 |
            | heldRoom | short | 1 south 8, 1 south 1, 1 east 1                       | 1 south 8, 1 east 1, 1 south 1                       |

    # Guards against an organisation whose burst delays the jobs of the others, and against a change of the configuration or of
    # the owner after which that is so. Ten organisations with equal weights use 0.9 times the capacity; the first one sends at 5
    # times its rate for 7 s.
    Scenario Outline: A burst of one organisation beside nine others with the policy <shares>, while <event>
        When one of 10 organisations sends at 5 times its rate for 7000 ms with the policy "<shares>" while "<event>"
        Then <worst> percent of the jobs of the worst-served other organisation are in time
        And every job ends in the end
        And no capacity limit or execution guarantee was violated

        Examples:
            | shares   | event                     | worst     |
            | none     | nothing else happens      | 0 to 75   |
            | heldRoom | nothing else happens      | 95 to 100 |
            | heldRoom | its cap is lowered        | 95 to 100  |
            | heldRoom | it is removed and returns | 95 to 100  |
            | heldRoom | the owner is lost         | 95 to 100  |
