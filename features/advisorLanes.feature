Feature: Calls to the advisor where some lanes do not answer

    # Guards against a job that does not start while two of nine daemons cannot reach the advisor. A call through a hanging lane
    # timed out (after 1.4 s for a call of 0.5 s) and the next one went to the second hanging lane. By the time that one timed out,
    # the back-off of the first lane was over, and the desk, which took the first lane that was not backing off without regard to
    # earlier failures, chose it again.
    Scenario Outline: A step gets an answer in time although <hanging> of 9 lanes hang <when>
        Given an advice desk with 9 lanes, whose calls take 500 ms
        And <hanging> of its lanes hang <when>
        When a step asks until it is advised
        Then it is advised within 2500 ms, after <calls> calls at the most

        Examples:
            | hanging | when     | calls |
            | 0       | for good | 1     |
            | 1       | for good | 2     |
            | 2       | for good | 3     |
            | 1       | once     | 2     |
            | 2       | once     | 3     |

    Scenario: Steps that ask later do not wait for lanes that are known to hang
        Given an advice desk with 9 lanes, whose calls take 500 ms
        And 2 of its lanes hang for good
        When a step asks until it is advised
        And nobody asks for 6000 ms
        And a step asks until it is advised
        Then it is advised within 600 ms, after 1 call at the most

    # The back-off of a lane grows with each failure. It must not delay steps once the advisor answers through all lanes again.
    Scenario Outline: Steps get answers soon after an outage of the advisor for all of <lanes> lanes
        Given an advice desk with <lanes> lanes, whose calls take 500 ms
        And <lanes> of its lanes hang for <outage> ms
        When a step asks until it is advised
        Then it is advised within 2500 ms after the outage

        Examples:
            | lanes | outage |
            | 1     | 5000   |
            | 1     | 20000  |
            | 9     | 5000   |
            | 9     | 20000  |

    # Guards against slow advice for steps with many tasks: a quarter of the lanes was reserved for quick calls even when few came.
    Scenario Outline: Slow calls use the lanes that quick calls do not need: <what>
        Given an advice desk with 28 lanes, whose calls take 500 ms
        When 0 steps ask at once, and quick calls of 40 ms come each <each> ms for 5000 ms
        And <slow> steps ask at once, and quick calls of 40 ms come each <each> ms for 3000 ms
        Then all <slow> are advised within <ms> ms, and each quick call within 100 ms

        Examples:
            | what                        | each | slow | ms   |
            | none comes                  | 0    | 27   | 600  |
            | few come                    | 50   | 75   | 1600 |
            | as many as their lanes bear | 10   | 42   | 1100 |

    # Guards against urgent steps that wait for the advisor while it is idle: a busy owner reads each answer late and sends the next
    # call of the lane only then, so that 8 lanes served some 80 of 200 calls a second.
    Scenario: Quick calls of a busy owner queue at the advisor
        When 40 steps ask at once through 2 lanes, whose calls take 15 ms and are read 100 ms late
        Then 40 of them are advised within 1000 ms

    # Guards against an overloaded owner that makes each call twice because it is late to read the first answer.
    Scenario Outline: A daemon that is 200 ms late makes <calls> calls for a step while <hanging> of 9 lanes hang
        Given an advice desk with 9 lanes, whose calls take 500 ms, of a daemon that is 200 ms late
        And <hanging> of its lanes hang for good
        When a step asks until it is advised
        Then it is advised within 2500 ms, after <calls> calls at the most

        Examples:
            | hanging | calls |
            | 0       | 1     |
            | 1       | 2     |
