Feature: The ledger of worker capacity

    Scenario: No interleaving of place, finish, cancel and takeover exceeds a worker's capacity
        When 500 random interleavings run against a ledger and a model
        Then the ledger never reserves more than a worker's capacity
        And the ledger and the model always agree

    Scenario Outline: The policy "<placement>" chooses "<worker>" for 2000 cpuMillis
        Given open workers with this capacity
            | worker | cpuMillis | memoryMib |
            | a      | 1000      | 9000      |
            | b      | 2000      | 4000      |
            | c      | 8000      | 8000      |
            | d      | 2500      | 100       |
        Then the policy "<placement>" chooses "<worker>" for a task of 2000 cpuMillis and 512 memoryMib

        Examples:
            | placement | worker |
            | bestFit   | b      |
            | worstFit  | c      |
            | firstFit  | b      |
            | gang      | b      |

    Scenario: A closed worker is never chosen
        Given open workers with this capacity
            | worker | cpuMillis | memoryMib |
            | a      | 4000      | 4000      |
        When the worker "a" is closed
        Then no policy chooses a worker for a task of 100 cpuMillis and 10 memoryMib
