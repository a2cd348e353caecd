Feature: The adapter to the users' platform

    Scenario Outline: A worker answers a start with <status> <body>
        Given a service that answers <status> with '<body>'
        When a run is started through the adapter
        Then the adapter returns "<outcome>"
        And the service was sent a "POST" to "/-/run-start" with '{"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"plan","deadline_ms":9000,"fencing_token":7,"ticket":"t"}'
        And the header "x-expected-instance" was "i-1"

        Examples:
            | status | body                                | outcome   |
            | 200    | {"clock_ms":1}                      | done      |
            | 409    | {"clock_ms":1,"reason":"fence"}     | fenced    |
            | 409    | {"clock_ms":1,"reason":"old"}       | stale     |
            | 409    | {"clock_ms":1,"reason":"late"}      | late      |
            | 409    | {"clock_ms":1,"reason":"room"}      | noRoom    |
            | 409    | {"clock_ms":1,"reason":"ticket"}    | badTicket |
            | 409    | {"clock_ms":1,"reason":"something"} | unknown   |
            | 400    | {}                                  | invalid   |
            | 421    | {}                                  | otherIncarnation |
            | 429    | {}                                  | unhealthy |
            | 503    | {}                                  | unhealthy |
            | 500    | {}                                  | unknown   |

    Scenario Outline: The platform answers an upkeep order with <status> <body>
        Given a service that answers <status> with '<body>'
        When the upkeep of a VM is ordered through the adapter
        Then the adapter returns "<outcome>"
        And the service was sent a "POST" to "/-/machine-upkeep" with '{"machine":"m-1","wave":3}'
        And the header "x-fencing-token" was "7"
        And the header "x-lease-holder" was "entry-1/5"

        Examples:
            | status | body                   | outcome |
            | 200    | {}                     | done    |
            | 409    | {"reason":"fence"}     | fenced  |
            | 409    | {"reason":"busy"}      | busy    |
            | 409    | {"reason":"wave"}      | invalid |
            | 409    | {"reason":"something"} | unknown |
            | 400    | {}                     | invalid |
            | 429    | {}                     | refused |
            | 503    | {}                     | refused |
            | 500    | {}                     | unknown |

    Scenario: An upkeep order without an answer may have been carried out
        Given a service that closes every connection
        When the upkeep of a VM is ordered through the adapter
        Then the adapter returns "unknown"

    Scenario Outline: The platform's list of machines is answered with <status> <body>
        Given a service that answers <status> with '<body>'
        When the VMs are listed through the adapter
        Then the adapter returns '<listed>'

        Examples:
            | status | body                                                                                         | listed                                                                                               |
            | 200    | {"machines":[{"machine":"m-1","state":"up","id":"i-1"},{"machine":"m-2","state":"upkeep"}]} | [{"vmId":"m-1","state":"up","workerId":"i-1"},{"vmId":"m-2","state":"upkeep","workerId":""}] |
            | 200    | {"machines":[{"machine":"m-1","state":"new","id":"i-1"}]}                                   | [{"vmId":"m-1","state":"down","workerId":"i-1"}]                                                     |
            | 200    | {"machines":{}}                                                                              | unavailable |
            | 200    |                                                                                              | unavailable |
            | 200    | {"machines":[],"next_token":"m-9"}                                                           | unavailable |
            | 503    | {}                                                                                           | unavailable                                                                                          |

    Scenario: Waves of upkeep among the operator's rows
        Then the wave in the operator's row "wave/3" with '{"wave":3,"machines":["m-1"],"deadline_s":20,"cap":2}' is '{"number":3,"vmIds":["m-1"],"deadlineMs":20000,"atOnce":2}'
        And the wave in the operator's row "config" with '{"version":1}' is "none"
        And the operator reads the state of wave 3 in '{"table":"status","part":"","key":"wave/3","value":"{\\"wave\\":3,\\"state\\":\\"completed\\"}"}'

    Scenario: A start whose connection is closed without an answer may have been carried out
        Given a service that closes every connection
        When a run is started through the adapter
        Then the adapter returns "unknown"

    # Guards against an owner that waits for seconds for a start which it never sent. A refused connection is a fault of the worker, and stays one.
    Scenario: A start that found no free connection in time was not sent, and never is
        Given a service that answers no call
        When a run is started through the adapter while another start holds the only connection
        Then the adapter returns "notSent"
        And the other start is "unknown"
        And the service was sent the starts of runs "2, 4"

    Scenario: A stop that found no free connection in time is repeated like any other without an answer
        Given a service that answers no call
        When a run is stopped through the adapter while another call holds the only connection
        Then the adapter returns "unknown"

    Scenario: A start to a worker that does not listen may have been carried out, for all that the adapter tells
        Given a service that does not listen
        When a run is started through the adapter
        Then the adapter returns "unknown"

    # Guards against an owner on a thin link of which each late answer costs a connection, until handshakes fill the link.
    Scenario: Stops at a worker that answers late open no connection each
        Given a service that answers each call after 400 ms
        When 20 stops that may take 100 ms are sent through the adapter, one after the other
        Then at most 6 connections were opened to it

    # Guards against an exception in place of an answer, which ended all that followed the worker.
    Scenario Outline: A worker whose address <address> or id <id> cannot be used leaves its calls without an answer
        Given a service that cannot be called at "<address>"
        When a run is started through the adapter at worker '<id>'
        Then the adapter returns "unknown"

        Examples:
            | address            | id    |
            | 999.999.999.999:80 | i-1   |
            | here               | i-1   |
            | 127.0.0.1:70000    | i-1   |
            | 127.0.0.1:9        | i-\n1 |
            | 127.0.0.1:9        | i-é€  |

    Scenario: Each element of the rows in a look is decoded into its field
        Given a service that answers 200 with '{"clock_ms":5,"running":[["a.0.0.0",2,"saved",40,1300]],"ended":[[58,"a.0.0.9",1,"done",""]]}'
        When a worker is looked at through the adapter
        Then the decoded look is '{"outcome":"done","clockMs":5,"running":[{"taskName":"a.0.0.0","run":2,"checkpoint":"saved","percent":40,"figure":1300}],"ended":[{"endNumber":58,"taskName":"a.0.0.9","run":1,"how":"done","checkpoint":""}]}'
        And the service was sent a "POST" to "/-/hold" with '{"fencing_token":7,"seen_upto":57,"deadline_ms":9000,"wait_ms":100}'

    Scenario Outline: A look holds when the answering incarnation of the worker began, if the platform sends it: <born>
        Given a service that answers 200 with '{"clock_ms":5,"born":<born>,"running":[],"ended":[]}'
        When a worker is looked at through the adapter
        Then the decoded look is '{"outcome":"done","clockMs":5,<decoded>"running":[],"ended":[]}'

        Examples:
            | born          | decoded                    |
            | 1768565282669 | "bornAtMs":1768565282669,  |
            | null          |                            |

    # Guards against an owner that takes such an answer for proof that all runs of the worker are gone, and starts their tasks again.
    Scenario Outline: An answer that is not a look counts as unanswered: <body>
        Given a service that answers 200 with '<body>'
        When a worker is looked at through the adapter
        Then the decoded look is '{"outcome":"unknown"}'

        Examples:
            | body                                                                              |
            |                                                                                   |
            | 7                                                                                 |
            | {}                                                                                |
            | {"clock_ms":5,"running":[]}                                                       |
            | {"clock_ms":5,"running":{},"ended":[]}                                            |
            | {"running":[],"ended":[]}                                                         |
            | {"clock_ms":"5","running":[],"ended":[]}                                          |
            | {"clock_ms":-1,"running":[],"ended":[]}                                           |
            | {"clock_ms":1e300,"running":[],"ended":[]}                                        |
            | {"clock_ms":5,"born":"early","running":[],"ended":[]}                             |
            | {"clock_ms":5,"born":1.5,"running":[],"ended":[]}                                 |
            | {"clock_ms":5,"running":[["a.0.0.0",2,"",40],null],"ended":[]}                    |
            | {"clock_ms":5,"running":[["a.0.0.0",2.5,"",40]],"ended":[]}                       |
            | {"clock_ms":5,"running":[["a.0.0.0",1e300,"",40]],"ended":[]}                     |
            | {"clock_ms":5,"running":[["a.0.0.0",2,[[]],40]],"ended":[]}                       |
            | {"clock_ms":5,"running":[["a.0.0.0",2,"",40,1e400]],"ended":[]}                   |
            | {"clock_ms":5,"running":[],"ended":[[58,"a.0.0.9",1,"done",""],[59]]}             |
            | {"clock_ms":5,"running":[],"ended":[[1e300,"a.0.0.9",1,"done",""]]}               |
            | {"clock_ms":5,"running":[],"ended":[[58,7,1,"done",""]]}                          |
            | {"clock_ms":5,"running":[],"ended":[[58,"a.0.0.9",1,"done",{}]]}                  |

    Scenario Outline: A body with status 200 that is not an answer, as <call>: <body>
        Given a service that answers 200 with '<body>'
        When <call> through the adapter
        Then the adapter returns "<outcome>"

        Examples:
            | call                              | body                                                    | outcome     |
            | a row is written                  |                                                         | unknown     |
            | a row is written                  | {"schema_ver":1e300}                                    | unknown     |
            | the rows of a table are read      |                                                         | unavailable |
            | the rows of a table are read      | {"rows":{},"schema_ver":9}                              | unavailable |
            | the rows of a table are read      | {"rows":[null],"schema_ver":9}                          | unavailable |
            | the rows of a table are read      | {"rows":[{"table":"t","key":7,"schema_ver":9}],"schema_ver":9} | unavailable |
            | the rows of a table are read      | {"rows":[],"has_more":true,"schema_ver":9}              | unavailable |
            | the rows of a table are read      | {"rows":[],"schema_ver":9}                              | 0 rows      |
            | the advisor is asked              |                                                         | unavailable |
            | the advisor is asked              | {"good":{},"valid_ms":5}                                | unavailable |
            | the advisor is asked              | {"good":[["i-1","t"],["i-2"],7],"valid_ms":5}           | i-1         |

    Scenario: A refusal whose reason is nested 20000 deep may have been carried out
        Given a service that answers 409 with a reason nested 20000 deep
        When a run is started through the adapter
        Then the adapter returns "unknown"

    Scenario Outline: The store answers a transaction with <status>
        Given a service that answers <status> with '<body>'
        When a row is written through the adapter
        Then the adapter returns "<outcome>"
        And the service was sent a "POST" to "/-/rows-tx" with '{"expect":[{"table":"t","part":"p","key":"k","schema_ver":3}],"puts":[{"table":"t","part":"p","key":"k","value":"eyJhIjoxfQ=="}],"remove":[]}'

        Examples:
            | status | body                                                                                         | outcome   |
            | 200    | {"schema_ver":9,"now_ms":1}                                                                  | committed |
            | 412    | {}                                                                                           | unknown   |
            | 412    | {"rows":[{"table":"t","part":"p","key":"k","value":"e30=","schema_ver":4}],"schema_ver":9}  | conflict  |
            | 400    | {}                                                                                           | rejected  |
            | 413    | {}                                                                                           | rejected  |
            | 429    | {}                                                                                           | refused   |
            | 503    | {}                                                                                           | refused   |
            | 507    | {}                                                                                           | refused   |

    Scenario: A refusal that is nested 20000 deep is a refusal
        Given a service that answers 400 with a body nested 20000 deep
        When a row is written through the adapter
        Then the adapter returns "rejected"

    Scenario: A transaction whose answer is lost may have taken effect
        Given a service that closes every connection
        When a row is written through the adapter
        Then the adapter returns "unknown"

    Scenario: A transaction that could not connect to the store had no effect
        Given a service that does not listen
        When a row is written through the adapter
        Then the adapter returns "refused"

    Scenario: A feed reports that its history is lost
        Given a service that answers 410 with '{}'
        When the changes of a table are read through the adapter
        Then the adapter returns "historyLost"

    Scenario: The operator's configuration and an executor's entry are decoded
        When the operator's row is '{"version":7,"routes":[{"name":"r","host":"nony24.example","path_prefix":"/a/","backend":"b1","timeout_ms":3000,"priority":2,"attempts":3,"advice":{"decide_ms":20,"each_ms":1,"valid_ms":2500}}],"limits":{"max_body_bytes":1000}}'
        And an executor's row is '{"backend":"b1","address":"10.0.0.9:80","zone":"leon-feria","state":"draining","drain_remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"sequence":4,"born":1768565282669}'
        Then the configuration has version 7 and the queue "nony24.example/a/" of service "b1", priority 2, 3 attempts
        And the worker has 16000 cpuMillis, rack "r1-3", and drains with 900 ms left
        And the worker's incarnation began at 1768565282669

    Scenario Outline: A caller sends <method> <path>
        Given the API for callers of a daemon
        When a caller sends "<method>" to "<path>" with '<body>'
        Then the answer is <status> and names '<words>'

        Examples:
            | method | path                       | body                                                           | status | words                  |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[{"count":1,"cpu":500}]}                   | 200    |                        |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[]}                                        | 400    | steps                  |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[{"count":-1}]}                            | 400    | steps[0].count         |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[{"count":1e9}]}                           | 400    | steps[0].count         |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[{"count":1,"cpu":"many"}]}                | 400    | steps[0].cpu           |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":"x","steps":[{"count":1,"gang":"yes"}]}                | 400    | steps[0].gang          |
            | POST   | /plans/5c0e7a21d94b36f8    | {"spec":7,"steps":[{"count":1}]}                               | 400    | spec                   |
            | POST   | /plans/5c0e7a21d94b36f8    | {"steps":[{"count":1,"after":[0]}]}                            | 400    | steps[0].after         |
            | POST   | /plans/5c0e7a21d94b36f8    | {"steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}    | 400    | steps[0].after         |
            | POST   | /plans/5c0e7a21d94b36f8    | {"steps":[{"count":1}],"repeat_count":-2}                      | 400    | repeat_count           |
            | POST   | /plans/5c0e7a21d94b36f8    | no json                                                        | 400    | invalid                |
            | POST   | /plans/5C0E                | {"steps":[{"count":1}]}                                        | 400    | 16 hexadecimal digits  |
            | POST   | /plans/                    | {"steps":[{"count":1}]}                                        | 400    | 16 hexadecimal digits  |
            | POST   | /other/5c0e7a21d94b36f8    | {"steps":[{"count":1}]}                                        | 404    | no such queue          |
            | POST   | /plans/00000000000000ff    | {"steps":[{"count":1}]}                                        | 503    | retry_after_ms         |
            | GET    | /plans/5c0e7a21d94b36f8    |                                                                | 200    | running                |
            | GET    | /plans/00000000000000aa    |                                                                | 410    | no such job            |
            | GET    | /plans/5c0e7a21d94b36f9    |                                                                | 200    | "state":"failed","cause":"crashes","task":"5c0e7a21d94b36f9.0.0.1","count":3 |
            | GET    | /plans/                    |                                                                | 200    | "pending":3            |
            | DELETE | /plans/5c0e7a21d94b36f8    |                                                                | 200    |                        |
            | DELETE | /plans/00000000000000aa    |                                                                | 410    | no such job            |
            | PUT    | /plans/5c0e7a21d94b36f8    | {}                                                             | 405    | GET, POST, DELETE      |

    # Guards against an answer of 500 to a caller who is owed the name of the wrong field.
    Scenario Outline: A caller submits a job whose <field> is nested 5000 deep
        Given the API for callers of a daemon
        When a caller submits a job whose "<field>" is nested 5000 deep
        Then the answer is 400 and names '<at>'
        And the answer has fewer than 2000 characters

        Examples:
            | field        | at           |
            | spec         | spec         |
            | steps        | steps[0]     |
            | repeat_count | repeat_count |

    Scenario: A caller submits a job with 100,000 wrong fields
        Given the API for callers of a daemon
        When a caller submits a job whose step comes after 100000 wrong ones
        Then the answer is 400 and names 'steps[0].after[0]'
        And the answer has fewer than 20000 characters

    # Guards against calls that are carried out with a revoked or invented key.
    # The caller may have been refused by another daemon since, which promised that the job never runs.
    Scenario Outline: A caller submits a job and <then>: <submitted> jobs are submitted
        Given the API for callers of a daemon
        When a caller submits a job and <then>
        Then <submitted> jobs have been submitted

        Examples:
            | then                            | submitted |
            | waits for the answer            | 1         |
            | closes its connection at once   | 0         |

    Scenario Outline: A caller with <key> sends <method> <path>
        Given the API for callers of a daemon with organisations
        When a caller with <key> sends "<method>" to "<path>" with '<body>'
        Then the answer is <status> and names '<words>'

        Examples:
            | key               | method | path                    | body                    | status | words            |
            | the key of north  | POST   | /plans/5c0e7a21d94b36f8 | {"steps":[{"count":1}]} | 200    |                  |
            | the key of north  | GET    | /plans/5c0e7a21d94b36f8 |                         | 200    | running          |
            | the key of north  | DELETE | /plans/5c0e7a21d94b36f8 |                         | 200    |                  |
            | the key of north  | GET    | /open/5c0e7a21d94b36f8  |                         | 200    | running          |
            | no key            | POST   | /plans/5c0e7a21d94b36f8 | {"steps":[{"count":1}]} | 401    | unauthenticated  |
            | no key            | GET    | /plans/5c0e7a21d94b36f8 |                         | 401    | unauthenticated  |
            | no key            | GET    | /plans/                 |                         | 401    | unauthenticated  |
            | no key            | POST   | /open/5c0e7a21d94b36f8  | {"steps":[{"count":1}]} | 200    |                  |
            | the key ""        | POST   | /open/5c0e7a21d94b36f8  | {"steps":[{"count":1}]} | 200    |                  |
            | the key ""        | POST   | /plans/5c0e7a21d94b36f8 | {"steps":[{"count":1}]} | 401    | unauthenticated  |
            | the key "stolen"  | POST   | /plans/5c0e7a21d94b36f8 | {"steps":[{"count":1}]} | 401    | not known        |
            | the key "stolen"  | GET    | /plans/5c0e7a21d94b36f8 |                         | 401    | not known        |
            | the key "stolen"  | DELETE | /plans/5c0e7a21d94b36f8 |                         | 401    | not known        |
            | the key "stolen"  | POST   | /open/5c0e7a21d94b36f8  | {"steps":[{"count":1}]} | 401    | not known        |
            | the key "stolen"  | GET    | /other/5c0e7a21d94b36f8 |                         | 404    | no such queue    |

    Scenario: A call without a known key is refused before its body arrives
        Given the API for callers of a daemon with organisations
        When a caller without a known key sends the head of a request and no body
        Then the answer begins with "HTTP/1.1 401"

    Scenario: No part of a key is disclosed
        Given the API for callers of a daemon with organisations
        When a caller with the key "9m2jju7j7gbzf3akwe7k" sends "GET" to "/plans/5c0e7a21d94b36f8" with ''
        Then neither the answer nor the log has a part of the key "9m2jju7j7gbzf3akwe7k"

    Scenario Outline: An organisation that cannot be read leaves the others in force: <unreadable>
        When the operator's row is '{"version":7,"tenants":[{"name":"north","api_keys":["secret-1"],"weight":2,"cap":{"cpu":4000,"mem_mb":0}},<unreadable>]}'
        Then the configuration has the organisations "north" and left out "<field>"
        And the configuration holds no key as it was sent

        Examples:
            | unreadable                                        | field                  |
            | null                                              | tenants.1              |
            | 7                                                 | tenants.1              |
            | {}                                                | tenants.1.name         |
            | {"name":""}                                       | tenants.1.name         |
            | {"name":"south","api_keys":"secret-2"}            | tenants.1.api_keys     |
            | {"name":"south","api_keys":["secret-2",3]}        | tenants.1.api_keys.1   |
            | {"name":"south","cap":{"cpu":"secret-2"}}         | tenants.1.cap.cpu      |
            | {"name":"south","cap":{"cpu":-1}}                 | tenants.1.cap.cpu      |
            | {"name":"south","weight":"secret-2"}              | tenants.1.weight       |

    Scenario: A settings file with invalid fields is refused, and each field is named
        When the settings "vmId: entry-1\nhost: 10.0.0.1\npeerPorts: [1]\ncallersAddress: here" are read
        Then the refusal names "dataCentre, callersAddress, readinessAddress, peerPorts, storeAddress, metricsPort, bounds"

    Scenario: Bounds of keys and caps are checked
        When the settings "vmId: entry-1\nhost: 10.0.0.1\npeerPorts: [1, 2]\ncallersAddress: 10.0.0.1:1\nreadinessAddress: 10.0.0.1:2\ndataCentre: a\nstoreAddress: 10.0.0.2:1\nmetricsPort: 9\nbounds: {graceS: 6, leaseLimitMs: 1, stopMs: 1, statusS: 1, revokeStrict: maybe, revokeMs: 0, quotaOverage: -1, quotaSlack: few, quotaWindowS: 0}" are read
        Then the refusal names "bounds.revokeStrict, bounds.revokeMs, bounds.quotaOverage, bounds.quotaSlack, bounds.quotaWindowS"

    # Guards against a stop that waits for a request which never arrives as a whole.
    Scenario Outline: A server that closes does not wait for a caller that has sent <what>
        Given the API for callers of a daemon
        When a caller sends <what> and keeps its connection open
        Then the server closes

        Examples:
            | what                |
            | half a request line |
            | half a body         |
