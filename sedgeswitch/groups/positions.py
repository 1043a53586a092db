"""Log positions: PostgreSQL's timeline and log sequence number (LSN)."""

import re
import typing

from sedgeswitch.utils import checks

_LSN_PATTERN = re.compile(r"([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})")
_LOW_BITS = 32
_LOW_MASK = (1 << _LOW_BITS) - 1
_MAX_LSN = (1 << 2 * _LOW_BITS) - 1


class Position(typing.NamedTuple):
    """A place in the log of a group; ordered by timeline, then LSN.

    Attributes
    ----------
    timeline : int
        Timeline that the instance reported, at least 1.
    lsn : int
        Log sequence number in bytes.
    """

    timeline: int
    lsn: int


def check_lsn(field: str, value: object) -> int:
    """Return the LSN that a text such as ``0/16B3740`` stands for, in bytes.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If `value` is no LSN in PostgreSQL's text form.

    Examples
    --------
    >>> check_lsn("lsn", "1/10")
    4294967312
    """
    match = _LSN_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise checks.CheckError(field, "an LSN such as 0/16B3740", value)
    high, low = match.groups()
    return (int(high, 16) << _LOW_BITS) | int(low, 16)


def format_lsn(lsn: int) -> str:
    """Return PostgreSQL's text form of an LSN in bytes.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If `lsn` does not fit into 64 bits.

    Examples
    --------
    >>> format_lsn(4294967312)
    '1/10'
    """
    checks.check_range("lsn", lsn, 0, _MAX_LSN)
    return f"{lsn >> _LOW_BITS:X}/{lsn & _LOW_MASK:X}"


def has_reached(position: Position, floor: Position) -> bool:
    """Return whether an instance at `position` holds the acknowledged `floor`.

    Notes
    -----
    Both parts are compared. An instance that still reports an older timeline
    may hold a part of the log that the group has abandoned, whatever its LSN;
    one on a newer timeline holds every acknowledged write up to its LSN.
    """
    return position.timeline >= floor.timeline and position.lsn >= floor.lsn


def confirms_write(position: Position, written: Position) -> bool:
    """Return whether an instance at `position` counts for a write's ack set.

    Parameters
    ----------
    position : Position
    written : Position
        The timeline of the term under which the write ran, and the primary's
        LSN after it.

    Notes
    -----
    A later timeline does not count: it may have begun before the write, which
    nobody has acknowledged yet.
    """
    return position.timeline == written.timeline and position.lsn >= written.lsn
