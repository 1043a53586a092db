"""Commands that start and end drains of backend servers, selected by label."""

import typing

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import client
from sedgeswitch.cli import exit_codes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.configuration import selectors

POLL_INTERVAL_S = 0.5
DEFAULT_WATCH_S = "120"

_COLUMNS = ("instance", "group", "role", "is_drained", "in_use", "is_idle")
_LABELS_ARGUMENT = helpers.argument(
    "labels",
    "LABEL=VALUE; selects the backend servers that have all of these labels.",
    multiple=True,
)


class BackendStatus(typing.NamedTuple):
    """State of the backend servers that a drain selects.

    Attributes
    ----------
    version : int
        Version of the configuration that the rows refer to.
    rows : tuple of dict
        One row for each backend server.
    """

    version: int
    rows: tuple[dict, ...]

    def is_idle(self, version: int) -> bool:
        """Return whether all are drained and idle in `version` or a later one."""
        return self.version >= version and all(
            row["is_drained"] and row["is_idle"] for row in self.rows
        )


class DrainCommand(base.ControlCommand):
    """Drains the backend servers with given labels."""

    name = "drain"
    description = (
        "Drain the backend servers with a label, and optionally wait until idle."
    )
    arguments = [_LABELS_ARGUMENT]
    options = [
        *base.CONTROL_OPTIONS,
        helpers.option("name", None, "Name of the drain.", False),
        helpers.option("watch", None, "Wait until all of them are idle."),
        helpers.option(
            "watch-seconds",
            None,
            "Longest wait with --watch.",
            False,
            default=DEFAULT_WATCH_S,
        ),
    ]
    help = """\
Primaries are moved to other instances first.  Within seconds the backend servers
receive no new work; running work finishes.  With --watch the exit code is 0 once
all of them are idle and maintenance may start, and 5 if they are not idle in time;
the drain stays in force.

Examples:
  sedgeswitch drain cleaning=monday --watch
  sedgeswitch undrain cleaning=monday"""

    def execute_command(self) -> int:
        """Start the drain, and wait until it is complete if requested."""
        labels = base.parse_labels(self.argument("labels"))
        watch_s = base.parse_seconds("watch-seconds", self.option("watch-seconds"))
        control = self.build_client()
        if not self._read_status(control, labels).rows:
            wanted = _format_labels(labels)
            detail = (
                f"no backend server that has announced itself has the labels {wanted}"
            )
            raise base.CommandError(exit_codes.ExitCode.REFUSED, detail)
        version = self.change_latest_version(
            control, lambda document: self._build_operations(document, labels)
        )
        if not self.option("watch"):
            text = f"draining {_format_labels(labels)} since version {version}"
            self.print_result({"version": version}, text)
            return exit_codes.ExitCode.OK
        return self._watch(control, labels, version, watch_s)

    def _build_operations(
        self, document: documents.Document, labels: dict[str, str]
    ) -> typing.Sequence[operations.Operation]:
        if find_drains(document, labels):
            return ()
        name = self.option("name") or ".".join(f"{k}.{v}" for k, v in labels.items())
        if name in document.drains:
            detail = f"a drain {name} with other labels exists; choose another --name"
            raise base.CommandError(exit_codes.ExitCode.REFUSED, detail)
        return (operations.SetDrain(name, documents.Drain(labels)),)

    def _watch(
        self,
        control: client.ControlClient,
        labels: dict[str, str],
        version: int,
        watch_s: float,
    ) -> int:
        deadline_s = self.environment.get_time_s() + watch_s
        while True:
            status = self._read_status(control, labels)
            idle = status.is_idle(version)
            if idle or self.environment.get_time_s() >= deadline_s:
                break
            self.environment.sleep(POLL_INTERVAL_S)
        if self.option("json"):
            self.print_json({"version": version, "idle": idle, "rows": status.rows})
        else:
            self.print_text("idle" if idle else "not idle yet")
            rows = [[row.get(name) for name in _COLUMNS] for row in status.rows]
            self.print_rows(_COLUMNS, rows)
        return exit_codes.ExitCode.OK if idle else exit_codes.ExitCode.NOT_YET

    def _read_status(
        self, control: client.ControlClient, labels: dict[str, str]
    ) -> BackendStatus:
        plain = self.call(control, "GET", "/v1/status/backend")
        rows = (
            row
            for row in plain["rows"]
            if selectors.has_labels(row.get("labels", {}), labels)
        )
        return BackendStatus(plain["version"], tuple(rows))


class UndrainCommand(base.ControlCommand):
    """Ends the drains with given labels."""

    name = "undrain"
    description = "End the drain of the backend servers with a label."
    arguments = [_LABELS_ARGUMENT]
    options = [*base.CONTROL_OPTIONS]
    help = """\
Ends each drain that has exactly these labels.

Examples:
  sedgeswitch undrain cleaning=monday"""

    def execute_command(self) -> int:
        """End the drains."""
        labels = base.parse_labels(self.argument("labels"))

        def build_operations(
            document: documents.Document,
        ) -> typing.Sequence[operations.Operation]:
            names = find_drains(document, labels)
            if not names:
                detail = f"no drain has the labels {_format_labels(labels)}"
                raise base.CommandError(exit_codes.ExitCode.REFUSED, detail)
            return tuple(operations.RemoveDrain(name) for name in names)

        version = self.change_latest_version(self.build_client(), build_operations)
        text = f"{_format_labels(labels)} may serve again since version {version}"
        self.print_result({"version": version}, text)
        return exit_codes.ExitCode.OK


def find_drains(
    document: documents.Document, labels: typing.Mapping[str, str]
) -> tuple[str, ...]:
    """Return the sorted names of the drains with exactly these labels."""
    return tuple(
        name
        for name, drain in sorted(document.drains.items())
        if dict(drain.labels) == labels
    )


def _format_labels(labels: typing.Mapping[str, str]) -> str:
    return ",".join(f"{name}={value}" for name, value in labels.items())
