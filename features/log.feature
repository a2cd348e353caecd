Feature: Logging never blocks the process

    Scenario: A process whose standard output is not read does not block, and counts the dropped lines
        Given a process that logs 100000 lines to a standard output that nobody reads
        Then it logs all lines without blocking
        And its output, when read afterwards, reports how many lines were dropped

    # Guards against a line that ends the work which writes it.
    Scenario: A line with a value that is nested too deeply is written without it
        When a value nested 20000 deep is logged
        Then a line names the event and has fewer than 300 characters

    Scenario: A process whose standard output is read drops no line
        Given a process that logs 20000 lines to a standard output that is read
        Then all 20000 lines are read in order

    # Guards against logs of an incident that do not tell who owned the shard.
    Scenario: A change of ownership is logged although warnings that nobody reads have filled the buffer
        Given a process that logs 100000 warnings and then the loss of its shard to a standard output that nobody reads
        Then it logs all lines without blocking
        And its output, when read afterwards, holds the loss of the shard
