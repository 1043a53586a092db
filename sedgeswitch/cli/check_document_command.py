"""Command that checks a configuration document of a relay fleet before it is sent."""

import pathlib
import typing

import msgspec
from cleo import helpers

from sedgeswitch.cli import base
from sedgeswitch.cli import exit_codes
from sedgeswitch.databases import differences
from sedgeswitch.databases import documents
from sedgeswitch.databases import findings
from sedgeswitch.databases import formats
from sedgeswitch.platform import document_check  # noqa: F401, registers the format
from sedgeswitch.utils import checks

_SIGNS = {
    differences.Change.ADDED: "+",
    differences.Change.REMOVED: "-",
    differences.Change.CHANGED: "~",
}


class PlacedDifference(typing.NamedTuple):
    """A difference as it is printed.

    Attributes
    ----------
    change : str
        A value of `differences.Change`.
    place : str
        Place in the checked file, or in the file in force for a removed item.
    name : str or None
        Name of the item.
    before, after : object
        Values of a field, as the file states them; None for items and for no limit.
    effect : str
    """

    change: str
    place: str
    name: str | None
    before: typing.Any
    after: typing.Any
    effect: str


class Report(typing.NamedTuple):
    """Everything that the command prints."""

    errors: tuple[findings.PlacedFinding, ...]
    warnings: tuple[findings.PlacedFinding, ...] = ()
    differences: tuple[PlacedDifference, ...] = ()


class CheckDocumentCommand(base.BaseCommand):
    """Checks a configuration document of a relay fleet."""

    name = "check-document"
    description = "Check a configuration document of a relay fleet without sending it."
    arguments = [helpers.argument("file", "Path of the document, a JSON file.")]
    options = [
        helpers.option(
            "against", None, "Compare with the document in force in this file.", False
        ),
        helpers.option(
            "instances", None, "JSON list of the announced instances.", False
        ),
        helpers.option(
            "regions",
            None,
            "JSON object with the region of each availability zone.",
            False,
        ),
        base.JSON_OPTION,
    ]
    help = """\
Lists the errors for which the document would be refused, warnings, and with --against
the differences from the document in force.  Keys are not printed.  The exit code is 0
without errors, 1 with errors, and 2 if a file cannot be read.

Examples:
  sedgeswitch check-document document.json
  sedgeswitch check-document document.json --against in-force.json --json"""

    def execute_command(self) -> int:
        """Check the document."""
        file_format = formats.get_format(formats.RELAY)
        checked = file_format.check(_load_bytes(self.argument("file")))
        in_force = self._load_in_force(file_format)
        fleet = self._load_fleet(file_format)
        report = build_report(file_format, checked, in_force, fleet)
        if self.option("json"):
            self.print_json(report)
        else:
            for line in format_report(report):
                self.print_text(line)
        return exit_codes.ExitCode.REFUSED if report.errors else exit_codes.ExitCode.OK

    def _load_in_force(self, file_format: formats.Format) -> formats.Checked | None:
        path = self.option("against")
        if path is None:
            return None
        checked = file_format.check(_load_bytes(path))
        for error in checked.errors:
            raise base.CommandError(
                exit_codes.ExitCode.USAGE, f"{path}: {error.place}: {error.detail}"
            )
        return checked

    def _load_fleet(self, file_format: formats.Format) -> findings.Fleet:
        instances = self._load_option("instances", file_format.decode_instances)
        regions = self._load_option("regions", _decode_regions)
        return findings.Fleet(instances, regions)

    def _load_option(
        self, name: str, decode: typing.Callable[[bytes], typing.Any]
    ) -> typing.Any:
        path = self.option(name)
        if path is None:
            return None
        try:
            return decode(_load_bytes(path))
        except checks.CheckError as error:
            raise base.CommandError(
                exit_codes.ExitCode.USAGE, f"{path}: {error}"
            ) from error


def build_report(
    file_format: formats.Format,
    checked: formats.Checked,
    in_force: formats.Checked | None = None,
    fleet: findings.Fleet | None = None,
) -> Report:
    """Return the report on a document.

    Parameters
    ----------
    file_format : formats.Format
    checked : formats.Checked
        The document. Without a decoded document there are only errors.
    in_force : formats.Checked, optional
        The document in force, without errors.
    fleet : findings.Fleet, optional
    """
    if checked.document is None:
        return Report(checked.errors)
    warnings = [
        findings.PlacedFinding(checked.name_place(warning.location), warning.detail)
        for warning in findings.find_warnings(
            checked.document, fleet or findings.Fleet()
        )
    ]
    changes: list[PlacedDifference] = []
    if in_force is not None:
        warnings += _find_version_warnings(checked, in_force)
        changes += _list_differences(file_format, checked, in_force)
    return Report(checked.errors, (*checked.warnings, *warnings), tuple(changes))


def format_report(report: Report) -> typing.Iterator[str]:
    """Yield the lines of a report for people."""
    for kind, items in (("error", report.errors), ("warning", report.warnings)):
        for item in items:
            yield f"{kind}: {item.place}: {item.detail}"
    for item in report.differences:
        change = differences.Change(item.change)
        words = [_SIGNS[change], item.place]
        if item.name is not None:
            words.append(f"({item.name!r})")
        if change == differences.Change.CHANGED:
            before, after = map(_format_value, (item.before, item.after))
            words.append(f"{before} -> {after}")
        yield f"{' '.join(words)}: {item.effect}"
    counts = zip(Report._fields, report, strict=True)
    yield ", ".join(f"{name}: {len(items)}" for name, items in counts)


def _find_version_warnings(
    checked: formats.Checked, in_force: formats.Checked
) -> typing.Iterator[findings.PlacedFinding]:
    if checked.document.version <= in_force.document.version:
        yield findings.PlacedFinding(
            checked.name_place(documents.Location("version")),
            f"{checked.document.version} is not above {in_force.document.version}, the"
            " version in force; the document would be ignored",
        )


def _list_differences(
    file_format: formats.Format, checked: formats.Checked, in_force: formats.Checked
) -> typing.Iterator[PlacedDifference]:
    for item in differences.compare_documents(in_force.document, checked.document):
        is_removed = item.change == differences.Change.REMOVED
        name_place = (in_force if is_removed else checked).name_place
        yield PlacedDifference(
            item.change.value,
            name_place(item.location),
            item.location.name,
            file_format.convert_value(item.location, item.before),
            file_format.convert_value(item.location, item.after),
            item.effect,
        )


def _format_value(value: typing.Any) -> str:
    return "unlimited" if value is None else msgspec.json.encode(value).decode()


def _load_bytes(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise base.CommandError(
            exit_codes.ExitCode.USAGE, f"{path}: {error}"
        ) from error


def _decode_regions(text: bytes) -> dict[str, str]:
    try:
        return msgspec.json.decode(text, type=dict[str, str])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise checks.CheckError(
            "regions", "a JSON object of regions by availability zone", str(error)
        ) from error
