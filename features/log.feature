Feature: The log never holds the daemon up

    Scenario: A process whose standard output nobody reads goes on
        Given a process that logs 100000 lines to a standard output that nobody reads
        Then it goes on to its end
        And its output, read then, tells how many lines were left out

    Scenario: A process whose standard output is read loses no line
        Given a process that logs 20000 lines to a standard output that is read
        Then all 20000 lines came, in order
