"""Programs that have one command."""

import sys

import cleo.application
import cleo.commands.command
import cleo.io.inputs.argv_input


def run_program(name: str, command: cleo.commands.command.Command) -> int:
    """Run the only command of a program with the words of the command line.

    Parameters
    ----------
    name : str
        As the program is called.
    command : cleo.commands.command.Command

    Returns
    -------
    int
        The exit code.
    """
    application = cleo.application.Application(name)
    application.add(command)
    words = [sys.argv[0], command.name, *sys.argv[1:]]
    return application.run(cleo.io.inputs.argv_input.ArgvInput(words))
