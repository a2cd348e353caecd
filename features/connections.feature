Feature: Connections that go silent without a reset

    Scenario Outline: One call is lost to <open> connections that went silent, and the next one is answered
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

    Scenario: One slow answer does not cost the connections that answer meanwhile
        Given a service with 3 open connections
        When a call is made that may take 200 ms and gets no answer, while others are answered
        And a call is made that may take 20000 ms
        Then it was answered
        And no connection was replaced

    Scenario: A call that may be answered late is not waited for before its connections are judged
        Given a service with 5 open connections
        When all open connections go silent
        And a call is under way for 300 ms that makes its connections suspect after 50 ms
        And a call is made that may take 20000 ms
        Then it was answered

    Scenario Outline: A call whose answer <how> ends <end>
        Given a service with 1 open connections
        When a call is made that may be silent for 200 ms and take <longestMs> ms, and its answer <how>
        Then it <end>

        Examples:
            | how                                  | longestMs | end           |
            | comes in 8 pieces, each after 80 ms  | 20000     | was answered  |
            | comes in 8 pieces, each after 80 ms  | 300       | got no answer |
            | comes in 2 pieces, each after 600 ms | 20000     | got no answer |

    Scenario: A call ends in time although no connection comes about
        Given a service that accepts no connection
        When a call is made that may take 100 ms
        Then it surely was not delivered

    # A crash behind a cut link was taken for one at the time of the silence: only a process that ends loses its connections at once.
    Scenario Outline: A call that <what> tells whether its connection was lost
        Given a service with 1 open connections
        When <event>
        And a call is made that may take 300 ms
        Then its connection <lost>

        Examples:
            | what                               | event                        | lost         |
            | meets a process that has ended     | the service ends             | was lost     |
            | gets no answer over a silent one   | all open connections go silent | was not lost |

    Scenario: A call under way as its process ends tells that its connection was lost
        Given a service with 1 open connections
        When the service ends 100 ms after a call that gets no answer
        Then its connection was lost
