"""Floors: the position that a session's next read must have reached."""

import typing

from sedgeswitch.groups import positions
from sedgeswitch.sessions import tokens


class SessionKey(typing.NamedTuple):
    """Whose writes a read must see.

    Attributes
    ----------
    organisation : str
    session : str
        Household; empty for the organisation as a whole.
    group : str
        Database group.
    """

    organisation: str
    session: str
    group: str


# No caller can name this session: headers hold printable characters only.
SESSIONLESS = "\n"


def list_recorded_scopes(key: SessionKey) -> tuple[SessionKey, ...]:
    """Return the scopes whose floor a write raises.

    The organisation as a whole sees the writes of all its households. What it
    writes without a session each of its households must see, so that is kept
    as a scope of its own, apart from what the households write.
    """
    if key.session:
        return (key, key._replace(session=""))
    return (key, key._replace(session=SESSIONLESS))


def list_read_scopes(key: SessionKey) -> tuple[SessionKey, ...]:
    """Return the scopes whose floors a read must have reached."""
    if key.session:
        return (key, key._replace(session=SESSIONLESS))
    return (key,)


class Floor(typing.NamedTuple):
    """What is known about a session's last write.

    Attributes
    ----------
    position : positions.Position or None
        Position that a read must have reached; None for no write.
    is_known : bool
        False if a write may be missing, so that only the primary will do.
    """

    position: positions.Position | None
    is_known: bool


class FloorStore(typing.Protocol):
    """Keeps the last position that each session has written."""

    async def wait_ready(self, key: SessionKey, deadline_s: float) -> bool:
        """Wait until a write can be recorded; False if not in time."""

    async def record(
        self, key: SessionKey, position: positions.Position, deadline_s: float
    ) -> bool:
        """Keep a position before its write is acknowledged."""

    async def get_floor(self, key: SessionKey, deadline_s: float) -> Floor:
        """Return the floor of a session."""


class LocalFloors:
    """Keeps floors in this process, for a fleet of one entry host."""

    def __init__(self):
        self._floors: dict[SessionKey, positions.Position] = {}

    async def wait_ready(
        self,
        key: SessionKey,  # noqa: ARG002
        deadline_s: float,  # noqa: ARG002
    ) -> bool:
        """Return at once."""
        return True

    async def record(
        self,
        key: SessionKey,
        position: positions.Position,
        deadline_s: float,  # noqa: ARG002
    ) -> bool:
        """Keep a position; always succeeds."""
        for scope in list_recorded_scopes(key):
            merged = tokens.merge_floor(self._floors.get(scope), position)
            self._floors[scope] = merged or position
        return True

    async def get_floor(
        self,
        key: SessionKey,
        deadline_s: float,  # noqa: ARG002
    ) -> Floor:
        """Return the floor that was recorded here."""
        position = None
        for scope in list_read_scopes(key):
            position = tokens.merge_floor(position, self._floors.get(scope))
        return Floor(position, is_known=True)
