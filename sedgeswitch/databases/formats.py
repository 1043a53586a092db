"""Registry of the file formats of configuration documents.

An adapter registers how it decodes and checks a file and how it names the places in it.
"""

import collections.abc
import typing

from sedgeswitch.databases import documents
from sedgeswitch.databases import findings


class Checked(typing.NamedTuple):
    """Result of the check of a file.

    Attributes
    ----------
    document : documents.Document or None
        None if fields are missing or have the wrong type.
    errors : tuple of findings.PlacedFinding
        Reasons for which the leader refuses the file.
    warnings : tuple of findings.PlacedFinding
        Findings that depend on the form of the file.
    name_place : callable
        ``name_place(location)`` returns the place of a location in the file.
    """

    document: documents.Document | None
    errors: tuple[findings.PlacedFinding, ...]
    warnings: tuple[findings.PlacedFinding, ...]
    name_place: collections.abc.Callable[[documents.Location], str]


class Format:
    """Base class of file formats."""

    def check(self, text: bytes) -> Checked:
        """Check a file; any bytes are allowed."""
        raise NotImplementedError

    def decode_instances(self, text: bytes) -> tuple[findings.Instance, ...]:
        """Return the instances of a file with a list of them.

        Raises
        ------
        CheckError
            If the file is malformed.
        """
        raise NotImplementedError

    def convert_value(
        self, location: documents.Location, value: typing.Any
    ) -> typing.Any:
        """Return a value of a document as a file states it, None for no limit."""
        raise NotImplementedError


# Format of relay fleets.
RELAY = "relay"

_FORMATS: dict[str, Format] = {}


def register_format(
    name: str,
) -> collections.abc.Callable[[type[Format]], type[Format]]:
    """Return a class decorator that registers a format under a name."""

    def register(format_type: type[Format]) -> type[Format]:
        _FORMATS[name] = format_type()
        return format_type

    return register


def get_format(name: str) -> Format:
    """Return a format by its registered name.

    Raises
    ------
    KeyError
        If no format has the name.
    """
    return _FORMATS[name]
