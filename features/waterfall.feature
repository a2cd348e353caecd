Feature: Time that jobs spend in each stage

    Background:
        Given a log with these lines
            | atMs | event       | fields                                                                                 |
            | 1000 | refused     | {"method":"POST","path":"/plans/00000000000000a1","reason":"the store does not answer"} |
            | 2000 | jobAccepted | {"jobId":"00000000000000a1","queue":"stages/plans/"}                                   |
            | 2050 | advice      | {"step":"00000000000000a1.0.0","named":4,"good":2}                                     |
            | 2150 | placed      | {"step":"00000000000000a1.0.0","runs":"0#1@i-1 1#1@i-2"}                               |
            | 2400 | runEnded    | {"task":"00000000000000a1.0.0.0","run":1,"how":"done"}                                 |
            | 2500 | runEnded    | {"task":"00000000000000a1.0.0.1","run":1,"how":"failed"}                               |
            | 2550 | placed      | {"step":"00000000000000a1.0.0","runs":"1#2@i-1"}                                       |
            | 3050 | runEnded    | {"task":"00000000000000a1.0.0.1","run":2,"how":"done"}                                 |
            | 3060 | jobState    | {"jobId":"00000000000000a1","from":"running","to":"completed","objectiveMs":1500}      |

    Scenario: The time of each stage of a job is shown, and the longest stage is named
        When the waterfall of the log is asked for as JSON
        Then the job "00000000000000a1" took 2060 ms, most of it in "refused"
        And its stages took refused 1000, advice 50, room 100, repeat 400, run 500, end 10

    Scenario: The groups are shown as a table and as a drawing
        When the waterfall of the log is asked for with a drawing
        Then the table names the queue "stages/plans/"
        And the drawing has a bar of each stage

    Scenario: A log that cannot be read is bad input
        When the waterfall of a log that does not exist is asked for
        Then it ends with exit code 2 and names the field "logs"
