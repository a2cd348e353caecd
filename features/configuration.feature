Feature: Configuration

    Scenario Outline: <operators> operators apply conflicting changes at once
        Given a cell
        When <operators> operators apply different documents against version 0 at once
        And 3000 ms pass in the cell
        Then one change is accepted and the others fail with "conflict" and the winning version 1
        And every failure contains the difference between the documents
        And version 1 is in force on every daemon

        Examples:
            | operators |
            | 2         |
            | 10        |

    Scenario Outline: A change while the table has the fault "<fault>"
        Given a cell
        And the cell's table has the fault "<fault>"
        When an operator applies a document against version 0
        And 500 ms pass in the cell
        And every fault is cleared
        And 4000 ms pass in the cell
        Then the change is "<answer>"
        And version <version> is in force on every daemon
        And the history has <version> versions

        Examples:
            | fault     | answer      | version |
            | none      | accepted    | 1       |
            | refuse    | notAccepted | 0       |
            | loseReply | accepted    | 1       |
            | late      | accepted    | 1       |

    Scenario: A daemon that was paused during a change adopts the new version
        Given a cell
        When a daemon is paused
        And an operator applies a document against version 0
        And 5000 ms pass in the cell
        And the paused daemon resumes
        And 3000 ms pass in the cell
        Then version 1 is in force on every daemon

    Scenario: A daemon that is cut off from the platform receives new versions from its peers
        Given a cell
        When a daemon is cut off from the platform
        And an operator applies a document against version 0
        And 3000 ms pass in the cell
        Then version 1 is in force on every daemon

    Scenario: An invalid document is refused with all of its errors
        Given a cell
        When an operator applies a document with a repeated policy and a class without policy
        Then the change is "invalid"
        And the failure lists 2 fields
        And version 0 is in force on every daemon

    Scenario: A change of policies does not restart running tasks
        Given a cell
        When a job "j1" of the class "batch" with 8 tasks of 5000 ms is submitted
        And 1000 ms pass in the cell
        And an operator applies a document against version 0
        Then the job "j1" ends within 20000 ms
        And the workers ran 8 attempts
