Feature: Connections that go silent without a reset

    Scenario Outline: After <open> connections go silent, one call fails and the next one is answered
        Given a service with <open> open connections
        When all open connections go silent
        And a call is made that may take 100 ms
        Then it got no answer
        When a call is made that may take 20000 ms
        Then it was answered

        Examples:
            | open |
            | 1    |
            | 5    |

    Scenario: One slow answer does not replace connections that answer in the meantime
        Given a service with 3 open connections
        When a call is made that may take 200 ms and gets no answer, while others are answered
        And a call is made that may take 20000 ms
        Then it was answered
        And no connection was replaced

    Scenario: Silent connections are replaced before the timeout of a call that allows a late answer
        Given a service with 5 open connections
        When all open connections go silent
        And a call is under way for 300 ms that makes its connections suspect after 50 ms
        And a call is made that may take 20000 ms
        Then it was answered

    # Guards against a busy process that counts answers as missing which it has not read yet, and repeats the calls.
    Scenario: An answer that arrives while this process is busy is not taken for a missing one
        Given a service with 1 open connections
        When a call is made that may take 100 ms, and this process is busy for 400 ms once the answer is sent
        Then it was answered

    # Guards against a submission that the owner has received and that is answered as certainly not accepted.
    Scenario: A call is not taken for undelivered whose connection is closed while this process is busy
        Given a service with 1 open connections
        When a call is made that may take 100 ms, and this process is busy for 400 ms once the connection is reset
        Then it got no answer

    # Guards against a busy owner that only accepts connections: each call that timed out closed its connection and opened another.
    Scenario: A call that times out keeps its connection while the service answers others
        Given a service with 2 connection to a client that keeps connections for late answers
        When a call that is answered after 300 ms may take 100 ms, and another is answered meanwhile
        Then it got no answer
        When the late answer has had 400 ms to arrive
        And a call that is answered after 300 ms may take 100 ms, and another is answered meanwhile
        Then it got no answer
        And 2 connections were opened

    # Guards against daemons that a new owner does not let in for seconds: each call that timed out before its connection was accepted closed
    # it and opened another, which the owner accepted when it had been given up.
    Scenario: Calls that time out before their connections are accepted open no others
        Given a service that accepts connections after 900 ms
        When calls that may take 100 ms are made one after the other for 700 ms
        Then it was not delivered
        When a call is made that may take 5000 ms
        Then it was answered
        And 2 connections were accepted

    # Guards against a stall of the owner after which none of its peers can reach it: each had replaced the connections over which it would
    # have answered, and the new ones waited to be accepted.
    Scenario: Connections that a stalled service answers again are used again
        Given a service that accepts connections after 0 ms
        When a call is made that may take 5000 ms
        And the service is busy for 700 ms
        And calls that may take 100 ms are made one after the other for 500 ms
        And a call is made that may take 5000 ms
        Then it was answered
        And at most 4 connections were accepted

    # Guards against waiting without end for a service that has read the calls or lost them, and answers nothing.
    Scenario: New connections over which nothing arrives are replaced after the time for late answers
        Given a service that answers nothing over its first 2 connections, to a client that waits 300 ms for late answers
        When calls that may take 100 ms are made one after the other for 500 ms
        And a call is made that may take 5000 ms
        Then it was answered

    # Guards against a submission that waits for a connection, was never sent, and is answered as one that may have run.
    Scenario: A call that found no free connection in time was not delivered
        Given a service with 1 connection to a client that keeps connections for late answers
        When a call that is answered after 600 ms takes the only connection, and another call may take 100 ms
        Then it was not delivered

    Scenario Outline: A call whose answer <how> ends <end>
        Given a service with 1 open connections
        When a call is made that may be silent for 200 ms and take <longestMs> ms, and its answer <how>
        Then it <end>

        Examples:
            | how                                  | longestMs | end           |
            | comes in 8 pieces, each after 80 ms  | 20000     | was answered  |
            | comes in 8 pieces, each after 80 ms  | 300       | got no answer |
            | comes in 2 pieces, each after 600 ms | 20000     | got no answer |

    Scenario: A call times out when no connection can be opened
        Given a service that accepts no connection
        When a call is made that may take 100 ms
        Then it was not delivered

    # A lost connection and a silent one must be told apart. Only a process that has ended closes its connections at once; behind a
    # cut link they go silent. Taking one for the other dated a crash behind a cut link to the beginning of the silence.
    Scenario Outline: A call that <what> reports whether its connection was lost
        Given a service with 1 open connections
        When <event>
        And a call is made that may take 300 ms
        Then its connection <lost>

        Examples:
            | what                               | event                        | lost         |
            | meets a process that has ended     | the service ends             | was lost     |
            | gets no answer over a silent one   | all open connections go silent | was not lost |

    Scenario: A call in flight when the process ends reports that its connection was lost
        Given a service with 1 open connections
        When the service ends 100 ms after a call that gets no answer
        Then its connection was lost
