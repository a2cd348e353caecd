Feature: Simulated workers and upstreams

    Scenario Outline: A start order through the <adapter> adapter when <case>
        Given a worker behind the "<adapter>" adapter
        And the worker's case is "<case>"
        When an attempt is started
        Then the start is "<outcome>"
        And the worker ran the attempt <runs> times

        Examples:
            | adapter | case             | outcome | runs |
            | direct  | healthy          | started | 1    |
            | direct  | order is too old | refused | 0    |
            | http    | healthy          | started | 1    |
            | http    | order is too old | refused | 0    |
            | http    | reply is lost    | unknown | 1    |
            | http    | unreachable      | unknown | 0    |
            | http    | not listening    | refused | 0    |

    Scenario: A worker checks neither for repeated attempts nor for its capacity
        Given a worker behind the "direct" adapter
        When the same attempt is started twice
        Then the worker ran the attempt 2 times
        When an attempt larger than the worker is started
        Then the worker counts 1 overcommit

    Scenario: A lease that is not renewed expires by the worker's own clock
        Given a worker behind the "direct" adapter
        When an attempt of 60000 ms is started with a lease of 5000 ms
        And 4000 ms pass
        And the attempt's lease is renewed for 5000 ms
        And 4000 ms pass
        Then the worker runs the attempt
        When 1001 ms pass
        Then the worker has ended the attempt as "lapsed"

    Scenario: An ended attempt is reported until it is acknowledged
        Given a worker behind the "direct" adapter
        When an attempt of 100 ms is started with a lease of 5000 ms
        And 200 ms pass
        Then the worker has ended the attempt as "completed"
        And the worker has ended the attempt as "completed"
        When the attempt's end is acknowledged
        Then the worker reports no attempt

    Scenario: A poll reports changes since a version
        Given a worker behind the "direct" adapter
        When an attempt of 60000 ms is started with a lease of 50000 ms
        And 2000 ms pass
        Then a poll from the seen version on reports only what changed since

    Scenario Outline: An upstream with <sent> requests at once
        Given an upstream
        When <sent> requests are sent at once
        Then <answered> requests are answered and <refused> are refused
        And the upstream counts <violations> slot violations

        Examples:
            | sent | answered | refused | violations |
            | 8    | 8        | 0       | 0          |
            | 9    | 8        | 1       | 1          |
