"""Commands that show the state of the fleet and change roles in it."""

import typing

from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import client
from sedgeswitch.cli import exit_codes
from sedgeswitch.utils import checks

KINDS = ("groups", "control", "entry", "backend")
MOVE_TIMEOUT_S = 60.0

# Columns printed first, in this order; the others follow in order of their names.
_LEADING_COLUMNS = (
    "instance",
    "host_id",
    "group",
    "state",
    "role",
    "term",
    "primary",
    "availability_zone",
    "address",
)


class StatusCommand(base.ControlCommand):
    """Shows groups, control hosts, entry hosts or backend servers."""

    name = "status"
    description = "Show groups, control hosts, entry hosts or backend servers."
    arguments = [
        helpers.argument("kind", f"One of {', '.join(KINDS)}; all by default.", True)
    ]
    options = [*base.CONTROL_OPTIONS]
    help = """Examples:
  sedgeswitch status
  sedgeswitch status backend --json"""

    def execute_command(self) -> int:
        """Show the state of the requested kinds."""
        kind = self.argument("kind")
        if kind is not None and kind not in KINDS:
            detail = f"kind: expected one of {', '.join(KINDS)}, got {kind!r}"
            raise base.CommandError(exit_codes.ExitCode.USAGE, detail)
        control = self.build_client()
        kinds = KINDS if kind is None else (kind,)
        views = {
            kind: self.call(control, "GET", f"/v1/status/{kind}")["rows"]
            for kind in kinds
        }
        if self.option("json"):
            self.print_json(views)
            return exit_codes.ExitCode.OK
        for kind, rows in views.items():
            self.print_text(f"{kind}: {len(rows)}")
            if rows:
                columns = _list_columns(rows)
                self.print_rows(columns, [list(map(row.get, columns)) for row in rows])
        return exit_codes.ExitCode.OK


class MovePrimaryCommand(base.ControlCommand):
    """Makes an instance the primary of its group."""

    name = "move-primary"
    description = "Make an instance the primary of its group."
    arguments = [
        helpers.argument("group", "Id of the group."),
        helpers.argument("instance", "Id of the instance."),
    ]
    options = [*base.CONTROL_OPTIONS]
    help = """\
Returns once the instance is the primary.

Examples:
  sedgeswitch move-primary draw-1 draw-1-b"""

    def execute_command(self) -> int:
        """Make the instance the primary."""
        group = checks.check_name("group", self.argument("group"))
        plain = {"instance": checks.check_name("instance", self.argument("instance"))}
        result = call_with_move_timeout(self, f"/v1/groups/{group}/primary", plain)
        self.print_result(result, f"{result['instance']} is the primary of {group}")
        return exit_codes.ExitCode.OK


class ReplaceControlCommand(base.ControlCommand):
    """Replaces one voting control host by another."""

    name = "replace-control"
    description = "Replace a control host by a new one."
    arguments = [
        helpers.argument("old", "Id of the control host to remove."),
        helpers.argument("new", "Id of the control host to add."),
    ]
    options = [
        *base.CONTROL_OPTIONS,
        helpers.option(
            "address",
            None,
            "host:port at which the new one listens for other daemons.",
            flag=False,
        ),
    ]
    help = """\
The new host must already run, with an empty data folder.  Returns once it has
caught up and the old one is removed.

Examples:
  sedgeswitch replace-control c2 c4 --address 10.0.0.4:7100"""

    def execute_command(self) -> int:
        """Replace the control host."""
        if not self.option("address"):
            raise base.CommandError(exit_codes.ExitCode.USAGE, "--address is required")
        address = client.build_address(self.option("address"), "address")
        plain = {
            "old": checks.check_name("old", self.argument("old")),
            "new": checks.check_name("new", self.argument("new")),
            "address": str(address),
        }
        result = call_with_move_timeout(self, "/v1/control/voters", plain)
        text = f"{result['new']} at {address} has replaced {result['old']}"
        self.print_result(result, text)
        return exit_codes.ExitCode.OK


def call_with_move_timeout(
    command: base.ControlCommand, path: str, plain: dict[str, str]
) -> dict[str, typing.Any]:
    """Send a request that may take up to `MOVE_TIMEOUT_S` and return its result."""
    control = command.build_client()
    return command.call(control, "POST", path, plain, MOVE_TIMEOUT_S)


def _list_columns(rows: typing.Sequence[dict]) -> list[str]:
    names = {name for row in rows for name in row}
    leading = [name for name in _LEADING_COLUMNS if name in names]
    return leading + sorted(names.difference(leading))
