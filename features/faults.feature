Feature: Faults in each phase of a job: single, repeated and in pairs

    # The column "once" lists the final states that tasks of the at-most-once job may have. Tasks of re-runnable jobs must
    # always complete.
    Scenario Outline: <fault> while tasks <phase>
        Given a cell
        And a batch job, an at-most-once job, a service and a gang that <phase>
        When <fault>
        And 14000 ms pass in the cell
        And every fault is cleared
        Then every task is final within 90000 ms
        And no execution guarantee was violated
        And the tasks of re-runnable jobs are all "completed"
        And the tasks of the at-most-once job are "<once>"

        Examples:
            | phase | fault | once |
            | are submitted   | the home daemon is killed                                                                     | completed |
            | are submitted   | the home daemon is killed and started again on its VM                                         | completed |
            | are submitted   | the home daemon is paused                                                                     | completed |
            | are submitted   | another daemon is killed                                                                      | completed |
            | are submitted   | another daemon is paused                                                                      | completed |
            | are submitted   | the platform is out                                                                           | completed |
            | are submitted   | the platform loses every second reply                                                         | completed |
            | are submitted   | the platform answers late                                                                     | completed |
            | are submitted   | the data centres are cut off from each other                                                  | completed |
            | are submitted   | a data centre is cut off from the platform                                                    | completed |
            | are submitted   | the home daemon is cut off from the platform                                                  | completed |
            | are submitted   | the home daemon is cut off from its peers                                                     | completed |
            | are submitted   | a worker is lost                                                                              | completed or mayHaveRun |
            | are submitted   | a worker is unreachable                                                                       | completed |
            | are submitted   | workers lose the replies to starts                                                            | completed |
            | are submitted   | a worker fails everything                                                                     | completed |
            | are submitted   | the home daemon is stopped gracefully                                                         | completed |
            | are submitted   | another daemon is stopped gracefully                                                          | completed |
            | are started     | the home daemon is killed                                                                     | completed |
            | are started     | the home daemon is killed and started again on its VM                                         | completed |
            | are started     | the home daemon is paused                                                                     | completed |
            | are started     | another daemon is killed                                                                      | completed |
            | are started     | another daemon is paused                                                                      | completed |
            | are started     | the platform is out                                                                           | completed |
            | are started     | the platform loses every second reply                                                         | completed |
            | are started     | the platform answers late                                                                     | completed |
            | are started     | the data centres are cut off from each other                                                  | completed |
            | are started     | a data centre is cut off from the platform                                                    | completed |
            | are started     | the home daemon is cut off from the platform                                                  | completed |
            | are started     | the home daemon is cut off from its peers                                                     | completed |
            | are started     | a worker is lost                                                                              | completed or mayHaveRun |
            | are started     | a worker is unreachable                                                                       | completed |
            | are started     | workers lose the replies to starts                                                            | completed |
            | are started     | a worker fails everything                                                                     | completed |
            | are started     | the home daemon is stopped gracefully                                                         | completed |
            | are started     | another daemon is stopped gracefully                                                          | completed |
            | run             | the home daemon is killed                                                                     | completed |
            | run             | the home daemon is killed and started again on its VM                                         | completed |
            | run             | the home daemon is paused                                                                     | completed |
            | run             | another daemon is killed                                                                      | completed |
            | run             | another daemon is paused                                                                      | completed |
            | run             | the platform is out                                                                           | completed |
            | run             | the platform loses every second reply                                                         | completed |
            | run             | the platform answers late                                                                     | completed |
            | run             | the data centres are cut off from each other                                                  | completed |
            | run             | a data centre is cut off from the platform                                                    | completed |
            | run             | the home daemon is cut off from the platform                                                  | completed |
            | run             | the home daemon is cut off from its peers                                                     | completed |
            | run             | a worker is lost                                                                              | completed or mayHaveRun |
            | run             | a worker is unreachable                                                                       | completed |
            | run             | workers lose the replies to starts                                                            | completed |
            | run             | a worker fails everything                                                                     | completed |
            | run             | the home daemon is stopped gracefully                                                         | completed |
            | run             | another daemon is stopped gracefully                                                          | completed |
            | end             | the home daemon is killed                                                                     | completed |
            | end             | the home daemon is killed and started again on its VM                                         | completed |
            | end             | the home daemon is paused                                                                     | completed |
            | end             | another daemon is killed                                                                      | completed |
            | end             | another daemon is paused                                                                      | completed |
            | end             | the platform is out                                                                           | completed |
            | end             | the platform loses every second reply                                                         | completed |
            | end             | the platform answers late                                                                     | completed |
            | end             | the data centres are cut off from each other                                                  | completed |
            | end             | a data centre is cut off from the platform                                                    | completed |
            | end             | the home daemon is cut off from the platform                                                  | completed |
            | end             | the home daemon is cut off from its peers                                                     | completed |
            | end             | a worker is lost                                                                              | completed or mayHaveRun |
            | end             | a worker is unreachable                                                                       | completed |
            | end             | workers lose the replies to starts                                                            | completed |
            | end             | a worker fails everything                                                                     | completed |
            | end             | the home daemon is stopped gracefully                                                         | completed |
            | end             | another daemon is stopped gracefully                                                          | completed |
            | are answered    | the home daemon is killed                                                                     | completed |
            | are answered    | the home daemon is killed and started again on its VM                                         | completed |
            | are answered    | the home daemon is paused                                                                     | completed |
            | are answered    | another daemon is killed                                                                      | completed |
            | are answered    | another daemon is paused                                                                      | completed |
            | are answered    | the platform is out                                                                           | completed |
            | are answered    | the platform loses every second reply                                                         | completed |
            | are answered    | the platform answers late                                                                     | completed |
            | are answered    | the data centres are cut off from each other                                                  | completed |
            | are answered    | a data centre is cut off from the platform                                                    | completed |
            | are answered    | the home daemon is cut off from the platform                                                  | completed |
            | are answered    | the home daemon is cut off from its peers                                                     | completed |
            | are answered    | a worker is lost                                                                              | completed or mayHaveRun |
            | are answered    | a worker is unreachable                                                                       | completed |
            | are answered    | workers lose the replies to starts                                                            | completed |
            | are answered    | a worker fails everything                                                                     | completed |
            | are answered    | the home daemon is stopped gracefully                                                         | completed |
            | are answered    | another daemon is stopped gracefully                                                          | completed |
            | are taken over  | the new holder is killed                                                                      | completed |
            | are taken over  | the new holder is paused                                                                      | completed |
            | are taken over  | the new holder is cut off from the platform                                                   | completed |
            | are taken over  | another daemon is killed                                                                      | completed |
            | are taken over  | another daemon is paused                                                                      | completed |
            | are taken over  | the platform is out                                                                           | completed |
            | are taken over  | the platform loses every second reply                                                         | completed |
            | are taken over  | the platform answers late                                                                     | completed |
            | are taken over  | the data centres are cut off from each other                                                  | completed |
            | are taken over  | a data centre is cut off from the platform                                                    | completed |
            | are taken over  | a worker is lost                                                                              | completed or mayHaveRun |
            | are taken over  | a worker is unreachable                                                                       | completed |
            | are taken over  | workers lose the replies to starts                                                            | completed |
            | are taken over  | another daemon is stopped gracefully                                                          | completed |
            | are handed over | the new holder is killed                                                                      | completed |
            | are handed over | the new holder is paused                                                                      | completed |
            | are handed over | the new holder is cut off from the platform                                                   | completed |
            | are handed over | another daemon is killed                                                                      | completed |
            | are handed over | another daemon is paused                                                                      | completed |
            | are handed over | the platform is out                                                                           | completed |
            | are handed over | the platform loses every second reply                                                         | completed |
            | are handed over | the platform answers late                                                                     | completed |
            | are handed over | the data centres are cut off from each other                                                  | completed |
            | are handed over | a data centre is cut off from the platform                                                    | completed |
            | are handed over | a worker is lost                                                                              | completed or mayHaveRun |
            | are handed over | a worker is unreachable                                                                       | completed |
            | are handed over | workers lose the replies to starts                                                            | completed |
            | are handed over | another daemon is stopped gracefully                                                          | completed |
            | are submitted   | the home daemon is killed and another daemon is killed                                        | completed |
            | are submitted   | the home daemon is killed and another daemon is paused                                        | completed |
            | are submitted   | the home daemon is killed and the platform is out                                             | completed |
            | are submitted   | the home daemon is killed and the platform loses every second reply                           | completed |
            | are submitted   | the home daemon is killed and the platform answers late                                       | completed |
            | are submitted   | the home daemon is killed and the data centres are cut off from each other                    | completed |
            | are submitted   | the home daemon is killed and a worker is lost                                                | completed or mayHaveRun |
            | are submitted   | the home daemon is killed and a worker is unreachable                                         | completed |
            | are submitted   | the home daemon is killed and workers lose the replies to starts                              | completed |
            | are submitted   | the home daemon is paused and another daemon is killed                                        | completed |
            | are submitted   | the home daemon is paused and another daemon is paused                                        | completed |
            | are submitted   | the home daemon is paused and the platform is out                                             | completed |
            | are submitted   | the home daemon is paused and the platform loses every second reply                           | completed |
            | are submitted   | the home daemon is paused and the platform answers late                                       | completed |
            | are submitted   | the home daemon is paused and the data centres are cut off from each other                    | completed |
            | are submitted   | the home daemon is paused and the home daemon is cut off from the platform                    | completed |
            | are submitted   | the home daemon is paused and a worker is lost                                                | completed or mayHaveRun |
            | are submitted   | the home daemon is paused and a worker is unreachable                                         | completed |
            | are submitted   | the home daemon is paused and workers lose the replies to starts                              | completed |
            | are submitted   | another daemon is killed and the platform is out                                              | completed |
            | are submitted   | another daemon is killed and the platform loses every second reply                            | completed |
            | are submitted   | another daemon is killed and the platform answers late                                        | completed |
            | are submitted   | another daemon is killed and the data centres are cut off from each other                     | completed |
            | are submitted   | another daemon is killed and the home daemon is cut off from the platform                     | completed |
            | are submitted   | another daemon is killed and a worker is lost                                                 | completed or mayHaveRun |
            | are submitted   | another daemon is killed and a worker is unreachable                                          | completed |
            | are submitted   | another daemon is killed and workers lose the replies to starts                               | completed |
            | are submitted   | another daemon is paused and the platform is out                                              | completed |
            | are submitted   | another daemon is paused and the platform loses every second reply                            | completed |
            | are submitted   | another daemon is paused and the platform answers late                                        | completed |
            | are submitted   | another daemon is paused and the data centres are cut off from each other                     | completed |
            | are submitted   | another daemon is paused and the home daemon is cut off from the platform                     | completed |
            | are submitted   | another daemon is paused and a worker is lost                                                 | completed or mayHaveRun |
            | are submitted   | another daemon is paused and a worker is unreachable                                          | completed |
            | are submitted   | another daemon is paused and workers lose the replies to starts                               | completed |
            | are submitted   | the platform is out and the data centres are cut off from each other                          | completed |
            | are submitted   | the platform is out and the home daemon is cut off from the platform                          | completed |
            | are submitted   | the platform is out and a worker is lost                                                      | completed or mayHaveRun |
            | are submitted   | the platform is out and a worker is unreachable                                               | completed |
            | are submitted   | the platform is out and workers lose the replies to starts                                    | completed |
            | are submitted   | the platform loses every second reply and the data centres are cut off from each other        | completed |
            | are submitted   | the platform loses every second reply and the home daemon is cut off from the platform        | completed |
            | are submitted   | the platform loses every second reply and a worker is lost                                    | completed or mayHaveRun |
            | are submitted   | the platform loses every second reply and a worker is unreachable                             | completed |
            | are submitted   | the platform loses every second reply and workers lose the replies to starts                  | completed |
            | are submitted   | the platform answers late and the data centres are cut off from each other                    | completed |
            | are submitted   | the platform answers late and the home daemon is cut off from the platform                    | completed |
            | are submitted   | the platform answers late and a worker is lost                                                | completed or mayHaveRun |
            | are submitted   | the platform answers late and a worker is unreachable                                         | completed |
            | are submitted   | the platform answers late and workers lose the replies to starts                              | completed |
            | are submitted   | the data centres are cut off from each other and the home daemon is cut off from the platform | completed |
            | are submitted   | the data centres are cut off from each other and a worker is lost                             | completed or mayHaveRun |
            | are submitted   | the data centres are cut off from each other and a worker is unreachable                      | completed |
            | are submitted   | the data centres are cut off from each other and workers lose the replies to starts           | completed |
            | are submitted   | the home daemon is cut off from the platform and a worker is lost                             | completed or mayHaveRun |
            | are submitted   | the home daemon is cut off from the platform and a worker is unreachable                      | completed |
            | are submitted   | the home daemon is cut off from the platform and workers lose the replies to starts           | completed |
            | are submitted   | a worker is lost and a worker is unreachable                                                  | completed or mayHaveRun |
            | are submitted   | a worker is lost and workers lose the replies to starts                                       | completed or mayHaveRun |
            | are submitted   | a worker is unreachable and workers lose the replies to starts                                | completed |
            | run             | the home daemon is killed and another daemon is killed                                        | completed |
            | run             | the home daemon is killed and another daemon is paused                                        | completed |
            | run             | the home daemon is killed and the platform is out                                             | completed |
            | run             | the home daemon is killed and the platform loses every second reply                           | completed |
            | run             | the home daemon is killed and the platform answers late                                       | completed |
            | run             | the home daemon is killed and the data centres are cut off from each other                    | completed |
            | run             | the home daemon is killed and a worker is lost                                                | completed or mayHaveRun |
            | run             | the home daemon is killed and a worker is unreachable                                         | completed |
            | run             | the home daemon is killed and workers lose the replies to starts                              | completed |
            | run             | the home daemon is paused and another daemon is killed                                        | completed |
            | run             | the home daemon is paused and another daemon is paused                                        | completed |
            | run             | the home daemon is paused and the platform is out                                             | completed |
            | run             | the home daemon is paused and the platform loses every second reply                           | completed |
            | run             | the home daemon is paused and the platform answers late                                       | completed |
            | run             | the home daemon is paused and the data centres are cut off from each other                    | completed |
            | run             | the home daemon is paused and the home daemon is cut off from the platform                    | completed |
            | run             | the home daemon is paused and a worker is lost                                                | completed or mayHaveRun |
            | run             | the home daemon is paused and a worker is unreachable                                         | completed |
            | run             | the home daemon is paused and workers lose the replies to starts                              | completed |
            | run             | another daemon is killed and the platform is out                                              | completed |
            | run             | another daemon is killed and the platform loses every second reply                            | completed |
            | run             | another daemon is killed and the platform answers late                                        | completed |
            | run             | another daemon is killed and the data centres are cut off from each other                     | completed |
            | run             | another daemon is killed and the home daemon is cut off from the platform                     | completed |
            | run             | another daemon is killed and a worker is lost                                                 | completed or mayHaveRun |
            | run             | another daemon is killed and a worker is unreachable                                          | completed |
            | run             | another daemon is killed and workers lose the replies to starts                               | completed |
            | run             | another daemon is paused and the platform is out                                              | completed |
            | run             | another daemon is paused and the platform loses every second reply                            | completed |
            | run             | another daemon is paused and the platform answers late                                        | completed |
            | run             | another daemon is paused and the data centres are cut off from each other                     | completed |
            | run             | another daemon is paused and the home daemon is cut off from the platform                     | completed |
            | run             | another daemon is paused and a worker is lost                                                 | completed or mayHaveRun |
            | run             | another daemon is paused and a worker is unreachable                                          | completed |
            | run             | another daemon is paused and workers lose the replies to starts                               | completed |
            | run             | the platform is out and the data centres are cut off from each other                          | completed |
            | run             | the platform is out and the home daemon is cut off from the platform                          | completed |
            | run             | the platform is out and a worker is lost                                                      | completed or mayHaveRun |
            | run             | the platform is out and a worker is unreachable                                               | completed |
            | run             | the platform is out and workers lose the replies to starts                                    | completed |
            | run             | the platform loses every second reply and the data centres are cut off from each other        | completed |
            | run             | the platform loses every second reply and the home daemon is cut off from the platform        | completed |
            | run             | the platform loses every second reply and a worker is lost                                    | completed or mayHaveRun |
            | run             | the platform loses every second reply and a worker is unreachable                             | completed |
            | run             | the platform loses every second reply and workers lose the replies to starts                  | completed |
            | run             | the platform answers late and the data centres are cut off from each other                    | completed |
            | run             | the platform answers late and the home daemon is cut off from the platform                    | completed |
            | run             | the platform answers late and a worker is lost                                                | completed or mayHaveRun |
            | run             | the platform answers late and a worker is unreachable                                         | completed |
            | run             | the platform answers late and workers lose the replies to starts                              | completed |
            | run             | the data centres are cut off from each other and the home daemon is cut off from the platform | completed |
            | run             | the data centres are cut off from each other and a worker is lost                             | completed or mayHaveRun |
            | run             | the data centres are cut off from each other and a worker is unreachable                      | completed |
            | run             | the data centres are cut off from each other and workers lose the replies to starts           | completed |
            | run             | the home daemon is cut off from the platform and a worker is lost                             | completed or mayHaveRun |
            | run             | the home daemon is cut off from the platform and a worker is unreachable                      | completed |
            | run             | the home daemon is cut off from the platform and workers lose the replies to starts           | completed |
            | run             | a worker is lost and a worker is unreachable                                                  | completed or mayHaveRun |
            | run             | a worker is lost and workers lose the replies to starts                                       | completed or mayHaveRun |
            | run             | a worker is unreachable and workers lose the replies to starts                                | completed |
            | end             | the home daemon is killed and another daemon is killed                                        | completed |
            | end             | the home daemon is killed and another daemon is paused                                        | completed |
            | end             | the home daemon is killed and the platform is out                                             | completed |
            | end             | the home daemon is killed and the platform loses every second reply                           | completed |
            | end             | the home daemon is killed and the platform answers late                                       | completed |
            | end             | the home daemon is killed and the data centres are cut off from each other                    | completed |
            | end             | the home daemon is killed and a worker is lost                                                | completed or mayHaveRun |
            | end             | the home daemon is killed and a worker is unreachable                                         | completed |
            | end             | the home daemon is killed and workers lose the replies to starts                              | completed |
            | end             | the home daemon is paused and another daemon is killed                                        | completed |
            | end             | the home daemon is paused and another daemon is paused                                        | completed |
            | end             | the home daemon is paused and the platform is out                                             | completed |
            | end             | the home daemon is paused and the platform loses every second reply                           | completed |
            | end             | the home daemon is paused and the platform answers late                                       | completed |
            | end             | the home daemon is paused and the data centres are cut off from each other                    | completed |
            | end             | the home daemon is paused and the home daemon is cut off from the platform                    | completed |
            | end             | the home daemon is paused and a worker is lost                                                | completed or mayHaveRun |
            | end             | the home daemon is paused and a worker is unreachable                                         | completed |
            | end             | the home daemon is paused and workers lose the replies to starts                              | completed |
            | end             | another daemon is killed and the platform is out                                              | completed |
            | end             | another daemon is killed and the platform loses every second reply                            | completed |
            | end             | another daemon is killed and the platform answers late                                        | completed |
            | end             | another daemon is killed and the data centres are cut off from each other                     | completed |
            | end             | another daemon is killed and the home daemon is cut off from the platform                     | completed |
            | end             | another daemon is killed and a worker is lost                                                 | completed or mayHaveRun |
            | end             | another daemon is killed and a worker is unreachable                                          | completed |
            | end             | another daemon is killed and workers lose the replies to starts                               | completed |
            | end             | another daemon is paused and the platform is out                                              | completed |
            | end             | another daemon is paused and the platform loses every second reply                            | completed |
            | end             | another daemon is paused and the platform answers late                                        | completed |
            | end             | another daemon is paused and the data centres are cut off from each other                     | completed |
            | end             | another daemon is paused and the home daemon is cut off from the platform                     | completed |
            | end             | another daemon is paused and a worker is lost                                                 | completed or mayHaveRun |
            | end             | another daemon is paused and a worker is unreachable                                          | completed |
            | end             | another daemon is paused and workers lose the replies to starts                               | completed |
            | end             | the platform is out and the data centres are cut off from each other                          | completed |
            | end             | the platform is out and the home daemon is cut off from the platform                          | completed |
            | end             | the platform is out and a worker is lost                                                      | completed or mayHaveRun |
            | end             | the platform is out and a worker is unreachable                                               | completed |
            | end             | the platform is out and workers lose the replies to starts                                    | completed |
            | end             | the platform loses every second reply and the data centres are cut off from each other        | completed |
            | end             | the platform loses every second reply and the home daemon is cut off from the platform        | completed |
            | end             | the platform loses every second reply and a worker is lost                                    | completed or mayHaveRun |
            | end             | the platform loses every second reply and a worker is unreachable                             | completed |
            | end             | the platform loses every second reply and workers lose the replies to starts                  | completed |
            | end             | the platform answers late and the data centres are cut off from each other                    | completed |
            | end             | the platform answers late and the home daemon is cut off from the platform                    | completed |
            | end             | the platform answers late and a worker is lost                                                | completed or mayHaveRun |
            | end             | the platform answers late and a worker is unreachable                                         | completed |
            | end             | the platform answers late and workers lose the replies to starts                              | completed |
            | end             | the data centres are cut off from each other and the home daemon is cut off from the platform | completed |
            | end             | the data centres are cut off from each other and a worker is lost                             | completed or mayHaveRun |
            | end             | the data centres are cut off from each other and a worker is unreachable                      | completed |
            | end             | the data centres are cut off from each other and workers lose the replies to starts           | completed |
            | end             | the home daemon is cut off from the platform and a worker is lost                             | completed or mayHaveRun |
            | end             | the home daemon is cut off from the platform and a worker is unreachable                      | completed |
            | end             | the home daemon is cut off from the platform and workers lose the replies to starts           | completed |
            | end             | a worker is lost and a worker is unreachable                                                  | completed or mayHaveRun |
            | end             | a worker is lost and workers lose the replies to starts                                       | completed or mayHaveRun |
            | end             | a worker is unreachable and workers lose the replies to starts                                | completed |
            | run             | the home daemon is killed twice                                                               | completed |
            | run             | two daemons of one data centre are killed                                                     | completed |
            | are taken over  | the new holder is killed and the platform is out                                              | completed |
            | are taken over  | the new holder is killed and the platform loses every second reply                            | completed |
            | are taken over  | the new holder is killed and another daemon is paused                                         | completed |
            | are taken over  | the new holder is killed and a worker is lost                                                 | completed or mayHaveRun |
            | are taken over  | the new holder is paused and the platform is out                                              | completed |
            | are taken over  | the new holder is paused and the platform loses every second reply                            | completed |
            | are taken over  | the new holder is paused and another daemon is paused                                         | completed |
            | are taken over  | the new holder is paused and a worker is lost                                                 | completed or mayHaveRun |
            | are handed over | the new holder is killed and the platform is out                                              | completed |
            | are handed over | the new holder is killed and the platform loses every second reply                            | completed |
            | are handed over | the new holder is killed and another daemon is paused                                         | completed |
            | are handed over | the new holder is killed and a worker is lost                                                 | completed or mayHaveRun |
            | are handed over | the new holder is paused and the platform is out                                              | completed |
            | are handed over | the new holder is paused and the platform loses every second reply                            | completed |
            | are handed over | the new holder is paused and another daemon is paused                                         | completed |
            | are handed over | the new holder is paused and a worker is lost                                                 | completed or mayHaveRun |
            | are submitted | the platform is slow | completed |
            | are started | the platform is slow | completed |
            | run | the platform is slow | completed |
            | end | the platform is slow | completed |
            | are answered | the platform is slow | completed |
            | are taken over | the platform is slow | completed |
            | are handed over | the platform is slow | completed |
            | are submitted | the home daemon is paused, twice | completed |
            | are submitted | the home daemon is killed and started again on its VM, twice | completed |
            | are submitted | another daemon is paused, twice | completed |
            | are submitted | the platform is out, twice | completed |
            | are submitted | the platform is slow, twice | completed |
            | are submitted | the platform loses every second reply, twice | completed |
            | are submitted | the platform answers late, twice | completed |
            | are submitted | the home daemon is cut off from the platform, twice | completed |
            | are submitted | a data centre is cut off from the platform, twice | completed |
            | are submitted | the data centres are cut off from each other, twice | completed |
            | are submitted | a worker is unreachable, twice | completed |
            | are started | the home daemon is paused, twice | completed |
            | are started | the home daemon is killed and started again on its VM, twice | completed |
            | are started | another daemon is paused, twice | completed |
            | are started | the platform is out, twice | completed |
            | are started | the platform is slow, twice | completed |
            | are started | the platform loses every second reply, twice | completed |
            | are started | the platform answers late, twice | completed |
            | are started | the home daemon is cut off from the platform, twice | completed |
            | are started | a data centre is cut off from the platform, twice | completed |
            | are started | the data centres are cut off from each other, twice | completed |
            | are started | a worker is unreachable, twice | completed |
            | run | the home daemon is paused, twice | completed |
            | run | the home daemon is killed and started again on its VM, twice | completed |
            | run | another daemon is paused, twice | completed |
            | run | the platform is out, twice | completed |
            | run | the platform is slow, twice | completed |
            | run | the platform loses every second reply, twice | completed |
            | run | the platform answers late, twice | completed |
            | run | the home daemon is cut off from the platform, twice | completed |
            | run | a data centre is cut off from the platform, twice | completed |
            | run | the data centres are cut off from each other, twice | completed |
            | run | a worker is unreachable, twice | completed |
            | end | the home daemon is paused, twice | completed |
            | end | the home daemon is killed and started again on its VM, twice | completed |
            | end | another daemon is paused, twice | completed |
            | end | the platform is out, twice | completed |
            | end | the platform is slow, twice | completed |
            | end | the platform loses every second reply, twice | completed |
            | end | the platform answers late, twice | completed |
            | end | the home daemon is cut off from the platform, twice | completed |
            | end | a data centre is cut off from the platform, twice | completed |
            | end | the data centres are cut off from each other, twice | completed |
            | end | a worker is unreachable, twice | completed |
            | are answered | the home daemon is paused, twice | completed |
            | are answered | the home daemon is killed and started again on its VM, twice | completed |
            | are answered | another daemon is paused, twice | completed |
            | are answered | the platform is out, twice | completed |
            | are answered | the platform is slow, twice | completed |
            | are answered | the platform loses every second reply, twice | completed |
            | are answered | the platform answers late, twice | completed |
            | are answered | the home daemon is cut off from the platform, twice | completed |
            | are answered | a data centre is cut off from the platform, twice | completed |
            | are answered | the data centres are cut off from each other, twice | completed |
            | are answered | a worker is unreachable, twice | completed |
            | are submitted | the home daemon is killed and the platform is slow | completed |
            | run | the home daemon is killed and the platform is slow | completed |
            | end | the home daemon is killed and the platform is slow | completed |
            | are submitted | the home daemon is paused and the platform is slow | completed |
            | run | the home daemon is paused and the platform is slow | completed |
            | end | the home daemon is paused and the platform is slow | completed |
            | are submitted | another daemon is killed and the platform is slow | completed |
            | run | another daemon is killed and the platform is slow | completed |
            | end | another daemon is killed and the platform is slow | completed |
            | are submitted | a worker is lost and the platform is slow | completed or mayHaveRun |
            | run | a worker is lost and the platform is slow | completed or mayHaveRun |
            | end | a worker is lost and the platform is slow | completed or mayHaveRun |
            | are submitted | operators race | completed |
            | are submitted | a wave of cancels comes | completed |
            | are submitted | tasks use twice what they declared | completed |
            | are submitted | a job that never fits is submitted | completed |
            | are submitted | the home daemon is killed and a worker fails everything | completed |
            | are submitted | the home daemon is killed and operators race | completed |
            | are submitted | the home daemon is killed and a wave of cancels comes | completed |
            | are submitted | the home daemon is killed and tasks use twice what they declared | completed |
            | are submitted | the home daemon is killed and a job that never fits is submitted | completed |
            | are submitted | the home daemon is paused and a worker fails everything | completed |
            | are submitted | the home daemon is paused and operators race | completed |
            | are submitted | the home daemon is paused and a wave of cancels comes | completed |
            | are submitted | the home daemon is paused and tasks use twice what they declared | completed |
            | are submitted | the home daemon is paused and a job that never fits is submitted | completed |
            | are submitted | the home daemon is cut off from the platform and another daemon is killed | completed |
            | are submitted | the home daemon is cut off from the platform and another daemon is paused | completed |
            | are submitted | the home daemon is cut off from the platform and the platform is out | completed |
            | are submitted | the home daemon is cut off from the platform and the platform is slow | completed |
            | are submitted | the home daemon is cut off from the platform and the platform loses every second reply | completed |
            | are submitted | the home daemon is cut off from the platform and the platform answers late | completed |
            | are submitted | the home daemon is cut off from the platform and the data centres are cut off from each other | completed |
            | are submitted | the home daemon is cut off from the platform and a worker fails everything | completed |
            | are submitted | the home daemon is cut off from the platform and operators race | completed |
            | are submitted | the home daemon is cut off from the platform and a wave of cancels comes | completed |
            | are submitted | the home daemon is cut off from the platform and tasks use twice what they declared | completed |
            | are submitted | the home daemon is cut off from the platform and a job that never fits is submitted | completed |
            | are submitted | another daemon is killed and a worker fails everything | completed |
            | are submitted | another daemon is killed and operators race | completed |
            | are submitted | another daemon is killed and a wave of cancels comes | completed |
            | are submitted | another daemon is killed and tasks use twice what they declared | completed |
            | are submitted | another daemon is killed and a job that never fits is submitted | completed |
            | are submitted | another daemon is paused and the platform is slow | completed |
            | are submitted | another daemon is paused and operators race | completed |
            | are submitted | another daemon is paused and a wave of cancels comes | completed |
            | are submitted | another daemon is paused and tasks use twice what they declared | completed |
            | are submitted | another daemon is paused and a job that never fits is submitted | completed |
            | are submitted | the platform is out and a worker fails everything | completed |
            | are submitted | the platform is out and operators race | completed |
            | are submitted | the platform is out and a wave of cancels comes | completed |
            | are submitted | the platform is out and tasks use twice what they declared | completed |
            | are submitted | the platform is out and a job that never fits is submitted | completed |
            | are submitted | the platform is slow and the data centres are cut off from each other | completed |
            | are submitted | the platform is slow and a worker is lost | completed or mayHaveRun |
            | are submitted | the platform is slow and a worker is unreachable | completed |
            | are submitted | the platform is slow and workers lose the replies to starts | completed |
            | are submitted | the platform is slow and operators race | completed |
            | are submitted | the platform is slow and a wave of cancels comes | completed |
            | are submitted | the platform is slow and tasks use twice what they declared | completed |
            | are submitted | the platform is slow and a job that never fits is submitted | completed |
            | are submitted | the platform loses every second reply and a worker fails everything | completed |
            | are submitted | the platform loses every second reply and operators race | completed |
            | are submitted | the platform loses every second reply and a wave of cancels comes | completed |
            | are submitted | the platform loses every second reply and tasks use twice what they declared | completed |
            | are submitted | the platform loses every second reply and a job that never fits is submitted | completed |
            | are submitted | the platform answers late and a worker fails everything | completed |
            | are submitted | the platform answers late and operators race | completed |
            | are submitted | the platform answers late and a wave of cancels comes | completed |
            | are submitted | the platform answers late and tasks use twice what they declared | completed |
            | are submitted | the platform answers late and a job that never fits is submitted | completed |
            | are submitted | the data centres are cut off from each other and operators race | completed |
            | are submitted | the data centres are cut off from each other and a wave of cancels comes | completed |
            | are submitted | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | are submitted | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | are submitted | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | are submitted | a worker is lost and operators race | completed or mayHaveRun |
            | are submitted | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | are submitted | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | are submitted | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | are submitted | a worker is unreachable and a worker fails everything | completed |
            | are submitted | a worker is unreachable and operators race | completed |
            | are submitted | a worker is unreachable and a wave of cancels comes | completed |
            | are submitted | a worker is unreachable and tasks use twice what they declared | completed |
            | are submitted | a worker is unreachable and a job that never fits is submitted | completed |
            | are submitted | workers lose the replies to starts and a worker fails everything | completed |
            | are submitted | workers lose the replies to starts and operators race | completed |
            | are submitted | workers lose the replies to starts and a wave of cancels comes | completed |
            | are submitted | workers lose the replies to starts and tasks use twice what they declared | completed |
            | are submitted | workers lose the replies to starts and a job that never fits is submitted | completed |
            | are submitted | a worker fails everything and operators race | completed |
            | are submitted | a worker fails everything and tasks use twice what they declared | completed |
            | are submitted | a worker fails everything and a job that never fits is submitted | completed |
            | are started | operators race | completed |
            | are started | a wave of cancels comes | completed |
            | are started | tasks use twice what they declared | completed |
            | are started | a job that never fits is submitted | completed |
            | are started | the home daemon is killed and another daemon is killed | completed |
            | are started | the home daemon is killed and another daemon is paused | completed |
            | are started | the home daemon is killed and the platform is out | completed |
            | are started | the home daemon is killed and the platform is slow | completed |
            | are started | the home daemon is killed and the platform loses every second reply | completed |
            | are started | the home daemon is killed and the platform answers late | completed |
            | are started | the home daemon is killed and the data centres are cut off from each other | completed |
            | are started | the home daemon is killed and a worker is lost | completed or mayHaveRun |
            | are started | the home daemon is killed and a worker is unreachable | completed |
            | are started | the home daemon is killed and workers lose the replies to starts | completed |
            | are started | the home daemon is killed and a worker fails everything | completed |
            | are started | the home daemon is killed and operators race | completed |
            | are started | the home daemon is killed and a wave of cancels comes | completed |
            | are started | the home daemon is killed and tasks use twice what they declared | completed |
            | are started | the home daemon is killed and a job that never fits is submitted | completed |
            | are started | the home daemon is paused and another daemon is killed | completed |
            | are started | the home daemon is paused and another daemon is paused | completed |
            | are started | the home daemon is paused and the platform is out | completed |
            | are started | the home daemon is paused and the platform is slow | completed |
            | are started | the home daemon is paused and the platform loses every second reply | completed |
            | are started | the home daemon is paused and the platform answers late | completed |
            | are started | the home daemon is paused and the data centres are cut off from each other | completed |
            | are started | the home daemon is paused and a worker is lost | completed or mayHaveRun |
            | are started | the home daemon is paused and a worker is unreachable | completed |
            | are started | the home daemon is paused and workers lose the replies to starts | completed |
            | are started | the home daemon is paused and a worker fails everything | completed |
            | are started | the home daemon is paused and operators race | completed |
            | are started | the home daemon is paused and a wave of cancels comes | completed |
            | are started | the home daemon is paused and tasks use twice what they declared | completed |
            | are started | the home daemon is paused and a job that never fits is submitted | completed |
            | are started | the home daemon is cut off from the platform and another daemon is killed | completed |
            | are started | the home daemon is cut off from the platform and another daemon is paused | completed |
            | are started | the home daemon is cut off from the platform and the platform is out | completed |
            | are started | the home daemon is cut off from the platform and the platform is slow | completed |
            | are started | the home daemon is cut off from the platform and the platform loses every second reply | completed |
            | are started | the home daemon is cut off from the platform and the platform answers late | completed |
            | are started | the home daemon is cut off from the platform and the data centres are cut off from each other | completed |
            | are started | the home daemon is cut off from the platform and a worker is lost | completed or mayHaveRun |
            | are started | the home daemon is cut off from the platform and a worker is unreachable | completed |
            | are started | the home daemon is cut off from the platform and workers lose the replies to starts | completed |
            | are started | the home daemon is cut off from the platform and a worker fails everything | completed |
            | are started | the home daemon is cut off from the platform and operators race | completed |
            | are started | the home daemon is cut off from the platform and a wave of cancels comes | completed |
            | are started | the home daemon is cut off from the platform and tasks use twice what they declared | completed |
            | are started | the home daemon is cut off from the platform and a job that never fits is submitted | completed |
            | are started | another daemon is killed and the platform is out | completed |
            | are started | another daemon is killed and the platform is slow | completed |
            | are started | another daemon is killed and the platform loses every second reply | completed |
            | are started | another daemon is killed and the platform answers late | completed |
            | are started | another daemon is killed and the data centres are cut off from each other | completed |
            | are started | another daemon is killed and a worker is lost | completed or mayHaveRun |
            | are started | another daemon is killed and a worker is unreachable | completed |
            | are started | another daemon is killed and workers lose the replies to starts | completed |
            | are started | another daemon is killed and a worker fails everything | completed |
            | are started | another daemon is killed and operators race | completed |
            | are started | another daemon is killed and a wave of cancels comes | completed |
            | are started | another daemon is killed and tasks use twice what they declared | completed |
            | are started | another daemon is killed and a job that never fits is submitted | completed |
            | are started | another daemon is paused and the platform is out | completed |
            | are started | another daemon is paused and the platform is slow | completed |
            | are started | another daemon is paused and the platform loses every second reply | completed |
            | are started | another daemon is paused and the platform answers late | completed |
            | are started | another daemon is paused and the data centres are cut off from each other | completed |
            | are started | another daemon is paused and a worker is lost | completed or mayHaveRun |
            | are started | another daemon is paused and a worker is unreachable | completed |
            | are started | another daemon is paused and workers lose the replies to starts | completed |
            | are started | another daemon is paused and operators race | completed |
            | are started | another daemon is paused and a wave of cancels comes | completed |
            | are started | another daemon is paused and tasks use twice what they declared | completed |
            | are started | another daemon is paused and a job that never fits is submitted | completed |
            | are started | the platform is out and the data centres are cut off from each other | completed |
            | are started | the platform is out and a worker is lost | completed or mayHaveRun |
            | are started | the platform is out and a worker is unreachable | completed |
            | are started | the platform is out and workers lose the replies to starts | completed |
            | are started | the platform is out and a worker fails everything | completed |
            | are started | the platform is out and operators race | completed |
            | are started | the platform is out and a wave of cancels comes | completed |
            | are started | the platform is out and tasks use twice what they declared | completed |
            | are started | the platform is out and a job that never fits is submitted | completed |
            | are started | the platform is slow and the data centres are cut off from each other | completed |
            | are started | the platform is slow and a worker is lost | completed or mayHaveRun |
            | are started | the platform is slow and a worker is unreachable | completed |
            | are started | the platform is slow and workers lose the replies to starts | completed |
            | are started | the platform is slow and operators race | completed |
            | are started | the platform is slow and a wave of cancels comes | completed |
            | are started | the platform is slow and tasks use twice what they declared | completed |
            | are started | the platform is slow and a job that never fits is submitted | completed |
            | are started | the platform loses every second reply and the data centres are cut off from each other | completed |
            | are started | the platform loses every second reply and a worker is lost | completed or mayHaveRun |
            | are started | the platform loses every second reply and a worker is unreachable | completed |
            | are started | the platform loses every second reply and workers lose the replies to starts | completed |
            | are started | the platform loses every second reply and a worker fails everything | completed |
            | are started | the platform loses every second reply and operators race | completed |
            | are started | the platform loses every second reply and a wave of cancels comes | completed |
            | are started | the platform loses every second reply and tasks use twice what they declared | completed |
            | are started | the platform loses every second reply and a job that never fits is submitted | completed |
            | are started | the platform answers late and the data centres are cut off from each other | completed |
            | are started | the platform answers late and a worker is lost | completed or mayHaveRun |
            | are started | the platform answers late and a worker is unreachable | completed |
            | are started | the platform answers late and workers lose the replies to starts | completed |
            | are started | the platform answers late and a worker fails everything | completed |
            | are started | the platform answers late and operators race | completed |
            | are started | the platform answers late and a wave of cancels comes | completed |
            | are started | the platform answers late and tasks use twice what they declared | completed |
            | are started | the platform answers late and a job that never fits is submitted | completed |
            | are started | the data centres are cut off from each other and a worker is lost | completed or mayHaveRun |
            | are started | the data centres are cut off from each other and a worker is unreachable | completed |
            | are started | the data centres are cut off from each other and workers lose the replies to starts | completed |
            | are started | the data centres are cut off from each other and operators race | completed |
            | are started | the data centres are cut off from each other and a wave of cancels comes | completed |
            | are started | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | are started | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | are started | a worker is lost and a worker is unreachable | completed or mayHaveRun |
            | are started | a worker is lost and workers lose the replies to starts | completed or mayHaveRun |
            | are started | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | are started | a worker is lost and operators race | completed or mayHaveRun |
            | are started | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | are started | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | are started | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | are started | a worker is unreachable and workers lose the replies to starts | completed |
            | are started | a worker is unreachable and a worker fails everything | completed |
            | are started | a worker is unreachable and operators race | completed |
            | are started | a worker is unreachable and a wave of cancels comes | completed |
            | are started | a worker is unreachable and tasks use twice what they declared | completed |
            | are started | a worker is unreachable and a job that never fits is submitted | completed |
            | are started | workers lose the replies to starts and a worker fails everything | completed |
            | are started | workers lose the replies to starts and operators race | completed |
            | are started | workers lose the replies to starts and a wave of cancels comes | completed |
            | are started | workers lose the replies to starts and tasks use twice what they declared | completed |
            | are started | workers lose the replies to starts and a job that never fits is submitted | completed |
            | are started | a worker fails everything and operators race | completed |
            | are started | a worker fails everything and tasks use twice what they declared | completed |
            | are started | a worker fails everything and a job that never fits is submitted | completed |
            | run | operators race | completed |
            | run | a wave of cancels comes | completed |
            | run | tasks use twice what they declared | completed |
            | run | a job that never fits is submitted | completed |
            | run | the home daemon is killed and a worker fails everything | completed |
            | run | the home daemon is killed and operators race | completed |
            | run | the home daemon is killed and a wave of cancels comes | completed |
            | run | the home daemon is killed and tasks use twice what they declared | completed |
            | run | the home daemon is killed and a job that never fits is submitted | completed |
            | run | the home daemon is paused and a worker fails everything | completed |
            | run | the home daemon is paused and operators race | completed |
            | run | the home daemon is paused and a wave of cancels comes | completed |
            | run | the home daemon is paused and tasks use twice what they declared | completed |
            | run | the home daemon is paused and a job that never fits is submitted | completed |
            | run | the home daemon is cut off from the platform and another daemon is killed | completed |
            | run | the home daemon is cut off from the platform and another daemon is paused | completed |
            | run | the home daemon is cut off from the platform and the platform is out | completed |
            | run | the home daemon is cut off from the platform and the platform is slow | completed |
            | run | the home daemon is cut off from the platform and the platform loses every second reply | completed |
            | run | the home daemon is cut off from the platform and the platform answers late | completed |
            | run | the home daemon is cut off from the platform and the data centres are cut off from each other | completed |
            | run | the home daemon is cut off from the platform and a worker fails everything | completed |
            | run | the home daemon is cut off from the platform and operators race | completed |
            | run | the home daemon is cut off from the platform and a wave of cancels comes | completed |
            | run | the home daemon is cut off from the platform and tasks use twice what they declared | completed |
            | run | the home daemon is cut off from the platform and a job that never fits is submitted | completed |
            | run | another daemon is killed and a worker fails everything | completed |
            | run | another daemon is killed and operators race | completed |
            | run | another daemon is killed and a wave of cancels comes | completed |
            | run | another daemon is killed and tasks use twice what they declared | completed |
            | run | another daemon is killed and a job that never fits is submitted | completed |
            | run | another daemon is paused and the platform is slow | completed |
            | run | another daemon is paused and a worker fails everything | completed |
            | run | another daemon is paused and operators race | completed |
            | run | another daemon is paused and a wave of cancels comes | completed |
            | run | another daemon is paused and tasks use twice what they declared | completed |
            | run | another daemon is paused and a job that never fits is submitted | completed |
            | run | the platform is out and a worker fails everything | completed |
            | run | the platform is out and operators race | completed |
            | run | the platform is out and a wave of cancels comes | completed |
            | run | the platform is out and tasks use twice what they declared | completed |
            | run | the platform is out and a job that never fits is submitted | completed |
            | run | the platform is slow and the data centres are cut off from each other | completed |
            | run | the platform is slow and a worker is lost | completed or mayHaveRun |
            | run | the platform is slow and a worker is unreachable | completed |
            | run | the platform is slow and workers lose the replies to starts | completed |
            | run | the platform is slow and a worker fails everything | completed |
            | run | the platform is slow and operators race | completed |
            | run | the platform is slow and a wave of cancels comes | completed |
            | run | the platform is slow and tasks use twice what they declared | completed |
            | run | the platform is slow and a job that never fits is submitted | completed |
            | run | the platform loses every second reply and a worker fails everything | completed |
            | run | the platform loses every second reply and operators race | completed |
            | run | the platform loses every second reply and a wave of cancels comes | completed |
            | run | the platform loses every second reply and tasks use twice what they declared | completed |
            | run | the platform loses every second reply and a job that never fits is submitted | completed |
            | run | the platform answers late and a worker fails everything | completed |
            | run | the platform answers late and operators race | completed |
            | run | the platform answers late and a wave of cancels comes | completed |
            | run | the platform answers late and tasks use twice what they declared | completed |
            | run | the platform answers late and a job that never fits is submitted | completed |
            | run | the data centres are cut off from each other and a worker fails everything | completed |
            | run | the data centres are cut off from each other and operators race | completed |
            | run | the data centres are cut off from each other and a wave of cancels comes | completed |
            | run | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | run | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | run | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | run | a worker is lost and operators race | completed or mayHaveRun |
            | run | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | run | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | run | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | run | a worker is unreachable and a worker fails everything | completed |
            | run | a worker is unreachable and operators race | completed |
            | run | a worker is unreachable and a wave of cancels comes | completed |
            | run | a worker is unreachable and tasks use twice what they declared | completed |
            | run | a worker is unreachable and a job that never fits is submitted | completed |
            | run | workers lose the replies to starts and a worker fails everything | completed |
            | run | workers lose the replies to starts and operators race | completed |
            | run | workers lose the replies to starts and a wave of cancels comes | completed |
            | run | workers lose the replies to starts and tasks use twice what they declared | completed |
            | run | workers lose the replies to starts and a job that never fits is submitted | completed |
            | run | a worker fails everything and operators race | completed |
            | run | a worker fails everything and a wave of cancels comes | completed |
            | run | a worker fails everything and tasks use twice what they declared | completed |
            | run | a worker fails everything and a job that never fits is submitted | completed |
            | end | operators race | completed |
            | end | a wave of cancels comes | completed |
            | end | tasks use twice what they declared | completed |
            | end | a job that never fits is submitted | completed |
            | end | the home daemon is killed and a worker fails everything | completed |
            | end | the home daemon is killed and operators race | completed |
            | end | the home daemon is killed and a wave of cancels comes | completed |
            | end | the home daemon is killed and tasks use twice what they declared | completed |
            | end | the home daemon is killed and a job that never fits is submitted | completed |
            | end | the home daemon is paused and a worker fails everything | completed |
            | end | the home daemon is paused and operators race | completed |
            | end | the home daemon is paused and a wave of cancels comes | completed |
            | end | the home daemon is paused and tasks use twice what they declared | completed |
            | end | the home daemon is paused and a job that never fits is submitted | completed |
            | end | the home daemon is cut off from the platform and another daemon is killed | completed |
            | end | the home daemon is cut off from the platform and another daemon is paused | completed |
            | end | the home daemon is cut off from the platform and the platform is out | completed |
            | end | the home daemon is cut off from the platform and the platform is slow | completed |
            | end | the home daemon is cut off from the platform and the platform loses every second reply | completed |
            | end | the home daemon is cut off from the platform and the platform answers late | completed |
            | end | the home daemon is cut off from the platform and the data centres are cut off from each other | completed |
            | end | the home daemon is cut off from the platform and a worker fails everything | completed |
            | end | the home daemon is cut off from the platform and operators race | completed |
            | end | the home daemon is cut off from the platform and a wave of cancels comes | completed |
            | end | the home daemon is cut off from the platform and tasks use twice what they declared | completed |
            | end | the home daemon is cut off from the platform and a job that never fits is submitted | completed |
            | end | another daemon is killed and a worker fails everything | completed |
            | end | another daemon is killed and operators race | completed |
            | end | another daemon is killed and a wave of cancels comes | completed |
            | end | another daemon is killed and tasks use twice what they declared | completed |
            | end | another daemon is killed and a job that never fits is submitted | completed |
            | end | another daemon is paused and the platform is slow | completed |
            | end | another daemon is paused and a worker fails everything | completed |
            | end | another daemon is paused and operators race | completed |
            | end | another daemon is paused and a wave of cancels comes | completed |
            | end | another daemon is paused and tasks use twice what they declared | completed |
            | end | another daemon is paused and a job that never fits is submitted | completed |
            | end | the platform is out and a worker fails everything | completed |
            | end | the platform is out and operators race | completed |
            | end | the platform is out and a wave of cancels comes | completed |
            | end | the platform is out and tasks use twice what they declared | completed |
            | end | the platform is out and a job that never fits is submitted | completed |
            | end | the platform is slow and the data centres are cut off from each other | completed |
            | end | the platform is slow and a worker is lost | completed or mayHaveRun |
            | end | the platform is slow and a worker is unreachable | completed |
            | end | the platform is slow and workers lose the replies to starts | completed |
            | end | the platform is slow and a worker fails everything | completed |
            | end | the platform is slow and operators race | completed |
            | end | the platform is slow and a wave of cancels comes | completed |
            | end | the platform is slow and tasks use twice what they declared | completed |
            | end | the platform is slow and a job that never fits is submitted | completed |
            | end | the platform loses every second reply and a worker fails everything | completed |
            | end | the platform loses every second reply and operators race | completed |
            | end | the platform loses every second reply and a wave of cancels comes | completed |
            | end | the platform loses every second reply and tasks use twice what they declared | completed |
            | end | the platform loses every second reply and a job that never fits is submitted | completed |
            | end | the platform answers late and a worker fails everything | completed |
            | end | the platform answers late and operators race | completed |
            | end | the platform answers late and a wave of cancels comes | completed |
            | end | the platform answers late and tasks use twice what they declared | completed |
            | end | the platform answers late and a job that never fits is submitted | completed |
            | end | the data centres are cut off from each other and a worker fails everything | completed |
            | end | the data centres are cut off from each other and operators race | completed |
            | end | the data centres are cut off from each other and a wave of cancels comes | completed |
            | end | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | end | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | end | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | end | a worker is lost and operators race | completed or mayHaveRun |
            | end | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | end | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | end | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | end | a worker is unreachable and a worker fails everything | completed |
            | end | a worker is unreachable and operators race | completed |
            | end | a worker is unreachable and a wave of cancels comes | completed |
            | end | a worker is unreachable and tasks use twice what they declared | completed |
            | end | a worker is unreachable and a job that never fits is submitted | completed |
            | end | workers lose the replies to starts and a worker fails everything | completed |
            | end | workers lose the replies to starts and operators race | completed |
            | end | workers lose the replies to starts and a wave of cancels comes | completed |
            | end | workers lose the replies to starts and tasks use twice what they declared | completed |
            | end | workers lose the replies to starts and a job that never fits is submitted | completed |
            | end | a worker fails everything and operators race | completed |
            | end | a worker fails everything and a wave of cancels comes | completed |
            | end | a worker fails everything and tasks use twice what they declared | completed |
            | end | a worker fails everything and a job that never fits is submitted | completed |
            | are answered | operators race | completed |
            | are answered | a wave of cancels comes | completed |
            | are answered | tasks use twice what they declared | completed |
            | are answered | a job that never fits is submitted | completed |
            | are answered | the home daemon is killed and another daemon is killed | completed |
            | are answered | the home daemon is killed and another daemon is paused | completed |
            | are answered | the home daemon is killed and the platform is out | completed |
            | are answered | the home daemon is killed and the platform is slow | completed |
            | are answered | the home daemon is killed and the platform loses every second reply | completed |
            | are answered | the home daemon is killed and the platform answers late | completed |
            | are answered | the home daemon is killed and the data centres are cut off from each other | completed |
            | are answered | the home daemon is killed and a worker is lost | completed or mayHaveRun |
            | are answered | the home daemon is killed and a worker is unreachable | completed |
            | are answered | the home daemon is killed and workers lose the replies to starts | completed |
            | are answered | the home daemon is killed and a worker fails everything | completed |
            | are answered | the home daemon is killed and operators race | completed |
            | are answered | the home daemon is killed and a wave of cancels comes | completed |
            | are answered | the home daemon is killed and tasks use twice what they declared | completed |
            | are answered | the home daemon is killed and a job that never fits is submitted | completed |
            | are answered | the home daemon is paused and another daemon is killed | completed |
            | are answered | the home daemon is paused and another daemon is paused | completed |
            | are answered | the home daemon is paused and the platform is out | completed |
            | are answered | the home daemon is paused and the platform is slow | completed |
            | are answered | the home daemon is paused and the platform loses every second reply | completed |
            | are answered | the home daemon is paused and the platform answers late | completed |
            | are answered | the home daemon is paused and the data centres are cut off from each other | completed |
            | are answered | the home daemon is paused and a worker is lost | completed or mayHaveRun |
            | are answered | the home daemon is paused and a worker is unreachable | completed |
            | are answered | the home daemon is paused and workers lose the replies to starts | completed |
            | are answered | the home daemon is paused and a worker fails everything | completed |
            | are answered | the home daemon is paused and operators race | completed |
            | are answered | the home daemon is paused and a wave of cancels comes | completed |
            | are answered | the home daemon is paused and tasks use twice what they declared | completed |
            | are answered | the home daemon is paused and a job that never fits is submitted | completed |
            | are answered | the home daemon is cut off from the platform and another daemon is killed | completed |
            | are answered | the home daemon is cut off from the platform and another daemon is paused | completed |
            | are answered | the home daemon is cut off from the platform and the platform is out | completed |
            | are answered | the home daemon is cut off from the platform and the platform is slow | completed |
            | are answered | the home daemon is cut off from the platform and the platform loses every second reply | completed |
            | are answered | the home daemon is cut off from the platform and the platform answers late | completed |
            | are answered | the home daemon is cut off from the platform and the data centres are cut off from each other | completed |
            | are answered | the home daemon is cut off from the platform and a worker is lost | completed or mayHaveRun |
            | are answered | the home daemon is cut off from the platform and a worker is unreachable | completed |
            | are answered | the home daemon is cut off from the platform and workers lose the replies to starts | completed |
            | are answered | the home daemon is cut off from the platform and a worker fails everything | completed |
            | are answered | the home daemon is cut off from the platform and operators race | completed |
            | are answered | the home daemon is cut off from the platform and a wave of cancels comes | completed |
            | are answered | the home daemon is cut off from the platform and tasks use twice what they declared | completed |
            | are answered | the home daemon is cut off from the platform and a job that never fits is submitted | completed |
            | are answered | another daemon is killed and the platform is out | completed |
            | are answered | another daemon is killed and the platform is slow | completed |
            | are answered | another daemon is killed and the platform loses every second reply | completed |
            | are answered | another daemon is killed and the platform answers late | completed |
            | are answered | another daemon is killed and the data centres are cut off from each other | completed |
            | are answered | another daemon is killed and a worker is lost | completed or mayHaveRun |
            | are answered | another daemon is killed and a worker is unreachable | completed |
            | are answered | another daemon is killed and workers lose the replies to starts | completed |
            | are answered | another daemon is killed and a worker fails everything | completed |
            | are answered | another daemon is killed and operators race | completed |
            | are answered | another daemon is killed and a wave of cancels comes | completed |
            | are answered | another daemon is killed and tasks use twice what they declared | completed |
            | are answered | another daemon is killed and a job that never fits is submitted | completed |
            | are answered | another daemon is paused and the platform is out | completed |
            | are answered | another daemon is paused and the platform is slow | completed |
            | are answered | another daemon is paused and the platform loses every second reply | completed |
            | are answered | another daemon is paused and the platform answers late | completed |
            | are answered | another daemon is paused and the data centres are cut off from each other | completed |
            | are answered | another daemon is paused and a worker is lost | completed or mayHaveRun |
            | are answered | another daemon is paused and a worker is unreachable | completed |
            | are answered | another daemon is paused and workers lose the replies to starts | completed |
            | are answered | another daemon is paused and a worker fails everything | completed |
            | are answered | another daemon is paused and operators race | completed |
            | are answered | another daemon is paused and a wave of cancels comes | completed |
            | are answered | another daemon is paused and tasks use twice what they declared | completed |
            | are answered | another daemon is paused and a job that never fits is submitted | completed |
            | are answered | the platform is out and the data centres are cut off from each other | completed |
            | are answered | the platform is out and a worker is lost | completed or mayHaveRun |
            | are answered | the platform is out and a worker is unreachable | completed |
            | are answered | the platform is out and workers lose the replies to starts | completed |
            | are answered | the platform is out and a worker fails everything | completed |
            | are answered | the platform is out and operators race | completed |
            | are answered | the platform is out and a wave of cancels comes | completed |
            | are answered | the platform is out and tasks use twice what they declared | completed |
            | are answered | the platform is out and a job that never fits is submitted | completed |
            | are answered | the platform is slow and the data centres are cut off from each other | completed |
            | are answered | the platform is slow and a worker is lost | completed or mayHaveRun |
            | are answered | the platform is slow and a worker is unreachable | completed |
            | are answered | the platform is slow and workers lose the replies to starts | completed |
            | are answered | the platform is slow and a worker fails everything | completed |
            | are answered | the platform is slow and operators race | completed |
            | are answered | the platform is slow and a wave of cancels comes | completed |
            | are answered | the platform is slow and tasks use twice what they declared | completed |
            | are answered | the platform is slow and a job that never fits is submitted | completed |
            | are answered | the platform loses every second reply and the data centres are cut off from each other | completed |
            | are answered | the platform loses every second reply and a worker is lost | completed or mayHaveRun |
            | are answered | the platform loses every second reply and a worker is unreachable | completed |
            | are answered | the platform loses every second reply and workers lose the replies to starts | completed |
            | are answered | the platform loses every second reply and a worker fails everything | completed |
            | are answered | the platform loses every second reply and operators race | completed |
            | are answered | the platform loses every second reply and a wave of cancels comes | completed |
            | are answered | the platform loses every second reply and tasks use twice what they declared | completed |
            | are answered | the platform loses every second reply and a job that never fits is submitted | completed |
            | are answered | the platform answers late and the data centres are cut off from each other | completed |
            | are answered | the platform answers late and a worker is lost | completed or mayHaveRun |
            | are answered | the platform answers late and a worker is unreachable | completed |
            | are answered | the platform answers late and workers lose the replies to starts | completed |
            | are answered | the platform answers late and a worker fails everything | completed |
            | are answered | the platform answers late and operators race | completed |
            | are answered | the platform answers late and a wave of cancels comes | completed |
            | are answered | the platform answers late and tasks use twice what they declared | completed |
            | are answered | the platform answers late and a job that never fits is submitted | completed |
            | are answered | the data centres are cut off from each other and a worker is lost | completed or mayHaveRun |
            | are answered | the data centres are cut off from each other and a worker is unreachable | completed |
            | are answered | the data centres are cut off from each other and workers lose the replies to starts | completed |
            | are answered | the data centres are cut off from each other and a worker fails everything | completed |
            | are answered | the data centres are cut off from each other and operators race | completed |
            | are answered | the data centres are cut off from each other and a wave of cancels comes | completed |
            | are answered | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | are answered | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | are answered | a worker is lost and a worker is unreachable | completed or mayHaveRun |
            | are answered | a worker is lost and workers lose the replies to starts | completed or mayHaveRun |
            | are answered | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | are answered | a worker is lost and operators race | completed or mayHaveRun |
            | are answered | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | are answered | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | are answered | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | are answered | a worker is unreachable and workers lose the replies to starts | completed |
            | are answered | a worker is unreachable and a worker fails everything | completed |
            | are answered | a worker is unreachable and operators race | completed |
            | are answered | a worker is unreachable and a wave of cancels comes | completed |
            | are answered | a worker is unreachable and tasks use twice what they declared | completed |
            | are answered | a worker is unreachable and a job that never fits is submitted | completed |
            | are answered | workers lose the replies to starts and a worker fails everything | completed |
            | are answered | workers lose the replies to starts and operators race | completed |
            | are answered | workers lose the replies to starts and a wave of cancels comes | completed |
            | are answered | workers lose the replies to starts and tasks use twice what they declared | completed |
            | are answered | workers lose the replies to starts and a job that never fits is submitted | completed |
            | are answered | a worker fails everything and operators race | completed |
            | are answered | a worker fails everything and a wave of cancels comes | completed |
            | are answered | a worker fails everything and tasks use twice what they declared | completed |
            | are answered | a worker fails everything and a job that never fits is submitted | completed |
            | are taken over | a worker fails everything | completed |
            | are taken over | operators race | completed |
            | are taken over | a wave of cancels comes | completed |
            | are taken over | tasks use twice what they declared | completed |
            | are taken over | a job that never fits is submitted | completed |
            | are taken over | the new holder is killed and another daemon is killed | completed |
            | are taken over | the new holder is killed and the platform is slow | completed |
            | are taken over | the new holder is killed and the platform answers late | completed |
            | are taken over | the new holder is killed and the data centres are cut off from each other | completed |
            | are taken over | the new holder is killed and a worker is unreachable | completed |
            | are taken over | the new holder is killed and workers lose the replies to starts | completed |
            | are taken over | the new holder is killed and a worker fails everything | completed |
            | are taken over | the new holder is killed and operators race | completed |
            | are taken over | the new holder is killed and a wave of cancels comes | completed |
            | are taken over | the new holder is killed and tasks use twice what they declared | completed |
            | are taken over | the new holder is killed and a job that never fits is submitted | completed |
            | are taken over | the new holder is paused and another daemon is killed | completed |
            | are taken over | the new holder is paused and the platform is slow | completed |
            | are taken over | the new holder is paused and the platform answers late | completed |
            | are taken over | the new holder is paused and the data centres are cut off from each other | completed |
            | are taken over | the new holder is paused and a worker is unreachable | completed |
            | are taken over | the new holder is paused and workers lose the replies to starts | completed |
            | are taken over | the new holder is paused and a worker fails everything | completed |
            | are taken over | the new holder is paused and operators race | completed |
            | are taken over | the new holder is paused and a wave of cancels comes | completed |
            | are taken over | the new holder is paused and tasks use twice what they declared | completed |
            | are taken over | the new holder is paused and a job that never fits is submitted | completed |
            | are taken over | the new holder is cut off from the platform and another daemon is killed | completed |
            | are taken over | the new holder is cut off from the platform and another daemon is paused | completed |
            | are taken over | the new holder is cut off from the platform and the platform is out | completed |
            | are taken over | the new holder is cut off from the platform and the platform is slow | completed |
            | are taken over | the new holder is cut off from the platform and the platform loses every second reply | completed |
            | are taken over | the new holder is cut off from the platform and the platform answers late | completed |
            | are taken over | the new holder is cut off from the platform and the data centres are cut off from each other | completed |
            | are taken over | the new holder is cut off from the platform and a worker is lost | completed or mayHaveRun |
            | are taken over | the new holder is cut off from the platform and a worker is unreachable | completed |
            | are taken over | the new holder is cut off from the platform and workers lose the replies to starts | completed |
            | are taken over | the new holder is cut off from the platform and a worker fails everything | completed |
            | are taken over | the new holder is cut off from the platform and operators race | completed |
            | are taken over | the new holder is cut off from the platform and a wave of cancels comes | completed |
            | are taken over | the new holder is cut off from the platform and tasks use twice what they declared | completed |
            | are taken over | the new holder is cut off from the platform and a job that never fits is submitted | completed |
            | are taken over | another daemon is killed and the platform is out | completed |
            | are taken over | another daemon is killed and the platform is slow | completed |
            | are taken over | another daemon is killed and the platform loses every second reply | completed |
            | are taken over | another daemon is killed and the platform answers late | completed |
            | are taken over | another daemon is killed and the data centres are cut off from each other | completed |
            | are taken over | another daemon is killed and a worker is lost | completed or mayHaveRun |
            | are taken over | another daemon is killed and a worker is unreachable | completed |
            | are taken over | another daemon is killed and workers lose the replies to starts | completed |
            | are taken over | another daemon is killed and a worker fails everything | completed |
            | are taken over | another daemon is killed and operators race | completed |
            | are taken over | another daemon is killed and a wave of cancels comes | completed |
            | are taken over | another daemon is killed and tasks use twice what they declared | completed |
            | are taken over | another daemon is killed and a job that never fits is submitted | completed |
            | are taken over | another daemon is paused and the platform is out | completed |
            | are taken over | another daemon is paused and the platform is slow | completed |
            | are taken over | another daemon is paused and the platform loses every second reply | completed |
            | are taken over | another daemon is paused and the platform answers late | completed |
            | are taken over | another daemon is paused and the data centres are cut off from each other | completed |
            | are taken over | another daemon is paused and a worker is lost | completed or mayHaveRun |
            | are taken over | another daemon is paused and a worker is unreachable | completed |
            | are taken over | another daemon is paused and workers lose the replies to starts | completed |
            | are taken over | another daemon is paused and a worker fails everything | completed |
            | are taken over | another daemon is paused and operators race | completed |
            | are taken over | another daemon is paused and a wave of cancels comes | completed |
            | are taken over | another daemon is paused and tasks use twice what they declared | completed |
            | are taken over | another daemon is paused and a job that never fits is submitted | completed |
            | are taken over | the platform is out and the data centres are cut off from each other | completed |
            | are taken over | the platform is out and a worker is lost | completed or mayHaveRun |
            | are taken over | the platform is out and a worker is unreachable | completed |
            | are taken over | the platform is out and workers lose the replies to starts | completed |
            | are taken over | the platform is out and a worker fails everything | completed |
            | are taken over | the platform is out and operators race | completed |
            | are taken over | the platform is out and a wave of cancels comes | completed |
            | are taken over | the platform is out and tasks use twice what they declared | completed |
            | are taken over | the platform is out and a job that never fits is submitted | completed |
            | are taken over | the platform is slow and the data centres are cut off from each other | completed |
            | are taken over | the platform is slow and a worker is lost | completed or mayHaveRun |
            | are taken over | the platform is slow and a worker is unreachable | completed |
            | are taken over | the platform is slow and workers lose the replies to starts | completed |
            | are taken over | the platform is slow and a worker fails everything | completed |
            | are taken over | the platform is slow and operators race | completed |
            | are taken over | the platform is slow and a wave of cancels comes | completed |
            | are taken over | the platform is slow and tasks use twice what they declared | completed |
            | are taken over | the platform is slow and a job that never fits is submitted | completed |
            | are taken over | the platform loses every second reply and the data centres are cut off from each other | completed |
            | are taken over | the platform loses every second reply and a worker is lost | completed or mayHaveRun |
            | are taken over | the platform loses every second reply and a worker is unreachable | completed |
            | are taken over | the platform loses every second reply and workers lose the replies to starts | completed |
            | are taken over | the platform loses every second reply and a worker fails everything | completed |
            | are taken over | the platform loses every second reply and operators race | completed |
            | are taken over | the platform loses every second reply and a wave of cancels comes | completed |
            | are taken over | the platform loses every second reply and tasks use twice what they declared | completed |
            | are taken over | the platform loses every second reply and a job that never fits is submitted | completed |
            | are taken over | the platform answers late and the data centres are cut off from each other | completed |
            | are taken over | the platform answers late and a worker is lost | completed or mayHaveRun |
            | are taken over | the platform answers late and a worker is unreachable | completed |
            | are taken over | the platform answers late and workers lose the replies to starts | completed |
            | are taken over | the platform answers late and a worker fails everything | completed |
            | are taken over | the platform answers late and operators race | completed |
            | are taken over | the platform answers late and a wave of cancels comes | completed |
            | are taken over | the platform answers late and tasks use twice what they declared | completed |
            | are taken over | the platform answers late and a job that never fits is submitted | completed |
            | are taken over | the data centres are cut off from each other and a worker is lost | completed or mayHaveRun |
            | are taken over | the data centres are cut off from each other and a worker is unreachable | completed |
            | are taken over | the data centres are cut off from each other and workers lose the replies to starts | completed |
            | are taken over | the data centres are cut off from each other and a worker fails everything | completed |
            | are taken over | the data centres are cut off from each other and operators race | completed |
            | are taken over | the data centres are cut off from each other and a wave of cancels comes | completed |
            | are taken over | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | are taken over | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | are taken over | a worker is lost and a worker is unreachable | completed or mayHaveRun |
            | are taken over | a worker is lost and workers lose the replies to starts | completed or mayHaveRun |
            | are taken over | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | are taken over | a worker is lost and operators race | completed or mayHaveRun |
            | are taken over | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | are taken over | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | are taken over | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | are taken over | a worker is unreachable and workers lose the replies to starts | completed |
            | are taken over | a worker is unreachable and a worker fails everything | completed |
            | are taken over | a worker is unreachable and operators race | completed |
            | are taken over | a worker is unreachable and a wave of cancels comes | completed |
            | are taken over | a worker is unreachable and tasks use twice what they declared | completed |
            | are taken over | a worker is unreachable and a job that never fits is submitted | completed |
            | are taken over | workers lose the replies to starts and a worker fails everything | completed |
            | are taken over | workers lose the replies to starts and operators race | completed |
            | are taken over | workers lose the replies to starts and a wave of cancels comes | completed |
            | are taken over | workers lose the replies to starts and tasks use twice what they declared | completed |
            | are taken over | workers lose the replies to starts and a job that never fits is submitted | completed |
            | are taken over | a worker fails everything and operators race | completed |
            | are taken over | a worker fails everything and a wave of cancels comes | completed |
            | are taken over | a worker fails everything and tasks use twice what they declared | completed |
            | are taken over | a worker fails everything and a job that never fits is submitted | completed |
            | are handed over | a worker fails everything | completed |
            | are handed over | operators race | completed |
            | are handed over | a wave of cancels comes | completed |
            | are handed over | tasks use twice what they declared | completed |
            | are handed over | a job that never fits is submitted | completed |
            | are handed over | the new holder is killed and another daemon is killed | completed |
            | are handed over | the new holder is killed and the platform is slow | completed |
            | are handed over | the new holder is killed and the platform answers late | completed |
            | are handed over | the new holder is killed and the data centres are cut off from each other | completed |
            | are handed over | the new holder is killed and a worker is unreachable | completed |
            | are handed over | the new holder is killed and workers lose the replies to starts | completed |
            | are handed over | the new holder is killed and a worker fails everything | completed |
            | are handed over | the new holder is killed and operators race | completed |
            | are handed over | the new holder is killed and a wave of cancels comes | completed |
            | are handed over | the new holder is killed and tasks use twice what they declared | completed |
            | are handed over | the new holder is killed and a job that never fits is submitted | completed |
            | are handed over | the new holder is paused and another daemon is killed | completed |
            | are handed over | the new holder is paused and the platform is slow | completed |
            | are handed over | the new holder is paused and the platform answers late | completed |
            | are handed over | the new holder is paused and the data centres are cut off from each other | completed |
            | are handed over | the new holder is paused and a worker is unreachable | completed |
            | are handed over | the new holder is paused and workers lose the replies to starts | completed |
            | are handed over | the new holder is paused and a worker fails everything | completed |
            | are handed over | the new holder is paused and operators race | completed |
            | are handed over | the new holder is paused and a wave of cancels comes | completed |
            | are handed over | the new holder is paused and tasks use twice what they declared | completed |
            | are handed over | the new holder is paused and a job that never fits is submitted | completed |
            | are handed over | the new holder is cut off from the platform and another daemon is killed | completed |
            | are handed over | the new holder is cut off from the platform and another daemon is paused | completed |
            | are handed over | the new holder is cut off from the platform and the platform is out | completed |
            | are handed over | the new holder is cut off from the platform and the platform is slow | completed |
            | are handed over | the new holder is cut off from the platform and the platform loses every second reply | completed |
            | are handed over | the new holder is cut off from the platform and the platform answers late | completed |
            | are handed over | the new holder is cut off from the platform and the data centres are cut off from each other | completed |
            | are handed over | the new holder is cut off from the platform and a worker is lost | completed or mayHaveRun |
            | are handed over | the new holder is cut off from the platform and a worker is unreachable | completed |
            | are handed over | the new holder is cut off from the platform and workers lose the replies to starts | completed |
            | are handed over | the new holder is cut off from the platform and a worker fails everything | completed |
            | are handed over | the new holder is cut off from the platform and operators race | completed |
            | are handed over | the new holder is cut off from the platform and a wave of cancels comes | completed |
            | are handed over | the new holder is cut off from the platform and tasks use twice what they declared | completed |
            | are handed over | the new holder is cut off from the platform and a job that never fits is submitted | completed |
            | are handed over | another daemon is killed and the platform is out | completed |
            | are handed over | another daemon is killed and the platform is slow | completed |
            | are handed over | another daemon is killed and the platform loses every second reply | completed |
            | are handed over | another daemon is killed and the platform answers late | completed |
            | are handed over | another daemon is killed and the data centres are cut off from each other | completed |
            | are handed over | another daemon is killed and a worker is lost | completed or mayHaveRun |
            | are handed over | another daemon is killed and a worker is unreachable | completed |
            | are handed over | another daemon is killed and workers lose the replies to starts | completed |
            | are handed over | another daemon is killed and a worker fails everything | completed |
            | are handed over | another daemon is killed and operators race | completed |
            | are handed over | another daemon is killed and a wave of cancels comes | completed |
            | are handed over | another daemon is killed and tasks use twice what they declared | completed |
            | are handed over | another daemon is killed and a job that never fits is submitted | completed |
            | are handed over | another daemon is paused and the platform is out | completed |
            | are handed over | another daemon is paused and the platform is slow | completed |
            | are handed over | another daemon is paused and the platform loses every second reply | completed |
            | are handed over | another daemon is paused and the platform answers late | completed |
            | are handed over | another daemon is paused and the data centres are cut off from each other | completed |
            | are handed over | another daemon is paused and a worker is lost | completed or mayHaveRun |
            | are handed over | another daemon is paused and a worker is unreachable | completed |
            | are handed over | another daemon is paused and workers lose the replies to starts | completed |
            | are handed over | another daemon is paused and a worker fails everything | completed |
            | are handed over | another daemon is paused and operators race | completed |
            | are handed over | another daemon is paused and a wave of cancels comes | completed |
            | are handed over | another daemon is paused and tasks use twice what they declared | completed |
            | are handed over | another daemon is paused and a job that never fits is submitted | completed |
            | are handed over | the platform is out and the data centres are cut off from each other | completed |
            | are handed over | the platform is out and a worker is lost | completed or mayHaveRun |
            | are handed over | the platform is out and a worker is unreachable | completed |
            | are handed over | the platform is out and workers lose the replies to starts | completed |
            | are handed over | the platform is out and a worker fails everything | completed |
            | are handed over | the platform is out and operators race | completed |
            | are handed over | the platform is out and a wave of cancels comes | completed |
            | are handed over | the platform is out and tasks use twice what they declared | completed |
            | are handed over | the platform is out and a job that never fits is submitted | completed |
            | are handed over | the platform is slow and the data centres are cut off from each other | completed |
            | are handed over | the platform is slow and a worker is lost | completed or mayHaveRun |
            | are handed over | the platform is slow and a worker is unreachable | completed |
            | are handed over | the platform is slow and workers lose the replies to starts | completed |
            | are handed over | the platform is slow and a worker fails everything | completed |
            | are handed over | the platform is slow and operators race | completed |
            | are handed over | the platform is slow and a wave of cancels comes | completed |
            | are handed over | the platform is slow and tasks use twice what they declared | completed |
            | are handed over | the platform is slow and a job that never fits is submitted | completed |
            | are handed over | the platform loses every second reply and the data centres are cut off from each other | completed |
            | are handed over | the platform loses every second reply and a worker is lost | completed or mayHaveRun |
            | are handed over | the platform loses every second reply and a worker is unreachable | completed |
            | are handed over | the platform loses every second reply and workers lose the replies to starts | completed |
            | are handed over | the platform loses every second reply and a worker fails everything | completed |
            | are handed over | the platform loses every second reply and operators race | completed |
            | are handed over | the platform loses every second reply and a wave of cancels comes | completed |
            | are handed over | the platform loses every second reply and tasks use twice what they declared | completed |
            | are handed over | the platform loses every second reply and a job that never fits is submitted | completed |
            | are handed over | the platform answers late and the data centres are cut off from each other | completed |
            | are handed over | the platform answers late and a worker is lost | completed or mayHaveRun |
            | are handed over | the platform answers late and a worker is unreachable | completed |
            | are handed over | the platform answers late and workers lose the replies to starts | completed |
            | are handed over | the platform answers late and a worker fails everything | completed |
            | are handed over | the platform answers late and operators race | completed |
            | are handed over | the platform answers late and a wave of cancels comes | completed |
            | are handed over | the platform answers late and tasks use twice what they declared | completed |
            | are handed over | the platform answers late and a job that never fits is submitted | completed |
            | are handed over | the data centres are cut off from each other and a worker is lost | completed or mayHaveRun |
            | are handed over | the data centres are cut off from each other and a worker is unreachable | completed |
            | are handed over | the data centres are cut off from each other and workers lose the replies to starts | completed |
            | are handed over | the data centres are cut off from each other and a worker fails everything | completed |
            | are handed over | the data centres are cut off from each other and operators race | completed |
            | are handed over | the data centres are cut off from each other and a wave of cancels comes | completed |
            | are handed over | the data centres are cut off from each other and tasks use twice what they declared | completed |
            | are handed over | the data centres are cut off from each other and a job that never fits is submitted | completed |
            | are handed over | a worker is lost and a worker is unreachable | completed or mayHaveRun |
            | are handed over | a worker is lost and workers lose the replies to starts | completed or mayHaveRun |
            | are handed over | a worker is lost and a worker fails everything | completed or mayHaveRun |
            | are handed over | a worker is lost and operators race | completed or mayHaveRun |
            | are handed over | a worker is lost and a wave of cancels comes | completed or mayHaveRun |
            | are handed over | a worker is lost and tasks use twice what they declared | completed or mayHaveRun |
            | are handed over | a worker is lost and a job that never fits is submitted | completed or mayHaveRun |
            | are handed over | a worker is unreachable and workers lose the replies to starts | completed |
            | are handed over | a worker is unreachable and a worker fails everything | completed |
            | are handed over | a worker is unreachable and operators race | completed |
            | are handed over | a worker is unreachable and a wave of cancels comes | completed |
            | are handed over | a worker is unreachable and tasks use twice what they declared | completed |
            | are handed over | a worker is unreachable and a job that never fits is submitted | completed |
            | are handed over | workers lose the replies to starts and a worker fails everything | completed |
            | are handed over | workers lose the replies to starts and operators race | completed |
            | are handed over | workers lose the replies to starts and a wave of cancels comes | completed |
            | are handed over | workers lose the replies to starts and tasks use twice what they declared | completed |
            | are handed over | workers lose the replies to starts and a job that never fits is submitted | completed |
            | are handed over | a worker fails everything and operators race | completed |
            | are handed over | a worker fails everything and a wave of cancels comes | completed |
            | are handed over | a worker fails everything and tasks use twice what they declared | completed |
            | are handed over | a worker fails everything and a job that never fits is submitted | completed |
            | are submitted | another daemon is paused and a worker fails everything | completed |
            | are submitted | the platform is slow and a worker fails everything | completed |
            | are submitted | the data centres are cut off from each other and a worker fails everything | completed |
            | are submitted | a worker fails everything and a wave of cancels comes | completed |
            | are started | another daemon is paused and a worker fails everything | completed |
            | are started | the platform is slow and a worker fails everything | completed |
            | are started | the data centres are cut off from each other and a worker fails everything | completed |
            | are started | a worker fails everything and a wave of cancels comes | completed |
