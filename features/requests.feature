Feature: Requests that the daemon forwards to upstreams

    Background:
        Given a daemon with 2 upstreams over HTTP

    Scenario: Concurrent callers each receive the answer to their own request
        When 40 requests are sent at once, each with its own id
        Then every answer has the id of its request and the outcome "completed"
        And the upstreams counted no slot or connection violation

    Scenario Outline: A <kind> request is sent twice with the same id
        When a <kind> request "r1" is sent
        And a <kind> request "r1" is sent
        Then the answers are "<first>" and "<second>"
        And "r1" ran <runs> times

        Examples:
            | kind           | first     | second     | runs |
            | idempotent     | completed | completed  | 2    |
            | non-idempotent | completed | mayHaveRun | 1    |

    Scenario: Non-idempotent requests are refused while the table is unavailable
        Given the platform refuses every table call
        When a non-idempotent request "r1" is sent
        Then the answer is "notRun"
        And "r1" ran 0 times
        When an idempotent request "r2" is sent
        Then the answer is "completed"

    Scenario: A request that was not run can be sent again with the same id
        Given every upstream is leaving
        When a non-idempotent request "r1" is sent
        Then the answer is "notRun"
        Given the upstreams are replaced
        When a non-idempotent request "r1" is sent
        Then the answer is "completed"
        And "r1" ran 1 times

    Scenario: A graceful shutdown completes requests in flight and then closes the socket
        When 10 requests of 300 ms are sent and the daemon is stopped
        Then every answer has the outcome "completed"
        And the daemon's socket is closed
