Feature: Callers of organisations on a shard

    # Guards against daemons that cannot read the store and go on accepting keys that were revoked.
    Scenario Outline: A revoked key stops working within 3 s, and a new one starts working: <what>
        Given a cell of 6 daemons and 4 workers whose callers have the keys "north a, south b"
        When the fault "<what>" comes
        And the shard runs for 500 ms
        And the callers have the keys "north c, south b" from now on
        And the shard runs for 3000 ms
        Then all running daemons accept the keys "b, c", and none accepts "a"

        Examples:
            | what                                    |
            | worker cut                              |
            | owner killed                            |
            | owner stops                             |
            | history lost                            |
            | feeds go silent                         |
            | a third of the daemons cut from the store |
            | owner cut from the store                |

    Scenario Outline: No daemon goes back to an older configuration when versions follow quickly: <fault>
        Given a cell of 6 daemons and 4 workers whose callers have the keys "north a, south b"
        When 100 versions come within 10000 ms, and the fault "<fault>" for 4000 ms of them
        And the shard runs for 3000 ms
        Then every daemon that runs has the newest version
        And no daemon went back to an older version

        Examples:
            | fault                                   |
            | worker cut                              |
            | owner killed                            |
            | all killed                              |
            | store answers late                      |
            | store loses answers                     |
            | history lost                            |
            | a third of the daemons cut from the store |
            | all suspended for 4 s                   |
            | two others suspended for 6 s            |

    Scenario: A daemon that starts while the store is down accepts no caller by an older configuration
        Given a cell of 4 daemons and 4 workers whose callers have the keys "north a"
        When the callers have the keys "north c" from now on
        And the shard runs for 2000 ms
        And the store is down and a daemon starts again
        And the shard runs for 3000 ms
        Then that daemon answers the key "a" with "unavailable"
        And the fault goes
        And the shard runs for 3000 ms
        And all running daemons accept the keys "c", and none accepts "a"

    Scenario Outline: Nobody can read, cancel or resubmit a job of another organisation, <when>
        Given a cell of 3 daemons and 4 workers for the organisations "north 0, south 0"
        When 1 jobs of steps "<steps>" are submitted for "north"
        And the shard runs for <ms> ms
        And the fault "<fault>" comes
        And the shard runs for 3000 ms
        Then the job is "<state>" for a caller of "north"
        And the job is "unknown" for a caller of "south"
        And the job is "unknown" for a caller of ""
        And a caller of "south" cannot cancel it
        And a caller of "south" that submits the same id is answered with "alreadyExists"
        And the job is "<state>" for a caller of "north"

        Examples:
            | when              | steps            | ms   | fault        | state     |
            | while it runs     | 1 long running   | 1000 | worker cut   | running   |
            | after it has ended | 1               | 4000 | worker cut   | completed |
            | under a successor | 1 long running   | 1000 | owner killed | running   |
            | ended under a former owner | 1       | 4000 | owner killed | completed |
