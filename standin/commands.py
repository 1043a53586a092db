"""Runs command-line programs that have a single command."""

import sys

import cleo.application
import cleo.commands.command
import cleo.io.inputs.argv_input


def run_program(name: str, command: cleo.commands.command.Command) -> int:
    """Run the command of a program with the arguments of the command line.

    Parameters
    ----------
    name : str
        Name of the program in its help text.
    command : cleo.commands.command.Command

    Returns
    -------
    int
        The exit code.
    """
    application = cleo.application.Application(name)
    application.add(command)
    arguments = [sys.argv[0], command.name, *sys.argv[1:]]
    return application.run(cleo.io.inputs.argv_input.ArgvInput(arguments))
