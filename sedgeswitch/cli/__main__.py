"""The operators' command line, ``sedgeswitch``."""

import sys
import typing

from cleo import application as applications
from cleo import exceptions
from cleo.io.inputs import argv_input
from cleo.io.outputs import output as outputs

import sedgeswitch
from sedgeswitch.cli import check_document_command
from sedgeswitch.cli import configuration_commands
from sedgeswitch.cli import drain_commands
from sedgeswitch.cli import environment as environments
from sedgeswitch.cli import evacuation_commands
from sedgeswitch.cli import exit_codes
from sedgeswitch.cli import explain_command
from sedgeswitch.cli import key_commands
from sedgeswitch.cli import stages_command
from sedgeswitch.cli import status_commands

COMMANDS = (
    configuration_commands.ApplyCommand,
    configuration_commands.DiffCommand,
    configuration_commands.ShowCommand,
    configuration_commands.InForceCommand,
    configuration_commands.CheckCommand,
    check_document_command.CheckDocumentCommand,
    key_commands.KeyGiveCommand,
    key_commands.KeyWithdrawCommand,
    key_commands.KeyListCommand,
    key_commands.TokenMakeCommand,
    drain_commands.DrainCommand,
    drain_commands.UndrainCommand,
    evacuation_commands.EvacuateCommand,
    evacuation_commands.EndEvacuationCommand,
    evacuation_commands.EvacuationsCommand,
    status_commands.StatusCommand,
    status_commands.MovePrimaryCommand,
    status_commands.ReplaceControlCommand,
    explain_command.ExplainCommand,
    stages_command.StagesCommand,
)


def run(
    arguments: typing.Sequence[str],
    environment: environments.Environment,
    output: outputs.Output | None = None,
    error_output: outputs.Output | None = None,
) -> int:
    """Run one command line and return its exit code.

    Parameters
    ----------
    arguments : sequence of str
        Arguments without the name of the program.
    environment : environment.Environment
    output, error_output : cleo Output, optional
        Standard output and standard error by default.

    Returns
    -------
    int
        See `exit_codes.ExitCode`.
    """
    application = applications.Application("sedgeswitch", sedgeswitch.__version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command(environment))
    command_input = argv_input.ArgvInput(["sedgeswitch", *arguments])
    try:
        return application.run(command_input, output, error_output)
    except exceptions.CleoError as error:
        print_error(str(error), error_output)
        return exit_codes.ExitCode.USAGE


def print_error(detail: str, error_output: outputs.Output | None) -> None:
    """Print a usage error to `error_output`, or to standard error if it is None."""
    if error_output is None:
        sys.stderr.write(f"error: {detail}\n")
    else:
        error_output.write_line(f"error: {detail}", type=outputs.Type.RAW)


def main() -> int:
    """Run the command line of this process and return its exit code."""
    return run(sys.argv[1:], environments.build_environment())


if __name__ == "__main__":
    sys.exit(main())
