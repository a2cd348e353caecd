Feature: Ends of runs are acknowledged once they are durable, and a run counts as gone only by proof

    # The next incarnation would discard ends that are not durable yet, and their tasks would be started again.
    Scenario: A look that arrives late acknowledges no ends of the worker's next incarnation
        When a look that acknowledges an end is carried out 3000 ms late, by the worker's next incarnation
        Then no end of that incarnation is acknowledged before it is durable
