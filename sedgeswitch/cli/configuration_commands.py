"""Commands that show, compare and change the configuration."""

import typing

from cleo import helpers

from sedgeswitch import settings
from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.configuration import differences
from sedgeswitch.configuration import distributor
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import records

POLL_INTERVAL_S = 0.5
_FILE_ARGUMENT = helpers.argument(
    "file", 'The desired configuration, complete or partial, or {"operations": [...]}.'
)


class ShowCommand(base.ControlCommand):
    """Prints the configuration in force."""

    name = "show"
    description = "Print the configuration in force."
    options = [*base.CONTROL_OPTIONS]
    help = """\
Prints the configuration with digests in place of keys.

Examples:
  sedgeswitch show --control 10.0.0.1:7000,10.0.0.2:7000
  sedgeswitch show --json > configuration.json"""

    def execute_command(self) -> int:
        """Print the configuration in force."""
        current = self.read_configuration(self.build_client())
        if self.option("json"):
            self.print_json(current.document)
            return exit_codes.ExitCode.OK
        self.print_text(f"version {current.version}")
        for title, headers, rows in _list_tables(current.document):
            if rows:
                self.print_text("")
                self.print_text(title)
                self.print_rows(headers, rows)
        return exit_codes.ExitCode.OK


class DiffCommand(base.ControlCommand):
    """Prints the changes that applying a file would make."""

    name = "diff"
    description = "Print the changes that applying a file would make."
    arguments = [_FILE_ARGUMENT]
    options = [*base.CONTROL_OPTIONS]
    help = """\
Each line is a field: + added, - removed, ~ changed.  Keys, and collections that
are missing from the file, are left unchanged.

Examples:
  sedgeswitch diff configuration.json"""

    def execute_command(self) -> int:
        """Print the changes that applying a file would make."""
        desired = base.load_json(self.argument("file"))
        current = self.read_configuration(self.build_client())
        operation_list = differences.compute_operations(current.document, desired)
        fields = list_changes(current.document, operation_list)
        if self.option("json"):
            plain = [operations.to_plain(operation) for operation in operation_list]
            value = {"base_version": current.version, "operations": plain}
            self.print_json({**value, "fields": fields})
            return exit_codes.ExitCode.OK
        self.print_text(f"against version {current.version}: {len(fields)} differences")
        for field in fields:
            self.print_text(format_field(field))
        return exit_codes.ExitCode.OK


class ApplyCommand(base.ControlCommand):
    """Changes the configuration to the one that a file states."""

    name = "apply"
    description = "Change the configuration to the one that a file states."
    arguments = [_FILE_ARGUMENT]
    options = [
        *base.CONTROL_OPTIONS,
        helpers.option(
            "base-version",
            None,
            "Change nothing (exit code 4) unless this version is in force.",
            flag=False,
        ),
    ]
    help = """\
Reads the configuration in force and sends its differences from the file.  If
another change is made in the meantime, nothing is changed and the exit code is
4: run diff again.  Collections that are missing from the file are left unchanged.

Examples:
  sedgeswitch apply configuration.json
  sedgeswitch apply configuration.json --base-version 17"""

    def execute_command(self) -> int:
        """Send the changes that a file makes."""
        desired = base.load_json(self.argument("file"))
        control = self.build_client()
        current = self.read_configuration(control)
        base_version = self._get_base_version(current.version)
        operation_list = differences.compute_operations(current.document, desired)
        if not operation_list:
            text = f"nothing to change; version {current.version} stays"
            self.print_result({"version": current.version, "operations": 0}, text)
            return exit_codes.ExitCode.OK
        version = self.send_change(control, base_version, operation_list)
        lines = [f"version {version} accepted ({len(operation_list)} operations)"]
        lines += map(format_field, list_changes(current.document, operation_list))
        result = {"version": version, "operations": len(operation_list)}
        self.print_result(result, "\n".join(lines))
        return exit_codes.ExitCode.OK

    def _get_base_version(self, version: int) -> int:
        text = self.option("base-version")
        if text is None:
            return version
        if not text.isdecimal():
            detail = f"--base-version: expected a version number, got {text!r}"
            raise base.CommandError(exit_codes.ExitCode.USAGE, detail)
        if int(text) != version:
            detail = f"version {version} is in force, not {text}; nothing was changed"
            raise base.CommandError(exit_codes.ExitCode.CONFLICT, detail)
        return version


class InForceCommand(base.ControlCommand):
    """Reports on which entry hosts the newest configuration is in force."""

    name = "in-force"
    description = "Report on which entry hosts the newest configuration is in force."
    options = [
        *base.CONTROL_OPTIONS,
        helpers.option(
            "wait",
            None,
            "Seconds to wait until it is in force everywhere.",
            False,
            default="0",
        ),
    ]
    help = """\
The exit code is 0 if the newest version is in force everywhere, 5 if not yet.

Examples:
  sedgeswitch in-force --wait 5"""

    def execute_command(self) -> int:
        """Report on which entry hosts the newest configuration is in force."""
        control = self.build_client()
        wait_s = base.parse_seconds("wait", self.option("wait"))
        deadline_s = self.environment.get_time_s() + wait_s
        while True:
            plain = self.call(control, "GET", "/v1/configuration/in-force")
            in_force = records.build_record(distributor.InForce, plain)
            if in_force.everywhere or self.environment.get_time_s() >= deadline_s:
                break
            self.environment.sleep(POLL_INTERVAL_S)
        self._print(in_force)
        return (
            exit_codes.ExitCode.OK
            if in_force.everywhere
            else exit_codes.ExitCode.NOT_YET
        )

    def _print(self, in_force: distributor.InForce) -> None:
        if self.option("json"):
            self.print_json(in_force)
            return
        outdated = in_force.list_outdated_hosts()
        where = (
            "everywhere" if in_force.everywhere else f"not yet on {', '.join(outdated)}"
        )
        self.print_text(f"version {in_force.version} is in force: {where}")
        self.print_rows(distributor.HostVersion._fields, in_force.hosts)


class CheckCommand(base.BaseCommand):
    """Validates a settings or configuration file."""

    name = "check"
    description = "Validate a settings or configuration file without sending it."
    arguments = [
        helpers.argument("kind", "settings or configuration"),
        helpers.argument("file", "Path of the JSON file."),
    ]
    help = """Examples:
  sedgeswitch check settings settings.json
  sedgeswitch check configuration configuration.json"""

    def execute_command(self) -> int:
        """Validate the file."""
        check = _CHECK_BY_KIND.get(self.argument("kind"))
        if check is None:
            detail = f"kind: expected one of {', '.join(_CHECK_BY_KIND)}"
            raise base.CommandError(exit_codes.ExitCode.USAGE, detail)
        check(base.load_json(self.argument("file")))
        self.print_text(f"{self.argument('file')} is valid")
        return exit_codes.ExitCode.OK


def list_changes(
    document: documents.Document, operation_list: typing.Iterable[operations.Operation]
) -> tuple[differences.FieldChange, ...]:
    """Return the changes of fields that operations would make to a document."""
    after = operations.apply_operations(document, operation_list)
    return differences.list_field_changes(document, after)


def format_field(field: differences.FieldChange) -> str:
    """Return the line that describes the change of a field."""
    before = records.encode_json(field.before).decode()
    after = records.encode_json(field.after).decode()
    if field.before is None:
        return f"+ {field.path} = {after}"
    if field.after is None:
        return f"- {field.path} = {before}"
    return f"~ {field.path} = {after} (was {before})"


_CHECK_BY_KIND = {
    "settings": settings.build_settings,
    "configuration": documents.build_document,
}


class _Table(typing.NamedTuple):
    title: str
    headers: typing.Sequence[str]
    rows: typing.Sequence[typing.Sequence]


def _list_tables(document: documents.Document) -> typing.Iterator[_Table]:
    organisations = document.organisations.items()
    headers = ("organisation", "rate_per_s", "burst", "keys", "withdrawn")
    rows = [
        (name, item.rate_per_s, item.burst, len(item.keys), _count_withdrawn(item))
        for name, item in sorted(organisations)
    ]
    yield _Table("organisations", headers, rows)
    for collection, record_type in (
        ("selectors", documents.Selector),
        ("groups", documents.Group),
        ("backend_servers", documents.BackendServer),
        ("drains", documents.Drain),
    ):
        items = sorted(getattr(document, collection).items())
        rows = [(name, *item) for name, item in items]
        yield _Table(collection, ("name", *record_type._fields), rows)


def _count_withdrawn(organisation: documents.Organisation) -> int:
    return sum(key.withdrawn for key in organisation.keys.values())
