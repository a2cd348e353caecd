Feature: The build for the users' platform

    # Guards against a build that needs what only an earlier build, another command or this machine has left behind.
    Scenario Outline: A checkout with <state> is built by the command of the deploy file
        Given a checkout with "<state>"
        When it is built by the command of the deploy file
        Then the build leaves a bundle and its cached code

        Examples:
            | state                                 |
            | nothing else                          |
            | compiled modules of an earlier build  |
            | a bundler for another kind of machine |
            | a dependency of another version       |
            | a production environment              |
            | no home folder                        |
            | a home folder that cannot be created  |

    # Guards against a bundle that runs the code of an earlier build.
    Scenario Outline: A checkout whose adapter imports <module> is not built
        Given a checkout with "installed dependencies"
        And an adapter that imports "<module>", which only an earlier build has left
        When it is built by the command of the deploy file
        Then the build fails, names "<named>" and leaves no bundle

        Examples:
            | module                                            | named                                       |
            | puffinarchd/intake/removed                        | puffinarchd/intake/removed                  |
            | ../../packages/puffinarchd/dist/intake/removed.js | packages/puffinarchd/dist/intake/removed.js |
