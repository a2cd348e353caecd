Feature: Workers that start again under their IDs

    # Guards against confusing the ends listed by two incarnations of a worker. A worker that starts again under its ID
    # numbers its ends from 1 again. If the owner keeps the acknowledged end number by worker ID, it skips the first ends of
    # the new incarnation: their runs count as live, and whatever waits for them never runs. Once a higher number is
    # acknowledged, the worker forgets all these ends, and the owner takes the runs for gone and starts the tasks a second
    # time.
    Scenario Outline: Tasks that have ended on a restarted worker are not started again, workers back after <ms> ms
        Given a cell of 3 daemons and 4 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 4 workers crash on their own 1 times, 1500 ms apart
        And 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 20000 ms
        And no promise was broken

        Examples:
            | ms   |
            | 50   |
            | 600  |
            | 3300 |
            | 7000 |

    Scenario Outline: Jobs complete when a restarted worker ends fewer runs than before, back after <ms> ms, steps "<steps>"
        Given a cell of 3 daemons and 2 workers that start again under their IDs <ms> ms after a crash
        When 12 jobs of steps "3" are submitted
        Then all jobs are "completed" within 8000 ms
        When 2 workers crash on their own 1 times, 4000 ms apart
        And 1 jobs of steps "<steps>" are submitted
        Then all jobs are "completed" within 8000 ms
        And no promise was broken

        Examples:
            | ms   | steps        |
            | 50   | 1            |
            | 600  | 2, 1 after 0 |
            | 3300 | 2, 1 after 0 |

    # Guards against starting a task that crashes its workers without limit: an answer under the same ID counted as proof
    # that the worker had not crashed, a worker that was listed again had no record of a former incarnation, and a new owner
    # attributed the runs of the previous incarnation to the current one.
    Scenario Outline: A task that crashes its workers is given up when these start again under their IDs, after "<fault>"
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

    # The crash of a worker that stays away for longer than its lease is known only once the worker is back. If the owner
    # changed meanwhile, the crash was not counted and the task was started once more each time.
    Scenario Outline: A crash that is detected after a change of owner is counted, workers back after <ms> ms
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

    # Guards against a wave that stops after its first VMs: these counted as down because they had come back under the
    # former IDs of their workers.
    Scenario: Workers take tasks again under their IDs after their upkeep, and the wave continues
        Given a cell of 3 daemons and 4 workers that start again under their IDs 600 ms after a crash
        When the operator asks for upkeep of 4 VMs, 2 at once, within 20000 ms
        Then the wave is shown as "completed" within 20000 ms
        When the shard runs for 4000 ms
        And 6 jobs of steps "4" are submitted
        Then all jobs are "completed" within 8000 ms
        And each of the 4 VMs had its upkeep once, with at most 2 down at the same time
        And no promise was broken

    Scenario Outline: A wave completes in spite of the fault "<fault>" when VMs are back under the IDs of their workers
        Given a cell of 4 daemons and 6 workers that start again under their IDs 600 ms after a crash
        When 4 jobs of steps "3, 4 after 0" are submitted
        And the shard runs for 2500 ms
        And the operator asks for upkeep of 6 VMs, 2 at once, within 30000 ms
        And the shard runs for 500 ms
        And the fault "<fault>" comes
        And the shard runs for 9000 ms
        And the fault goes
        Then the wave is shown as "completed" within 50000 ms
        And each of the 6 VMs had its upkeep once, with at most 2 down at the same time
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

    # Until the first heartbeat of a restarted worker, the list holds the entry of its previous incarnation.
    Scenario: A worker that starts again with less capacity gets no tasks for its former capacity
        Given a cell of 3 daemons and 3 workers that start again under their IDs 100 ms after a crash, with 2 cores
        When 8 jobs of steps "3 for 800 ms" are submitted
        And the shard runs for 700 ms
        And 2 workers crash on their own 2 times, 2000 ms apart
        And 8 jobs of steps "3 for 800 ms" are submitted
        Then all jobs are "completed" within 30000 ms
        And no promise was broken

    # A look that reaches the next incarnation with an acknowledgement for the previous one would make it forget unread
    # ends.
    Scenario: Ends are acknowledged once, and only in a look right after an answer
        When ends up to 57 are durable and looks are "answered, lost, lost, answered, answered, answered"
        Then they acknowledge "0, 57, 0, 0, 57, 0"

    # A stop that would make the next incarnation refuse a late start is delayed on the same path as the start and arrives
    # seconds after it, so that tasks were started again after their ends had been acknowledged.
    Scenario: Orders sent before a lost look are refused by whichever incarnation takes the next look
        When looks are "answered, lost, answered, lost, lost, answered" and the owner commits before each
        Then the tokens sent are "7, 7, 9, 9, 11, 12"

    Scenario Outline: An order is refused because a look overtook it, and the owner <what> the shard
        When a start is refused as fenced after a look was lost, and the owner's newest token is <newest>
        Then the tokens sent are "<tokens>"
        And the owner <what> the shard

        Examples:
            | newest | tokens | what  |
            | 8      | 7, 8   | keeps |
            | 7      | 7      | loses |

    # Each late copy of a start may be carried out by another incarnation of the worker: tasks ran again after their ends
    # had been acknowledged, and crashing tasks took down one incarnation after another.
    Scenario: A start that gets no answer is sent once, and a look with the next token settles it
        When a start gets no answer from a worker that answers looks, and the owner commits then
        Then the calls sent are "start 7, look 8, look 8"

    # Unless the look settles the start, a slow worker that answers after 150 ms gets only one start at a time, several
    # pauses apart, although it carries out all of them.
    Scenario: A look that lists a run whose start got no answer proves that the order arrived
        When a start got no answer, and the next look lists its run
        Then the worker takes any number of starts again

    # Without a newer token, an incarnation that is back before a look could fail gets a look with the token of all earlier
    # orders, which does not make it refuse them, and answers it only after 1 s.
    Scenario Outline: Looks that are <ms> ms apart carry the tokens "<tokens>"
        When the ends of a look take <ms> ms to be durable and the owner commits meanwhile
        Then the tokens sent are "<tokens>"

        Examples:
            | ms  | tokens  |
            | 8   | 7, 7, 7 |
            | 200 | 7, 8, 9 |

    # Late orders arrived within 0.1 s of the start of an incarnation, and 0.1 s before the owner's next look.
    Scenario Outline: A worker that was down for <ms> ms is looked at soon when <starts> orders to it may still arrive
        When a worker is down for <ms> ms, and <starts> starts there got no answer
        Then a look reaches its next incarnation within <within> ms

        Examples:
            | ms    | starts | within |
            | 90    | 1      | 50     |
            | 590   | 1      | 50     |
            | 3290  | 2      | 50     |
            | 590   | 0      | 250    |
            | 15290 | 1      | 250    |

    # A new owner looked at such a worker every 250 ms, and orders of the former owner were carried out in between.
    Scenario Outline: A worker that was down for <ms> ms is looked at soon when orders of a former owner to it may still arrive
        When a worker that has a former owner's run which no look has listed is down for <ms> ms
        Then a look reaches its next incarnation within 10 ms

        Examples:
            | ms  |
            | 95  |
            | 595 |

    # A ticket is valid for one incarnation of a worker. Each start with a ticket of the previous incarnation was refused,
    # and its task was placed a second time.
    Scenario: No start carries the ticket of a former incarnation
        Given a cell of 3 daemons and 4 workers that check tickets and start again under their IDs 200 ms after a crash
        When 8 jobs of steps "3, 40 after 0" are submitted
        And the shard runs for 1500 ms
        And 4 workers crash on their own 1 times, 3000 ms apart
        Then all jobs are "completed" within 60000 ms
        And no start was refused for its ticket
        And no promise was broken

    # Crashes of many workers at the same moment indicate a cause outside of any task. A worker that had come back was not
    # counted among the crashed ones by the workers that came back after it, so that the cause was attributed to tasks.
    Scenario Outline: No healthy job is given up when workers crash on their own and start again under their IDs
        Given a cell of 3 daemons and 16 workers that start again under their IDs <ms> ms after a crash
        When 30 jobs of steps "<steps>" are submitted
        And the shard runs for 300 ms
        And <count> workers crash on their own <rounds> times, <apart> ms apart
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

    # Guards against tasks that are started elsewhere while the longest lease still lasts, granted by a look for the former
    # incarnation, whose clock had counted further.
    Scenario Outline: A look for the former incarnation is carried out <late> ms late, and then <what>
        Given a cell of 4 daemons and 6 workers that check tickets and start again under their IDs 30 ms after a crash
        When the shard runs for 10000 ms
        And a worker starts again, and its next incarnation carries out a look that is <late> ms late
        And 1 jobs of steps "12 long running" are submitted
        And <after> ms later "<what>"
        And the shard runs for 25000 ms
        Then no promise was broken
        And 12 tasks run

        Examples:
            | late | after | what                                             |
            | 450  | 100   | only the owner reaches it, which is told to stop |
            | 450  | 100   | only the owner reaches it, which is killed       |
            | 450  | 1000  | only the owner reaches it, which is told to stop |
            | 2000 | 100   | only the owner reaches it, which is told to stop |
            | 5000 | 100   | only the owner reaches it, which is told to stop |
            | 5000 | 5000  | only the owner reaches it, which is told to stop |
            | 450  | 100   | no daemon reaches it                             |
            | 2000 | 100   | no daemon reaches it                             |
            | 5000 | 100   | no daemon reaches it                             |
            | 5000 | 5000  | no daemon reaches it                             |

    # Guards against the usual lease being counted for a start that an incarnation has answered of which the owner does not know.
    Scenario: Starts reach the next incarnation before the owner finds it, and then no daemon reaches it
        Given a cell of 4 daemons and 6 workers that check tickets and start again under their IDs 30 ms after a crash
        When the shard runs for 10500 ms
        And a worker starts again, and starts of "12 long running" reach it before the owner finds out
        And 5 ms later "no daemon reaches it"
        And the shard runs for 25000 ms
        Then no promise was broken
        And 12 tasks run

    # Guards against a successor that knows no incarnation of a silent worker, and counts no late start for any.
    Scenario Outline: A former owner's start is carried out late, by an incarnation that no successor reaches, as <what>
        Given a cell of 4 daemons and 6 workers that start again under their IDs <ms> ms after a crash, with no advice
        When the shard runs for 10000 ms
        And a worker starts again before it has carried out its start of "6 long running", and "<what>"
        And the shard runs for 25000 ms
        Then no promise was broken
        And 6 tasks run

        Examples:
            | ms  | what                                             |
            | 1000 | only the owner reaches it, which is told to stop |
            | 100 | only the owner reaches it, which is killed       |
            | 600 | only the owner reaches it, which is killed       |
