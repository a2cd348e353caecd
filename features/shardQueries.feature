Feature: Operators' queries to the owner of a shard

    Scenario Outline: The owner says why a job waits: <wait>
        Given a cell of 3 daemons and 1 workers for the organisations "north 2, south 0"
        When 1 jobs of steps "<first>" are submitted for "<other>"
        And the shard runs for 200 ms
        And 1 jobs of steps "<steps>" are submitted for "north"
        And the shard runs for 200 ms
        And the metrics servers are asked for the newest job
        Then the answer has "<step>" and "<tasks>"
        And the expected times are in order

        Examples:
            | other | first | steps            | step                       | tasks                |
            | south | 1     | 3                | 0: cap 1, free 1           | done 0 running 2 waiting 1 |
            | south | 8     | 2                | 0: room 2, full 1          | done 0 running 0 waiting 2 |
            | south | 1     | 2, 1 after 0     | 1: after 0                 | done 0 running 0 waiting 1 |

    # Guards against an expected time that is made up: the end of a task without an end is not known.
    Scenario: No end is expected where none can be known
        Given a cell of 3 daemons and 2 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 500 ms
        And the metrics servers are asked for the newest job
        Then the answer has "0: nothing" and "done 0 running 1 waiting 0"
        And no end is expected

    Scenario: The owner lists what organisations hold and wait for
        Given a cell of 3 daemons and 1 workers for the organisations "north 2, south 0"
        When 2 jobs of steps "3" are submitted for "north"
        And the shard runs for 400 ms
        And the CLI asks the metrics servers "shard organisations --json"
        Then the organisation "north" holds 2 of 2 cores, a share of 0.25, and waits for 4
        And the answer holds no digest of an API key
        When the CLI asks the metrics servers "shard organisations"
        Then the CLI ends with 0 and says "north"
        When the CLI asks the metrics servers "shard speeds"
        Then the CLI ends with 0 and says "stages.example/plans/"

    Scenario Outline: The CLI asks <servers> for <query>
        Given a cell of 3 daemons and 2 workers
        When the CLI asks <servers> "<query>"
        Then the CLI ends with <code> and says "<text>"

        Examples:
            | servers                    | query                          | code | text                                  |
            | the metrics servers        | shard job 5c0e7a21d94b36f8     | 3    | notFound: no accepted job             |
            | the metrics servers        | shard job 5C0E                 | 2    | allowed: 16 hexadecimal digits        |
            | the metrics servers        | shard job 5c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f85c0e7a21d94b36f8 | 2    | allowed: 16 hexadecimal digits |
            | the other metrics servers  | shard job 5c0e7a21d94b36f8     | 7    | does not own the shard; the owner is  |
            | the other metrics servers  | shard organisations            | 7    | does not own the shard; the owner is  |
            | the metrics servers        | shard speeds                   | 0    | nothing was learned yet               |
            | no metrics server          | shard speeds                   | 2    | at least one address, by --metrics    |
            | a closed port              | shard speeds                   | 7    | no daemon answered as the owner       |

    # Guards against answers from the state of an owner that was replaced without noticing it.
    Scenario Outline: A former owner does not answer for the shard: <query>
        Given a cell of 4 daemons and 4 workers
        When 1 jobs of steps "1 long running" are submitted
        And the shard runs for 1000 ms
        And the fault "owner cut from its peers, the store" comes
        And 1 jobs of steps "1 long running" are submitted
        And the CLI asks the former owner's metrics server "shard <query>" while it still owns the shard
        Then the CLI ends with 7 and says "unavailable"

        Examples:
            | query            |
            | job first        |
            | job second       |
            | organisations    |
            | speeds           |
