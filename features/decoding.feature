Feature: Rows in the store that cannot be read

    # A row that cannot be read adds no worker, configuration or wave, and leaves all other rows in force.
    Scenario Outline: An executor's entry is <value>
        Then an executor's entry '<value>' cannot be read at "<field>"

        Examples:
            | value                                                                                                               | field            |
            | {"backend":                                                                                                         | value            |
            | null                                                                                                                | value            |
            | 7                                                                                                                   | value            |
            | []                                                                                                                  | value            |
            | {}                                                                                                                  | backend          |
            | {"backend":7,"address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{}}                                      | backend          |
            | {"backend":"","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{}}                                     | backend          |
            | {"backend":"b","address":null,"zone":"z","state":"ready","capacity":{}}                                             | address          |
            | {"backend":"b","address":"here","zone":"z","state":"ready","capacity":{}}                                           | address          |
            | {"backend":"b","address":"10.0.0.9:99999","zone":"z","state":"ready","capacity":{}}                                 | address          |
            | {"backend":"b","address":"999.999.999.999:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"010.0.0.1:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"0.0.0.0:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"224.0.0.1:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"255.255.255.255:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"10.0.0.9:0","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"10.0.0.9:080","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"10.0.0.9:80:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"[::1]:80","zone":"z","state":"ready","capacity":{}} | address |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1e400}} | capacity.cpu |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"gpu":1e13}} | capacity.gpu |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":9007199254740993} | born |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":-1} | born |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":1e300} | born |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"drain_remaining_ms":1e400} | drain_remaining_ms |
            | {"backend":"b","address":"10.0.0.9:80","state":"ready","capacity":{}}                                               | zone             |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","capacity":{}}                                                    | state            |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"resting","capacity":{}}                                  | state            |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"constructor","capacity":{}}                              | state            |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready"}                                                  | capacity         |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":"many"}}                        | capacity.cpu     |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"mem_mb":-1}}                         | capacity.mem_mb  |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"labels":{"a":"r1"}}                | labels           |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"labels":"r1"}                      | labels           |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"labels":["a",3]}                   | labels[1]        |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"draining","capacity":{},"drain_remaining_ms":"soon"}     | drain_remaining_ms |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":"early"}                     | born             |
            | {"backend":"b","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{},"born":1.5}                         | born             |

    Scenario Outline: The operator's row <key> is <value>
        Then the operator's row "<key>" with '<value>' cannot be read at "<field>"

        Examples:
            | key    | value                                                                                              | field                  |
            | config | {                                                                                                  | value                  |
            | config | null                                                                                               | value                  |
            | config | {"routes":[]}                                                                                      | version                |
            | config | {"version":"7"}                                                                                    | version                |
            | config | {"version":7,"routes":{}}                                                                          | routes                 |
            | config | {"version":7,"routes":[null]}                                                                      | routes[0]              |
            | config | {"version":7,"routes":[{"host":"h","path_prefix":"/a/"}]}                                          | routes[0].backend      |
            | config | {"version":7,"routes":[{"host":"h","path_prefix":"/a/","backend":"b","timeout_ms":"long"}]}        | routes[0].timeout_ms   |
            | config | {"version":7,"routes":[{"host":"h","path_prefix":"/a/","backend":"b","advice":{"decide_ms":1}}]}   | routes[0].advice.each_ms |
            | config | {"version":7,"tenants":{"name":"north"}}                                                           | tenants                |
            | wave/3 | {"wave":3,"machines":"all"}                                                                        | machines               |
            | wave/3 | {"wave":"3","machines":[]}                                                                         | wave                   |
            | wave/3 | {"wave":3,"cap":"one"}                                                                             | cap                    |

    # Guards against a value whose text cannot be made: the decoder threw, and the watch read the whole list again for ever.
    Scenario Outline: A row whose <field> is nested 5000 deep is unreadable: <kind>
        Then a "<kind>" row whose "<field>" is nested 5000 deep cannot be read at "<at>"

        Examples:
            | kind          | field      | at         |
            | worker        | backend    | backend    |
            | worker        | state      | state      |
            | worker        | capacity   | capacity   |
            | worker        | labels     | labels[0]  |
            | worker        | address    | address    |
            | worker        | born       | born       |
            | configuration | version    | version    |
            | configuration | routes     | routes[0]  |
            | configuration | limits     | limits     |
            | wave          | machines   | machines[0] |
            | member        | address    | address    |
            | owner         | claimId    | claimId    |
            | submission    | order      | order      |
            | state         | state      | state      |
            | ended         | failure    | failure    |

    Scenario Outline: A refused start gives as its reason "<word>", a property that every object inherits
        Given a service that answers 409 with '{"clock_ms":1,"reason":"<word>"}'
        When a run is started through the adapter
        Then the adapter returns "unknown"

        Examples:
            | word        |
            | constructor |
            | toString    |
            | __proto__   |

    # Guards against a single unreadable row that stops updates of the worker list for as long as it is stored: nothing was started.
    Scenario Outline: Jobs complete although <what> cannot be read
        Given a cell of 3 daemons and 4 workers
        When another writer leaves <what> that cannot be read
        And the fault "owner killed" comes
        And the shard runs for 1000 ms
        And 6 jobs of steps "2, 1 after 0" are submitted
        Then all jobs are "completed" within 10000 ms
        And an unreadable row was logged once by each owner or daemon that read it
        And no promise was broken

        Examples:
            | what                 |
            | a worker             |
            | a configuration      |
            | a wave               |
            | a daemon             |
            | an owner             |
            | a job                |
            | a state of a job     |
            | an ended job         |
            | the VMs of a wave    |

    Scenario: A worker whose row becomes unreadable gets no new work
        Given a cell of 3 daemons and 2 workers
        When another writer leaves a row of the first worker that cannot be read
        And the shard runs for 1000 ms
        And 4 jobs of steps "2" are submitted
        Then all jobs are "completed" within 10000 ms
        And the first worker has started nothing

    Scenario Outline: A mutated <kind> row is decoded or reported as unreadable, seed <seed>
        Then 3000 mutations of a "<kind>" row with seed <seed> throw nothing and give well-formed entries only

        Examples:
            | kind          | seed |
            | worker        | 1    |
            | configuration | 2    |
            | wave          | 3    |
            | member        | 4    |
            | owner         | 5    |
            | submission    | 6    |
            | state         | 7    |
            | ended         | 8    |
