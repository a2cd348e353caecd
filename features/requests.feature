Feature: Callers' requests to a service

    Background:
        Given a daemon with 2 upstreams over HTTP

    Scenario: The whole answer reaches its own caller
        When 40 requests are sent at once, each with its own id
        Then every answer carries its own id and says "completed"
        And the upstreams counted no violation

    Scenario Outline: A <kind> request is sent twice with one id
        When a <kind> request "r1" is sent
        And a <kind> request "r1" is sent
        Then the answers are "<first>" and "<second>"
        And "r1" ran <runs> times

        Examples:
            | kind           | first     | second     | runs |
            | idempotent     | completed | completed  | 2    |
            | non-idempotent | completed | mayHaveRun | 1    |

    Scenario: Non-idempotent requests are refused while the platform is out
        Given the platform refuses everything
        When a non-idempotent request "r1" is sent
        Then the answer is "notRun"
        And "r1" ran 0 times
        When an idempotent request "r2" is sent
        Then the answer is "completed"

    Scenario: A request that did not run can be sent again with the same id
        Given every upstream is leaving
        When a non-idempotent request "r1" is sent
        Then the answer is "notRun"
        Given the upstreams are replaced
        When a non-idempotent request "r1" is sent
        Then the answer is "completed"
        And "r1" ran 1 times

    Scenario: A graceful shutdown finishes what is in flight and refuses the rest
        When 10 requests of 300 ms are sent and the daemon is stopped
        Then every one of them says "completed"
        And the daemon's socket is closed
