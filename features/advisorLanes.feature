Feature: Calls to the advisor where some lanes do not answer

    # Callers saw an accepted job stand for as long as two daemons near the owner could not reach the advisor, though seven others
    # could. A step asked through the first lane, which hung; after its patience (1.4 s for a call of 0.5 s) it asked the second one,
    # which hung as well; by then the first had rested for longer than a failed lane rests, and was the first of the list again.
    # The cause: the desk took the first lane that does not rest, whatever had become of the calls through it.
    Scenario Outline: A step is advised in time though <hanging> of 9 lanes hang <when>
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
        And the desk is left alone for 6000 ms
        And a step asks until it is advised
        Then it is advised within 600 ms, after 1 call at the most

    # A lane that hung rests for longer each time, which must not keep steps waiting once the advisor is back for all of them.
    Scenario Outline: Steps are advised soon after an outage of the advisor for all of <lanes> lanes
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

    # Steps of wide batches waited for tickets while a quarter of the lanes was kept for quick calls, of which there were few.
    Scenario Outline: Dear calls have the lanes that quick ones do not need: <what>
        Given an advice desk with 28 lanes, whose calls take 500 ms
        When 0 steps ask at once, and quick calls of 40 ms come each <each> ms for 5000 ms
        And <dear> steps ask at once, and quick calls of 40 ms come each <each> ms for 3000 ms
        Then all <dear> are advised within <ms> ms, and each quick call within 100 ms

        Examples:
            | what                        | each | dear | ms   |
            | none comes                  | 0    | 27   | 600  |
            | few come                    | 50   | 75   | 1600 |
            | as many as their lanes bear | 10   | 42   | 1100 |
