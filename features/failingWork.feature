Feature: Work in the background that fails ends nothing else

    # Guards against a list that is read again for ever, and never past the row, because one row makes its handler throw.
    Scenario: A row whose handler throws stops neither the other rows nor the watch
        When a table is watched in which the handler of the row "odd" throws
        Then the rows "first, last, later" have been handled and the table was read once
        And 1 line names the row "odd"

    # Guards against daemons that no longer follow the list of executors after another writer has left an odd entry in it.
    Scenario Outline: The list of executors is followed on before, beside and after an entry with <what>
        When the list of executors is watched while another writer leaves an entry with <what>
        Then the entries before, beside and after it are followed
        And the odd entry is left out and reported once

        Examples:
            | what                            |
            | a backend nested 5000 deep      |
            | an address nested 5000 deep     |
            | a capacity of 1e400             |
            | a start at 1e300                |
            | the address 999.999.999.999:80  |
            | the address 10.0.0.9:70000      |
            | the address 010.0.0.9:80        |

    # Guards against an owner that stays in its settling state, since one worker counts as neither silent nor known.
    Scenario Outline: A worker at which <what> keeps its owner neither from knowing the others nor from its shard
        When an owner of 4 workers looks at one at which <what>
        Then it knows the runs of the others within 1000 ms
        And the worker counts as silent, and none of its ends is acknowledged

        Examples:
            | what                     |
            | the call of a look fails |
            | the ends cannot be read  |

    Scenario: A job that cannot be encoded is set aside, and the others are committed
        When jobs are committed of which "odd" cannot be encoded
        Then 3 jobs are durable, "odd" is set aside and the shard was given up 0 times

    # Guards against a shard whose changes are never written again while its owner goes on.
    Scenario: An owner whose commits have failed gives the shard up
        When jobs are committed to a store whose calls fail
        Then 0 jobs are durable, "" is set aside and the shard was given up 1 times

    # Guards against a daemon that takes over what is no owner, and fails in each round from then on.
    Scenario: What a peer sends in place of an owner is no owner
        Then a peer that names 'null' as the owner names none
        And a peer that names '{"version":9}' as the owner names none
        And a peer that names '{"row":{"memberId":"entry-1"},"version":9}' as the owner names none
