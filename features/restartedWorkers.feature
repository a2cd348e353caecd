Feature: Workers that start again under their IDs

    # Users saw tasks run a second time that had ended, and others that never ran though the workers had room. Their workers had
    # crashed and started again, under the IDs that they had, within a second: what such a worker ends is numbered from 1
    # again. The owner kept by the ID up to which number it had taken ends, and up to which they were durable. It passed the first
    # ends of the new life over; they stayed listed, so that their runs counted as live, and what waited for them stood. Once a
    # higher number was acknowledged, the worker forgot them all: their runs were then neither at work nor ended, taken for
    # gone and started again. The owner's lines showed it: no "runEnded" for 17 tasks of a step that had run to their ends, then
    # "runGone" for all 17 within 17 ms of the worker's 18th end, and no line about the crash but "workerSilent".
    Scenario Outline: What has ended on a worker that started again is not started again
        Given a cell of 3 daemons and 4 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 4 workers crash of themselves 1 times, 1500 ms apart
        And 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 20000 ms
        And no promise was broken

        Examples:
            | ms   |
            | 50   |
            | 600  |
            | 3300 |
            | 7000 |

    Scenario Outline: Accepted work goes on where a worker that started again ends less than it had ended before
        Given a cell of 3 daemons and 2 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 2 workers crash of themselves 1 times, 4000 ms apart
        And 1 jobs of steps "<steps>" are submitted
        Then all jobs are "completed" within 8000 ms
        And no promise was broken

        Examples:
            | ms   | steps        |
            | 50   | 1            |
            | 600  | 2, 1 after 0 |
            | 3300 | 2, 1 after 0 |

    # What crashes its workers was started on and on again: an answer under the same ID counted as proof that none had crashed, a
    # worker that was listed again had no former life, and a successor took the runs of the life before for runs of this one.
    Scenario Outline: A task that crashes its workers is given up where these start again under their IDs, after "<fault>"
        Given a cell of 4 daemons and 8 workers that start again under their IDs <ms> ms after a crash
        When 2 crashing jobs of steps "1 crashing" are submitted
        And 2 crashing jobs of steps "2 speculative first crashing" are submitted
        And 4 jobs of steps "3, 4 after 0" are submitted
        And the fault "<fault>" comes at each crash for <for> ms, in the first 30000 ms
        Then the crashing jobs are "failed" within 15000 ms
        And all jobs are "completed" within 15000 ms
        And no job was shown as failed and then as anything else
        And no promise was broken

        Examples:
            | fault                      | for  | ms   |
            | feeds go silent            | 100  | 600  |
            | owner killed               | 600  | 600  |
            | owner killed               | 4000 | 3300 |
            | all killed                 | 1500 | 600  |
            | all killed                 | 1500 | 7000 |
            | store hangs                | 1500 | 600  |
            | workers not listed         | 9000 | 7000 |
            | owner cut from the workers | 1500 | 600  |

    # A worker that stays away for longer than its lease is known to have crashed only once it is back. Its crash counted for nothing
    # where the owner had changed meanwhile, and the task was started once more each time.
    Scenario Outline: A crash that shows after a change of owner is counted, workers back after <ms> ms
        Given a cell of 4 daemons and 8 workers that start again under their IDs <ms> ms after a crash
        When 1 crashing job of steps "1 crashing" is submitted
        And the shard runs for 6500 ms
        And the fault "owner killed" comes
        Then the crashing job is "failed" within 40000 ms
        And it has taken 3 workers down at most
        And no promise was broken

        Examples:
            | ms   |
            | 7000 |
            | 8000 |

    # A wave of upkeep stood with its first VMs for down: they had come back under the IDs that their workers had before.
    Scenario: Workers that have had their upkeep take tasks again under their IDs, and the wave goes on
        Given a cell of 3 daemons and 4 workers that start again under their IDs 600 ms after a crash
        When the operator asks for upkeep of 4 VMs, 2 at once, within 20000 ms
        Then the wave is shown as "completed" within 20000 ms
        When the shard runs for 4000 ms
        And 6 jobs of steps "4" are submitted
        Then all jobs are "completed" within 8000 ms
        And each of the 4 VMs had its upkeep once, with 2 down at once at the most
        And no promise was broken

    Scenario Outline: A wave outlasts the fault "<fault>" where VMs are back under the IDs of their workers
        Given a cell of 4 daemons and 6 workers that start again under their IDs 600 ms after a crash
        When 4 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 2500 ms
        And the operator asks for upkeep of 6 VMs, 2 at once, within 30000 ms
        And the shard runs for 500 ms
        And the fault "<fault>" comes
        And the shard runs for 9000 ms
        And the fault goes
        Then the wave is shown as "completed" within 50000 ms
        And each of the 6 VMs had its upkeep once, with 2 down at once at the most
        And all jobs are "completed" within 20000 ms
        And no promise was broken

        Examples:
            | fault                             |
            | upkeep orders late                |
            | VMs not listed                    |
            | owner killed                      |
            | all killed                        |
            | store hangs                       |
            | feeds go silent                   |
            | half of the workers crash and are back |

    # Its entry in the list is that of the life before until its first heartbeat.
    Scenario: A worker that starts again with less room is not started on with the room that it had
        Given a cell of 3 daemons and 3 workers that start again under their IDs 100 ms after a crash, with 2 cores
        When 8 jobs of steps "3 for 800 ms" are submitted
        And the shard runs for 700 ms
        And 2 workers crash of themselves 2 times, 2000 ms apart
        And 8 jobs of steps "3 for 800 ms" are submitted
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

    # A look that meets the next life would make it forget ends that nobody has read.
    Scenario: Ends are acknowledged right after an answer only, and once
        When ends up to 57 are durable and looks are "answered, lost, lost, answered, answered, answered"
        Then they acknowledge "0, 57, 0, 0, 57, 0"

    # A stop that makes the next life refuse a late start takes the way that made the start late, and came seconds after it: tasks
    # were started again after their ends had been acknowledged.
    Scenario: What was sent before a look was lost is refused by whichever life takes the next look
        When looks are "answered, lost, answered, lost, lost, answered" and the owner commits before each
        Then the tokens sent are "7, 7, 9, 9, 11, 12"

    Scenario Outline: An order that was overtaken by a look of the same owner is sent again, and the owner <what> the shard
        When a start is refused as fenced after a look was lost, and the owner's newest token is <newest>
        Then the tokens sent are "<tokens>"
        And the owner <what> the shard

        Examples:
            | newest | tokens | what  |
            | 8      | 7, 8   | keeps |
            | 7      | 7      | loses |

    # Each copy of a start that came late could be carried out by another incarnation of its worker: tasks ran again after their ends
    # had been acknowledged, and crashing ones took one incarnation down after the other.
    Scenario: A start that gets no answer is sent once, and a look under the next token settles it
        When a start gets no answer from a worker that answers looks, and the owner commits then
        Then what is sent is "start 7, look 8, look 8"

    # A slow worker that answers after 150 ms would get one start at a time, some pauses apart, though it carries all of them out.
    Scenario: A worker whose look lists a start without an answer has lost no order
        When a start got no answer, and the next look lists its run
        Then the worker takes any number of starts again

    # A life that was back before a look could fail got one with the token of all that had been sent before, and answered it after 1 s.
    Scenario Outline: A look after <ms> ms without one carries the tokens "<tokens>"
        When the ends of a look take <ms> ms to be durable and the owner commits meanwhile
        Then the tokens sent are "<tokens>"

        Examples:
            | ms  | tokens  |
            | 8   | 7, 7, 7 |
            | 200 | 7, 8, 9 |

    # Orders came within 0.1 s of a life's beginning and 0.1 s before the owner's next look.
    Scenario Outline: A worker that was down for <ms> ms is soon looked at where <starts> orders may be under way to it
        When a worker is down for <ms> ms, and <starts> starts there got no answer
        Then a look reaches its next incarnation within <within> ms

        Examples:
            | ms    | starts | within |
            | 90    | 1      | 50     |
            | 590   | 1      | 50     |
            | 3290  | 2      | 50     |
            | 590   | 0      | 250    |
            | 15290 | 1      | 250    |

    # A successor looked at such a worker each 250 ms, and orders of its predecessor were carried out in between.
    Scenario Outline: A worker that was down for <ms> ms is soon looked at where orders of a former owner may be under way to it
        When a worker is down for <ms> ms that has a former owner's run which no look has shown
        Then a look reaches its next incarnation within 10 ms

        Examples:
            | ms  |
            | 95  |
            | 595 |

    # Tickets hold for one life of a worker. Each start that showed one of the life before was refused, and placed a second time.
    Scenario: No start shows the ticket of a life that is over
        Given a cell of 3 daemons and 4 workers that check tickets and start again under their IDs 200 ms after a crash
        When 8 jobs of steps "3, 40 after 0" are submitted
        And the shard runs for 1500 ms
        And 4 workers crash of themselves 1 times, 3000 ms apart
        Then all jobs are "completed" within 60000 ms
        And no start was refused for its ticket
        And no promise was broken

    # Crashes of many workers at one moment speak for a cause outside of any task. A worker that was back had never fallen, in the
    # eyes of those that came back after it.
    Scenario Outline: Workers that crash of themselves cost no sound job its life where they start again under their IDs
        Given a cell of 3 daemons and 16 workers that start again under their IDs <ms> ms after a crash
        When 30 jobs of steps "<steps>" are submitted
        And the shard runs for 300 ms
        And <count> workers crash of themselves <rounds> times, <apart> ms apart
        Then all jobs are "<state>" within 40000 ms
        And no job was given up
        And no promise was broken

        Examples:
            | ms   | steps          | state     | count | rounds | apart |
            | 600  | 3, 4 after 0   | completed | 12    | 2      | 1500  |
            | 600  | 3, 4 after 0   | completed | 6     | 4      | 4000  |
            | 3300 | 2 long running | running   | 12    | 4      | 6000  |
            | 600  | 2 long running | running   | 12    | 3      | 2000  |
            | 600  | 2 long running | running   | 6     | 3      | 1500  |
            | 1500 | 2 long running | running   | 9     | 3      | 3000  |
            | 50   | 2 long running | running   | 12    | 3      | 1500  |
            | 50   | 2 long running | running   | 5     | 4      | 1000  |
            | 2500 | 4 long running | running   | 8     | 3      | 3000  |
            | 50   | 1 of 8 cores   | completed | 6     | 3      | 4000  |
