Feature: Checkpoints that tasks save while they run

    # Guards against members of one gang that resume from different checkpoints after all of them were lost without an end.
    Scenario Outline: All members of a gang resume from one checkpoint after <what>
        Given a cell of 3 daemons and 6 workers whose checkpointing tasks save every 500 ms
        When 1 jobs of steps "4 gang of 5 cores checkpointing for 12000 ms, 1 for 2000 ms" are submitted
        And the shard runs for 3200 ms
        And the fault "<faults>" comes
        And the shard runs for <ms> ms
        And the fault goes
        Then all jobs are "completed" within 40000 ms
        And every gang has resumed from one checkpoint
        And no promise was broken

        Examples:
            | what                          | faults                                                         | ms    |
            | their workers crash           | all workers crash and are back                                 | 1000  |
            | their leases run out          | all workers cut                                                | 16000 |
            | a cut, kills and crashes      | all workers cut, all killed, half of the workers crash and are back | 12000 |
            | kills and crashes             | all killed, all workers crash and are back                     | 1000  |

    # Guards against rows with different checkpoints for the members of one gang, as written by versions that kept one for each.
    Scenario: A gang whose members are stored with different checkpoints has one once it is restored
        When a gang of 3 tasks is restored from the checkpoints "a#1/1, , c#1/3"
        Then all of its tasks are stored with one of them

    # Guards against a change of the checkpoint between two starts of one run, and against former runs that set a gang back.
    Scenario Outline: A checkpoint that run <run> shows once run 2 is planned is carried by none of its starts
        Given a gang whose run 2 is planned from the checkpoint "b"
        When its run <run> shows the checkpoint "<shown>"
        Then all starts of its run 2 carry "b", and those of its next run "<next>"

        Examples:
            | run | shown | next |
            | 1   | a     | b    |
            | 2   | c     | c    |

    # Tasks that are in no gang keep their own checkpoints.
    Scenario: Tasks in no gang resume each from its own checkpoint
        Given a cell of 3 daemons and 6 workers whose checkpointing tasks save every 500 ms
        When 1 jobs of steps "3 of 5 cores checkpointing for 6000 ms" are submitted
        And the shard runs for 3200 ms
        And the fault "all workers crash and are back" comes
        Then all jobs are "completed" within 40000 ms
        And every task has resumed from a checkpoint of its own
        And no promise was broken
