Feature: Ends of runs are acknowledged once they are durable, and a run counts as gone only by proof

    # The next incarnation would discard ends that are not durable yet, and their tasks would be started again.
    Scenario: A look that arrives late acknowledges no ends of the worker's next incarnation
        When a look that acknowledges an end is carried out 3000 ms late, by the worker's next incarnation
        Then no end of that incarnation is acknowledged before it is durable

    # Another end of the same occurrence was acknowledged at once, since its task was no longer in memory.
    Scenario: An end of a task that is done is acknowledged only once the task's end is durable
        When two runs of a task end as done on two workers, and the store takes 3000 ms to commit
        Then no end is acknowledged before the task's end is durable
        And both ends are acknowledged in time
