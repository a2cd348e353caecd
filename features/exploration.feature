Feature: Exploration of orders of faults

    Scenario Outline: Schedules <first> to <last>
        When the schedules <first> to <last> are explored
        Then every promise holds in each of them

        Examples:
            | first | last |
            | 1     | 12   |
            | 277   | 286  |
            | 297   | 297  |
            | 335   | 340  |
            | 371   | 374  |
            | 457   | 460  |
            | 559   | 562  |

    Scenario Outline: A part that is broken on purpose is found: <part>
        When schedules from <first> on are explored with the part "<part>" broken
        Then a broken promise is found within <most> schedules

        Examples:
            | part                  | first | most |
            | noListing             | 1     | 20   |
            | noReadBack            | 1     | 40   |
            | unknownStartIsRefused | 1     | 40   |
            | endlessPromise        | 80    | 300  |
            | noRecovery            | 100   | 300  |
            | noTakeoverWait        | 20    | 300  |
            | startsNeverVoid       | 90    | 300  |
