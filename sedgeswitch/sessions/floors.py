"""Floors: the positions that the next read of a session must have reached.

A session is a name that callers of an organisation choose. Writes and reads without
a session belong to the organisation as a whole.
"""

import typing

from sedgeswitch.groups import positions
from sedgeswitch.sessions import tokens


class SessionKey(typing.NamedTuple):
    """Scope of a floor: whose writes in which group a read must see.

    Attributes
    ----------
    organisation : str
    session : str
        Name of the session; empty for the organisation as a whole.
    group : str
        Database group.
    """

    organisation: str
    session: str
    group: str


# Session name of the scope for writes without a session. No caller can use it, as
# headers hold printable characters only.
SESSIONLESS = "\n"


def list_recorded_scopes(key: SessionKey) -> tuple[SessionKey, ...]:
    """Return the scopes whose floor a write raises.

    Reads without a session must see the writes of all sessions of the
    organisation, so a write in a session also raises the floor of the organisation.
    Reads in a session must see the writes without a session but not those of other
    sessions, so writes without a session have a scope of their own.
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
    """The position that a session's next read must have reached.

    Attributes
    ----------
    position : positions.Position or None
        None if the session has not written.
    is_known : bool
        False if a write may be missing, so that only the primary may answer.
    """

    position: positions.Position | None
    is_known: bool


class FloorStore(typing.Protocol):
    """Stores the position of the last write of each session."""

    async def wait_ready(self, key: SessionKey, deadline_s: float) -> bool:
        """Wait until a write can be recorded; return False at the deadline."""

    async def record(
        self, key: SessionKey, position: positions.Position, deadline_s: float
    ) -> bool:
        """Store a write's position; return False at the deadline.

        Called before the write is acknowledged.
        """

    async def get_floor(self, key: SessionKey, deadline_s: float) -> Floor:
        """Return the floor of a session."""


class LocalFloors:
    """Stores floors in this process, for a fleet of one entry host."""

    def __init__(self):
        self._floors: dict[SessionKey, positions.Position] = {}

    async def wait_ready(
        self,
        key: SessionKey,  # noqa: ARG002
        deadline_s: float,  # noqa: ARG002
    ) -> bool:
        """Return True at once."""
        return True

    async def record(
        self,
        key: SessionKey,
        position: positions.Position,
        deadline_s: float,  # noqa: ARG002
    ) -> bool:
        """Store a write's position; always succeeds."""
        for scope in list_recorded_scopes(key):
            merged = tokens.merge_floor(self._floors.get(scope), position)
            self._floors[scope] = merged or position
        return True

    async def get_floor(
        self,
        key: SessionKey,
        deadline_s: float,  # noqa: ARG002
    ) -> Floor:
        """Return the recorded floor of a session."""
        position = None
        for scope in list_read_scopes(key):
            position = tokens.merge_floor(position, self._floors.get(scope))
        return Floor(position, is_known=True)
