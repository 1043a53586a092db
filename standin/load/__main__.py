"""Command of the load tool: ``python -m standin.load``."""

import pathlib
import sys
import time

import cleo.commands.command
import cleo.helpers
import trio

from sedgeswitch.utils import checks
from standin import addresses
from standin import commands
from standin.load import _audit
from standin.load import _mix
from standin.load import _run
from standin.load import _tally
from standin.load import _traffic

option = cleo.helpers.option

_OPTIONS = [
    option("entry", None, "Entry hosts as host:port,...", flag=False),
    option("organisations", None, "JSON file with the organisations.", flag=False),
    option("mix", None, "JSON file with the mix of work.", flag=False),
    option(
        "rate",
        None,
        "Statements per second of all organisations.",
        flag=False,
        default="50",
    ),
    option(
        "duration-s",
        None,
        "Duration.",
        flag=False,
        default="10",
    ),
    option("seed", None, "Seed of the random arrivals.", flag=False, default="1"),
    option("run", None, "Name of the run; made of the time by default.", flag=False),
    option("give-up-s", None, "Seconds to retry a request.", flag=False, default="15"),
    option(
        "timeout-s", None, "Seconds to wait for an answer.", flag=False, default="5"
    ),
    option("prepare", None, "Create the tables before the run."),
    option("no-audit", None, "Do not check the final state after the run."),
    option("tag-statements", None, "Begin each statement with a comment with its id."),
    option("json", None, "Print the report as JSON."),
]


class RunCommand(cleo.commands.command.Command):
    """Sends traffic to entry hosts and checks every answer."""

    name = "run"
    description = "Send traffic to entry hosts and check every answer."
    options = _OPTIONS

    def handle(self) -> int:
        """Run, print the report and return the exit code.

        Returns
        -------
        int
            0 without violations, 1 with violations, 2 if the run failed.
        """
        try:
            report = trio.run(
                _run.run,
                self._build_plan(),
                _run.Steps(self.option("prepare"), not self.option("no-audit")),
                float(self.option("timeout-s")),
                int(self.option("seed")),
            )
        except (ValueError, OSError, _audit.AuditError) as error:
            self.line_error(f"<error>{error}</error>")
            return 2
        if self.option("json"):
            print(_tally.encode_report(report).decode())
        else:
            print(_tally.format_report(report))
        return 1 if report.violations else 0

    def _build_plan(self) -> _traffic.Plan:
        for name in ("entry", "organisations", "mix"):
            if not self.option(name):
                raise ValueError(f"--{name}: expected a value, got nothing")
        rate_per_s = float(self.option("rate"))
        duration_s = float(self.option("duration-s"))
        return _traffic.Plan(
            hosts=addresses.parse_addresses(self.option("entry")),
            organisations=_mix.load_organisations(
                pathlib.Path(self.option("organisations"))
            ),
            mix=_mix.load_mix(pathlib.Path(self.option("mix"))),
            rate_per_s=checks.check_range("--rate", rate_per_s, 0.001),
            duration_s=checks.check_range("--duration-s", duration_s, 0),
            give_up_s=float(self.option("give-up-s")),
            run=self.option("run") or f"r{int(time.time())}",
            is_tagged=self.option("tag-statements"),
        )


def main() -> int:
    """Run the command line."""
    return commands.run_program("python -m standin.load", RunCommand())


if __name__ == "__main__":
    sys.exit(main())
