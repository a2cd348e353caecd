Feature: Invalid input is refused with an error that names the field, and has no effect

    Scenario Outline: Settings with <case>
        When a daemon is given settings with <case>
        Then the error names line <line>, field "<field>" and "<allowed>"

        Examples:
            | case                          | line | field                              | allowed                    |
            | no vmId                       | 1    | vmId                               | 1 to 128 characters        |
            | a vmId of "a b"               | 1    | vmId                               | 1 to 128 characters        |
            | a port of 70000               | 3    | listen.port                        | 0 to 65535                 |
            | a host name instead of an IP  | 3    | listen.host                        | an IP number               |
            | a platform address of "x"     | 4    | platformAddress                    | an http URL                |
            | an unknown field "colour"     | 5    | colour                             | no such field              |
            | a log level of "loud"         | 5    | logLevel                           | one of error, warn, info   |
            | a lease of -1 ms              | 5    | timings.leaseMs                    | a whole number from 1      |
            | a lease shorter than polls    | 5    | timings.leaseMs                    | at least three times       |
            | a grace below the validity    | 5    | timings.deathGraceMs               | more than startValidityMs  |
            | text that is not YAML         | 1    | file                               | well-formed YAML           |

    Scenario Outline: A job submitted with <case>
        Given a cell
        When a job is submitted with <case>
        Then the last answer is "invalid"
        And the last answer names the field "<field>"
        And the table holds no job

        Examples:
            | case                      | field               |
            | an empty id               | jobId               |
            | an id of "../x"           | jobId               |
            | no tasks                  | tasks               |
            | 10001 tasks               | tasks               |
            | 1.5 tasks                 | tasks               |
            | 0 cpuMillis a task        | taskSize.cpuMillis  |
            | -1 memoryMib a task       | taskSize.memoryMib  |
            | an unknown class          | workloadClass       |
            | a payload of 20000 bytes  | payload             |
            | an unknown field          | colour              |

    Scenario Outline: The CLI with <args>
        When the CLI runs "<args>" without a daemon
        Then its exit code is 2
        And its output contains "<text>"

        Examples:
            | args                                                                            | text                            |
            | job submit --class batch --team t                                               | missing required argument       |
            | job submit j1 --team t                                                          | required option                 |
            | job submit j1 --class c --team t --tasks x --endpoint http://127.0.0.1:1        | allowed: a whole number         |
            | job list                                                                        | at least one URL                |
            | job list --endpoint ftp://x                                                     | an http or https URL            |
            | job list --endpoint http://127.0.0.1:1 --timeout-ms 0                           | a whole number of milliseconds  |
            | config apply missing.yaml --endpoint http://127.0.0.1:1                         | a readable file                 |
            | nonsense                                                                        | unknown command                 |
