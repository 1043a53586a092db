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

    async def wait_settled(self, key: SessionKey, deadline_s: float) -> bool:
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

    async def wait_settled(
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
        for scope in {key, key._replace(session="")}:
            merged = tokens.merge_floor(self._floors.get(scope), position)
            self._floors[scope] = merged or position
        return True

    async def get_floor(
        self,
        key: SessionKey,
        deadline_s: float,  # noqa: ARG002
    ) -> Floor:
        """Return the floor that was recorded here."""
        return Floor(self._floors.get(key), is_known=True)
