"""Log positions: a PostgreSQL timeline and a log sequence number (LSN)."""

import re
import typing

from sedgeswitch.utils import checks

_LSN_PATTERN = re.compile(r"([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})")
_LOW_BITS = 32
_LOW_MASK = (1 << _LOW_BITS) - 1
_MAX_LSN = (1 << 2 * _LOW_BITS) - 1


class Position(typing.NamedTuple):
    """A position in the log of a group; ordered by timeline, then LSN.

    Attributes
    ----------
    timeline : int
        PostgreSQL timeline, at least 1. Each promotion starts a new one.
    lsn : int
        Log sequence number, in bytes.
    """

    timeline: int
    lsn: int


def check_lsn(field: str, value: object) -> int:
    """Parse an LSN in PostgreSQL's text form, such as ``0/16B3740``.

    Parameters
    ----------
    field : str
        Name of the value for the error message.
    value : object

    Returns
    -------
    int
        The LSN in bytes.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If `value` is not an LSN in PostgreSQL's text form.

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
    """Return the PostgreSQL text form of an LSN given in bytes.

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


def get_log_position(position: Position, log_timeline: int | None) -> Position:
    """Return the end of an instance's log, comparable between its group's instances.

    Parameters
    ----------
    position : Position
        Position that the instance reports, on the timeline of its role.
    log_timeline : int or None
        Timeline in which the log ends, if the driver reports it. On a primary without
        a write since its promotion it is earlier than that of `position`.
    """
    if log_timeline is None:
        return position
    return position._replace(timeline=log_timeline)


def has_reached(position: Position, floor: Position) -> bool:
    """Return whether an instance at `position` has replayed up to `floor`.

    Parameters
    ----------
    position : Position
        Position that the instance reports.
    floor : Position
        The lowest position that is required. It must be that of acknowledged
        writes, which survive every promotion.

    Notes
    -----
    Timeline and LSN must both have been reached. An instance that still reports
    an older timeline may have replayed a part of the log that the group has
    abandoned, whatever its LSN. An instance on a newer timeline has every
    acknowledged write up to its LSN.
    """
    return position.timeline >= floor.timeline and position.lsn >= floor.lsn


def confirms_write(position: Position, written: Position) -> bool:
    """Return whether an instance at `position` confirms a write.

    A write is acknowledged once enough instances confirm it.

    Parameters
    ----------
    position : Position
        Position that the instance reports.
    written : Position
        The timeline of the term under which the write ran, and the primary's
        LSN after the write.

    Notes
    -----
    An instance on a later timeline does not confirm the write, because that
    timeline may have branched off before it: the write is not acknowledged yet,
    so a promotion may have discarded it.
    """
    return position.timeline == written.timeline and position.lsn >= written.lsn
