Feature: Callers that exhaust a daemon

    # Guards against callers that nobody controls who end a daemon, or keep it from answering others. Seen on daemons with a
    # heap of 200 MB: many bodies that stop short of their end, bodies in very small chunks and bodies that parse into many
    # objects ended the process; requests whose answers are not read, and half request lines, kept it from answering. See
    # docs/incidents/out-of-memory-callers.md.
    Scenario Outline: <callers> bodies of <size> of <content>, sent <framing>, <end>
        Given a daemon of the users' platform with 250 MB of memory and 4100 descriptors
        When <callers> callers each send "<size>" of "<content>" "<framing>", "<end>", and stay
        Then an ordinary caller is answered
        When the crowd leaves
        Then an ordinary caller is answered
        And the crowd got no answers but refusals
        And no job of the crowd exists
        And the process has lived and stayed within its limits

        Examples:
            | callers | size    | content          | framing             | end                   |
            | 700     | 256 KiB | a job and spaces | at once             | without its last byte |
            | 700     | 256 KiB | a job and spaces | in pieces of 1 kB   | without its last byte |
            | 700     | 256 KiB | a job and spaces | as one chunk        | without its last byte |
            | 60      | 256 KiB | a job and spaces | in chunks of 1 byte | without its last byte |
            | 40      | 4 MiB   | a job and spaces | at once             | without its last byte |
            | 3       | 4 MiB   | a job and spaces | in chunks of 1 byte | whole                 |
            | 30      | 30 MB   | a job and spaces | as part of 1 GB     | without its last byte |
            | 60      | 30 MB   | a job and spaces | in chunks of 64 KiB | whole                 |
            | 30      | 4 MiB   | empty arrays     | at once             | whole                 |
            | 30      | 4 MiB   | short keys       | at once             | whole                 |
            | 30      | 256 KiB | empty arrays     | at once             | whole                 |
            | 30      | 256 KiB | short keys       | at once             | whole                 |

    # Guards against answers that are collected for a caller that does not read them, and a connection served before others.
    Scenario: 20000 requests in a row on one connection whose answers are not read, 60 times
        Given a daemon of the users' platform with 250 MB of memory and 4100 descriptors
        When 60 callers each send 20000 requests in a row, read no answers and stay
        Then an ordinary caller is answered
        When the crowd leaves
        Then an ordinary caller is answered
        And the process has lived and stayed within its limits

    # Guards against callers' connections that leave the daemon no descriptor for its calls to the store and the workers.
    Scenario: Half request lines on more connections than the process may have descriptors
        Given a daemon of the users' platform with 250 MB of memory and 400 descriptors
        When 600 callers each send half a request line and stay
        Then an ordinary caller is answered
        When the crowd leaves
        Then an ordinary caller is answered
        And the crowd got no answers but refusals
        And the daemon has claimed the shard once
        And the process has lived and stayed within its limits

    # Guards against a stop that waits for the end of a body that never comes, until the process is killed.
    Scenario: A daemon that is told to stop does not wait for a body that stops short
        Given a daemon of the users' platform with 250 MB of memory and 4100 descriptors
        When 1 callers each send "256 KiB" of "a job and spaces" "at once", "without its last byte", and stay
        Then the process ends by itself after SIGTERM

    # Guards against limits that refuse what the operator's limits allow.
    Scenario Outline: A single body within the limits is accepted, sent <framing>
        Given a daemon of the users' platform with 250 MB of memory and 4100 descriptors
        Then a single body of 262000 bytes, "<framing>", is answered with 200
        And the process has lived and stayed within its limits

        Examples:
            | framing             |
            | at once             |
            | in chunks of 1 byte |

    # Guards against an owner that renews no leases while it serves such callers. A lease lasts for at most 10 s.
    Scenario: A crowd of bodies that stop short does not end a running task
        Given a daemon of the users' platform with 250 MB of memory and 4100 descriptors
        And a job of 12000 ms that runs
        When 700 callers each send "256 KiB" of "a job and spaces" "at once", "without its last byte", and stay
        Then an ordinary caller is answered
        And the job is completed by its only run
        When the crowd leaves
        Then an ordinary caller is answered
        And the daemon has claimed the shard once
        And the process has lived and stayed within its limits
