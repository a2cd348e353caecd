Feature: Callers that exhaust a daemon

    # Guards against callers that nobody controls who end a daemon, take more memory or descriptors than it has, or keep it from answering
    # others; docs/incidents/out-of-memory-callers.md has what was seen.
    Scenario Outline: <callers> callers send <what>
        Given a daemon of 250 MB and <descriptors> descriptors
        When <callers> callers send "<what>"
        Then ordinary callers are answered before and after the crowd leaves
        And the crowd was only refused, and none of its jobs exists
        And the process lives, within its limits, and has claimed the shard once

        Examples:
            | callers | descriptors | what                                                  |
            | 700     | 4100        | 256 KiB without the last byte                         |
            | 700     | 4100        | 256 KiB in pieces of 1 kB, without the last byte      |
            | 700     | 4100        | 256 KiB as one chunk, without the last byte           |
            | 60      | 4100        | 256 KiB in chunks of 1 byte, without the last byte    |
            | 40      | 4100        | 4 MiB without the last byte                           |
            | 3       | 4100        | 4 MiB in chunks of 1 byte                             |
            | 30      | 4100        | 30 MB of an announced GB                              |
            | 60      | 4100        | 30 MB in chunks of 64 KiB                             |
            | 60      | 4100        | 4 MiB of empty arrays or of short keys                |
            | 60      | 4100        | 256 KiB of empty arrays or of short keys              |
            | 60      | 4100        | 20000 requests in a row, of which they read no answer |
            | 600     | 400         | half a request line                                   |

    # Guards against a stop that waits for the end of a body that never comes, until the process is killed.
    Scenario: A daemon that is told to stop does not wait for a body that stops short
        Given a daemon of 250 MB and 4100 descriptors
        When 1 callers send "256 KiB without the last byte"
        Then the process ends by itself after SIGTERM

    # Guards against limits that refuse what the operator allows.
    Scenario Outline: A single job of <what> is accepted
        Given a daemon of 250 MB and 4100 descriptors
        When 1 callers send "<what>"
        Then its caller is answered with 200, and the job exists
        And the process lives, within its limits, and has claimed the shard once

        Examples:
            | what                             |
            | 262000 bytes                     |
            | 262000 bytes in chunks of 1 byte |

    # Guards against an owner that renews no leases while it serves such callers; a lease lasts for at most 10 s.
    Scenario: A crowd of bodies that stop short does not end a running task
        Given a daemon of 250 MB and 4100 descriptors
        And a job of 12000 ms that runs
        When 700 callers send "256 KiB without the last byte"
        Then the job is completed by its only run
        And ordinary callers are answered before and after the crowd leaves
        And the process lives, within its limits, and has claimed the shard once
