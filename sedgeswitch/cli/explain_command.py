"""The command that explains a request by the logs of the hosts."""

import pathlib
import sys

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.observability import explain
from sedgeswitch.utils import checks


class ExplainCommand(base.BaseCommand):
    """Prints a request's way from its id to the cause of its answer."""

    name = "explain"
    description = "Explains a request's answer by log lines of the hosts."
    arguments = [
        helpers.argument("request", "The id of the statement."),
        helpers.argument(
            "files",
            "Files of log lines; standard input without any.",
            optional=True,
            multiple=True,
        ),
    ]
    options = [base.JSON_OPTION]

    def execute_command(self) -> int:
        """Print the lines of the request, marked, and those around them."""
        texts = self._read_texts(self.argument("files"))
        request = self.argument("request")
        told = explain.explain(explain.read_lines(texts), request)
        if not told:
            raise base.CommandError(
                exit_codes.ExitCode.REFUSED,
                f"no line of request {request}: only answers without a result have"
                " one, and a flood of them is summed up",
            )
        if self.option("json"):
            self.print_json([line for line, _ in told])
            return exit_codes.ExitCode.OK
        end_s = max(line.time_s for line, is_own in told if is_own)
        for line, is_own in told:
            mark = ">" if is_own else " "
            fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
            age_s = line.time_s - end_s
            self.print_text(
                f"{mark} {age_s:+8.3f} s  {line.host_id}  {line.message}  {fields}"
            )
        return exit_codes.ExitCode.OK

    def _read_texts(self, files: list[str]) -> list[str]:
        if not files:
            return sys.stdin.read().splitlines()
        texts = []
        for name in files:
            try:
                texts += pathlib.Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                raise checks.CheckError(
                    "files", "readable files", str(error)
                ) from error
        return texts
