Feature: The build for the users' platform

    # Guards against a build that needs what only an earlier build, another command or this machine has left behind.
    Scenario Outline: A checkout with <state> is built by the command of the deploy file
        Given a checkout with "<state>"
        When it is built by the command of the deploy file
        Then the build leaves a bundle and its cached code

        Examples:
            | state           |
            | nothing else    |
