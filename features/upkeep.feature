Feature: Upkeep waves for the VMs that run the workers

    Scenario: A wave completes in time, with few VMs down at once, and interrupts no task
        Given a cell of 3 daemons and 6 workers
        When 4 jobs of steps "3, 4 after 0" are submitted
        And 2 jobs of steps "3 long running" are submitted
        And the shard runs for 1000 ms
        And the operator asks for upkeep of 6 VMs, 2 at once, within 30000 ms
        And 6 jobs of steps "2 checkpointing" are submitted
        Then the wave is shown as "running" within 1000 ms
        And the wave is shown as "completed" within 30000 ms
        And each of the 6 VMs had its upkeep once, with at most 2 down at the same time
        And the upkeep interrupted no task
        And 6 tasks run
        And no promise was broken

    Scenario: No more tasks of a step are missing at the same time than the step allows
        Given a cell of 3 daemons and 6 workers
        When 1 jobs of steps "12 long running may miss 2" are submitted
        And the shard runs for 3000 ms
        And the operator asks for upkeep of 6 VMs, 3 at once, within 20000 ms
        Then the wave is shown as "completed" within 40000 ms
        And each of the 6 VMs had its upkeep once, with at most 3 down at the same time
        And at most 2 of 12 tasks were missing at the same time
        And no promise was broken

    Scenario: Withdrawing a wave makes the workers that it had closed available again
        Given a cell of 3 daemons and 1 workers
        When 1 jobs of steps "2 long running may miss 1" are submitted
        And the shard runs for 3000 ms
        And the operator asks for upkeep of 1 VMs, 1 at once, within 20000 ms
        And the shard runs for 2000 ms
        Then 1 tasks run
        When the operator withdraws the wave
        And the shard runs for 2000 ms
        Then 2 tasks run

    Scenario Outline: Where VMs do not check tokens, no order from a former owner follows one from its successor, "<fault>"
        Given a cell of 4 daemons and 6 workers whose VMs do not check tokens
        When 4 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 2500 ms
        And the fault "upkeep orders very late" comes
        And the operator asks for upkeep of 6 VMs, 2 at once, within 30000 ms
        And the shard runs for 1500 ms
        And the fault "<fault>" comes
        And the shard runs for 1500 ms
        And the fault goes
        Then the wave is shown as "completed" within 60000 ms
        When the shard runs for 15000 ms
        Then no VM received an order from a former owner after one from its successor
        And each of the 6 VMs had its upkeep once, with at most 2 down at the same time
        And no promise was broken

        Examples:
            | fault                    |
            | owner killed             |
            | owner stops              |
            | owner cut from the store |
            | all killed               |
            | owner suspended for 3 s  |
            | owner suspended for 9 s  |
            | all suspended for 4 s    |

    Scenario: An upkeep order is not sent if the write that proves ownership took too long
        When a wave is carried out while each of its records takes 400 ms to write
        Then no VM received an order

    Scenario Outline: A wave completes in spite of the fault "<fault>"
        Given a cell of 4 daemons and 6 workers
        When 4 jobs of steps "3, 4 after 0" are submitted
        And 1 jobs of steps "6 long running may miss 1" are submitted
        And the shard runs for 2500 ms
        And the operator asks for upkeep of 6 VMs, 2 at once, within 30000 ms
        And the shard runs for 2500 ms
        And the fault "<fault>" comes
        And the shard runs for 3000 ms
        And the fault goes
        Then the wave is shown as "completed" within 50000 ms
        And each of the 6 VMs had its upkeep once, with at most 2 down at the same time
        And no promise was broken

        Examples:
            | fault                    |
            | owner killed             |
            | owner stops              |
            | all killed               |
            | store hangs              |
            | store loses answers      |
            | store slow               |
            | feeds go silent          |
            | owner cut from the store |
            | upkeep orders late       |
            | VMs not listed           |
            | worker crashes           |

    Scenario: Workers take tasks again after a wave whose orders got no answer is withdrawn
        Given a cell of 3 daemons and 2 workers
        When the fault "upkeep orders get lost" comes
        And the operator asks for upkeep of 2 VMs, 2 at once, within 10000 ms
        And the shard runs for 3000 ms
        And the operator withdraws the wave
        And the fault goes
        And the shard runs for 1000 ms
        And 1 jobs of steps "2" are submitted
        Then all jobs are "completed" within 8000 ms
