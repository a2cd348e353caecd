Feature: The platform's table, objects and list of VMs

    Scenario Outline: A transaction through the <adapter> adapter under the fault "<fault>"
        Given a platform behind the "<adapter>" adapter
        And the table has the fault "<fault>"
        When a row "k" is put on condition that it is absent
        Then the outcome is "<outcome>"
        And the row "k" is then "<row>"

        Examples:
            | adapter | fault     | outcome   | row     |
            | direct  | none      | committed | present |
            | direct  | refuse    | refused   | absent  |
            | direct  | hang      | unknown   | absent  |
            | direct  | loseReply | unknown   | present |
            | direct  | slow      | committed | present |
            | http    | none      | committed | present |
            | http    | refuse    | refused   | absent  |
            | http    | loseReply | unknown   | present |
            | http    | hang      | unknown   | absent  |

    Scenario Outline: Conditional writes through the <adapter> adapter
        Given a platform behind the "<adapter>" adapter
        When a row "k" is put on condition that it is absent
        And a row "k" is put on condition that it is absent
        Then the outcome is "conflict"
        When a row "k" is put on condition of its version
        Then the outcome is "committed"
        And a scan of "k" finds 1 row

        Examples:
            | adapter |
            | direct  |
            | http    |

    Scenario Outline: Objects through the <adapter> adapter
        Given a platform behind the "<adapter>" adapter
        When the object "a/b c" is put with the body "photo"
        Then the object "a/b c" reads "photo"
        And the object "missing" is not there
        When the object "a/b c" is deleted
        Then the object "a/b c" is not there

        Examples:
            | adapter |
            | direct  |
            | http    |

    Scenario: The platform enforces its limits on writes and reads
        Given a platform that allows 3 writes and 5 reads a second
        When 5 rows are written at once
        Then 3 writes are committed and 2 are refused
        When 8 rows are read at once
        Then 5 reads are answered and 3 are unavailable

    Scenario: The list of VMs shows changes after a delay
        Given a platform behind the "direct" adapter
        When the VM "vm-1" is added
        Then the list does not show "vm-1" yet
        When 2000 ms pass
        Then the list shows "vm-1"
        When the VM "vm-1" is removed
        Then the list shows "vm-1"
        When 2000 ms pass
        Then the list does not show "vm-1" any more
