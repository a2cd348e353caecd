Feature: The log tells why a run was dropped, and which ends were acknowledged

    # Guards against an end that a worker forgets although the owner did not find its task: nothing else shows afterwards
    # why the task was started again.
    Scenario: Ends of jobs that the owner does not know are logged once they are acknowledged
        When 1 workers list the end of a run of an unknown job
        Then the log has 1 lines "endsWithoutTask", with "acknowledgedEnd 1, ends 1, done 1, jobKnown 0"
        And the counter "endsWithoutTask.jobUnknown" is 1

    # Guards against a log that grows with the number of workers: after a takeover each of them may list ends of jobs that
    # have ended. The workers answer within 100 ms, in which one line is allowed beside the 20.
    Scenario: At most 20 such lines are written at once, and 20 a second; the counter has all ends
        When 100 workers list the end of a run of an unknown job
        Then the log has 21 lines "endsWithoutTask", with "acknowledgedEnd 1, ends 1, done 1, jobKnown 0"
        And the counter "endsWithoutTask.jobUnknown" is 100

    # Guards against a run that was dropped without proof that it is over, and then ends: the log must show that its task
    # has been started again.
    Scenario: The end of a run that the owner holds no more tells of the task's other runs
        When a worker lists the end of run 1 of a task whose run 2 is live
        Then the log has 1 lines "runEnded", with "run 1, how done, known false, taskDone false, lastRun 2, liveRuns 2@i-1 running"
        And the counter "endsAfterDrop" is 1

    # Guards against a run that is dropped while a lease of its worker may last, or by a list that is old.
    Scenario: A run whose lease is over is logged with the state of its worker
        When the worker of a restored run never answers, and its list is 700 ms old
        Then the log has 1 lines "runLost", with "reason leaseOver, listed true, listAgeMs 700"
        And the line "runLost" says that no lease is left
