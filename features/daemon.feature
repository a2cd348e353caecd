Feature: The daemon's HTTP interface and the CLI

    Background:
        Given a daemon with 2 upstreams over HTTP

    Scenario Outline: The API answers JSON requests at <path>
        When JSON "<body>" is posted to "<path>"
        Then the status is <status>
        And the answer has "<field>"

        Examples:
            | path                                                 | body                | status | field                       |
            | /puffinarch.v1.ConfigurationService/GetConfiguration | {}                  | 200    | configuration.document      |
            | /puffinarch.v1.PolicyService/ListPolicies            | {}                  | 200    | policies.0.name             |
            | /puffinarch.v1.WorkloadClassService/GetWorkloadClass | {'name':'gang'}     | 200    | workloadClass.kind          |
            | /puffinarch.v1.ClusterService/ListDaemons            | {}                  | 200    | daemons.0.daemonId          |
            | /puffinarch.v1.ClusterService/ListWorkers            | {}                  | 200    | workers.0.capacity          |
            | /puffinarch.v1.ClusterService/ListUpstreams          | {}                  | 200    | upstreams.0.slots           |
            | /puffinarch.v1.ClusterService/GetReport              | {}                  | 200    | tableReads                  |
            | /puffinarch.v1.JobService/GetJob                     | {'jobId':'missing'} | 404    | details.0.debug.kind        |
            | /puffinarch.v1.JobService/SubmitJob                  | {}                  | 400    | details.0.debug.violations  |

    Scenario Outline: The CLI runs "<command>"
        When the CLI runs "<command>"
        Then its exit code is <code>
        And its output contains "<text>"

        Examples:
            | command                                                                 | code | text                  |
            | job submit j1 --class batch --team rigging --tasks 2 --cpu-millis 100   | 0    | JOB                   |
            | policy list                                                             | 0    | bestFit               |
            | policy create tight --placement bestFit --author ana                    | 0    | version 1 is accepted |
            | policy create pack --placement bestFit --author ana                     | 4    | alreadyExists         |
            | class get batch --json                                                  | 0    | WORKLOAD_KIND_BATCH   |
            | config get                                                              | 0    | workloadClasses       |
            | config status                                                           | 0    | IN FORCE SINCE        |
            | config history                                                          | 0    | VERSION               |
            | worker list                                                             | 0    | live                  |
            | upstream list                                                           | 0    | mesa-comun            |
            | daemon list --json                                                      | 0    | daemonId              |
            | quota set rigging --cpu-millis 4000 --memory-mib 4096 --author ana      | 0    | version 1 is accepted |
            | quota get nobody                                                        | 3    | notFound              |
            | decision list                                                           | 0    | REASON                |
            | report                                                                  | 0    | packing               |
            | explain missing/0                                                       | 3    | notFound              |
            | log-level debug                                                         | 0    | and is debug          |
            | job list --endpoint http://127.0.0.1:1                                  | 0    | JOB                   |

    Scenario: A job is submitted, watched and explained through the CLI
        When the CLI runs "job submit j1 --class batch --team rigging --cpu-millis 100"
        And the CLI runs "job watch j1"
        Then its output contains "1 completed"
        When the CLI runs "job result j1/0"
        Then its output contains "j1/0 done"
        When the CLI runs "explain j1/0"
        Then its output contains "among workers with room"

    Scenario: Health, readiness and metrics
        Then "/healthz" answers 200
        And "/readyz" answers 200
        And "/metrics" answers 200 with "puffinarch_table_reads_total"

    Scenario: Each decision is logged
        When an idempotent request "r1" is sent
        Then the log has a decision on "r1" with its requester, kind, choice, reason, duration and number of alternatives
