"""The command that shows where the statements of a fleet spend their time."""

import datetime
import math

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.observability import explain
from sedgeswitch.observability import statistics
from sedgeswitch.utils import checks

_TITLES = ("kind", "stage", "count", "mean ms", "p50 ms <=", "p95 ms <=", "share")


class StagesCommand(base.BaseCommand):
    """Adds up the times of the stages of statements over the logs of many hosts."""

    name = "stages"
    description = "Show how long statements spend in each stage, from the hosts' logs."
    arguments = [base.LOGS_ARGUMENT]
    options = [
        helpers.option("since", None, "Start as an ISO 8601 time.", flag=False),
        helpers.option("until", None, "End as an ISO 8601 time.", flag=False),
        base.JSON_OPTION,
    ]

    def execute_command(self) -> int:
        """Print one line for each kind of operation and stage."""
        interval_s = [
            _decode_time(name, self.option(name), default_s)
            for name, default_s in (("since", -math.inf), ("until", math.inf))
        ]
        lines = explain.read_lines(self.read_texts(self.argument("files")))
        totals = statistics.add_up(lines, *interval_s)
        summaries = statistics.summarise(totals)
        if not summaries:
            raise base.CommandError(
                exit_codes.ExitCode.REFUSED,
                f"no log line {statistics.STAGES_LINE!r} in the given interval",
            )
        if self.option("json"):
            self.print_json([item._asdict() for item in summaries])
            return exit_codes.ExitCode.OK
        self.print_rows(_TITLES, [_build_row(item) for item in summaries])
        return exit_codes.ExitCode.OK


def _build_row(item: statistics.StageSummary) -> tuple:
    return (
        item.kind,
        item.stage,
        item.count,
        f"{item.mean_ms:.1f}",
        f"{item.p50_ms:.0f}",
        f"{item.p95_ms:.0f}",
        f"{item.share:.0%}",
    )


def _decode_time(name: str, text: str | None, default_s: float) -> float:
    if text is None:
        return default_s
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise checks.CheckError(name, "an ISO 8601 time", text) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.timestamp()
