Feature: The library's examples run

    Scenario Outline: The example of <module>
        When the example of "<module>" runs
        Then it gives "<result>"

        Examples:
            | module               | result                                  |
            | ledger               | reserved, then refused                  |
            | placements           | b                                       |
            | upstreamChoices      | u2                                      |
            | taskQueue            | urgent first                            |
            | rooms                | owner-2                                 |
            | journal              | 2 records replayed                      |
            | membership           | the session is dead                     |
            | ownership            | unit/rack/leon-feria/r1 is owned        |
            | homeState            | queued, then starting                   |
            | jobSpec              | neverFits                               |
            | configurationStore   | conflict with version 1                 |
            | configurationDocument | - class batch: batch, policy pack, priority 3 |
            | requestClaims        | claimed, then refused                   |
            | slots                | 8 slots                                 |
            | router               | a slot of leon-feria-u1                 |
            | node                 | completed                               |
            | errors               | notRun is 503                           |
            | check                | tasks: a whole number from 1 to 10      |
            | resources            | 3 accelerators                          |
            | rendezvous           | the same for all                        |
            | ring                 | 3, 2                                    |
            | time                 | 3 runs                                  |
            | system               | the same for the same seed              |
