Feature: Calls between daemons

    Background:
        Given a daemon with 1 upstreams over HTTP

    Scenario Outline: A call over tRPC when <case>
        When a peer calls "<call>" and <case>
        Then the call ends as "<ending>"

        Examples:
            | call   | case                          | ending      |
            | daemon | all is well                   | answered    |
            | job    | all is well                   | notFound    |
            | report | the home is not held there    | unavailable |
            | daemon | nobody listens                | unavailable |
            | daemon | the peer accepts and is silent | mayHaveRun  |
            | daemon | the peer hangs up             | mayHaveRun  |
