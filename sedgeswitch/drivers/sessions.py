"""Connections that forward a session's statements as they are.

The other kind of driver beside `base`: it knows the words of a protocol whose
statements are typed, and tells positions with each answer.
"""

import enum
import typing

from sedgeswitch.drivers import base
from sedgeswitch.groups import positions


class Failure(enum.Enum):
    """Why a statement got no result, and whether it may have run.

    The value tells whether nothing of the whole operation is kept: ``none``, or
    ``unknown`` where it may be kept.
    """

    OVERLOADED = "overloaded", "none"
    BEHIND = "behind", "none"
    READ_ONLY = "read_only", "none"
    WRONG_INSTANCE = "wrong_instance", "none"
    TOO_MANY_CONNECTIONS = "too_many_connections", "none"
    ABORTED = "aborted", "none"
    UNKNOWN_STATEMENT = "unknown_statement", "none"
    UNAUTHENTICATED = "unauthenticated", "none"
    UNKNOWN_DATABASE = "unknown_database", "none"
    TOO_LARGE = "too_large", "none"
    MALFORMED = "malformed", "none"
    FAILED = "failed", "unknown"
    TIMED_OUT = "timed_out", "unknown"
    IN_DOUBT = "in_doubt", "unknown"

    @property
    def has_no_effect(self) -> bool:
        """Whether nothing of the operation is kept."""
        return self.value[1] == "none"


class Reply(typing.NamedTuple):
    """The answer of an instance to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        As the instance sent them.
    signature : bytes
        The instance's proof that it ran the statement; empty after a failure.
    failure : Failure or None
    detail : str
        What the instance said of the failure.
    is_in_transaction : bool
        Whether a transaction is open on the connection.
    is_transaction_failed : bool
        Whether that transaction can only be ended.
    position : positions.Position or None
        Position of the instance's log.
    """

    rows: tuple[bytes, ...]
    signature: bytes
    failure: Failure | None
    detail: str
    is_in_transaction: bool
    is_transaction_failed: bool
    position: positions.Position | None


class ConnectionLostError(Exception):
    """The connection broke before the whole answer had arrived."""


class Statement(typing.NamedTuple):
    """A statement as the caller sent it.

    Attributes
    ----------
    statement_id : bytes
    text : bytes
        Forwarded unchanged.
    prepared_arguments : bytes or None
        Of a prepared statement that runs: what follows its name.
    """

    statement_id: bytes
    text: bytes
    prepared_arguments: bytes | None = None


class StatementShape(typing.NamedTuple):
    """What a prepared statement runs; equal shapes share one on a connection.

    Attributes
    ----------
    is_write : bool
    text : bytes
    """

    is_write: bool
    text: bytes


class SessionConnection(typing.Protocol):
    """An open connection to an instance; one task uses it at a time.

    Each method but `close` raises `ConnectionLostError` if the connection breaks;
    cancelling one closes the connection.
    """

    is_usable: bool
    position: positions.Position | None

    async def run(
        self,
        statement: Statement,
        shape: StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> Reply:
        """Run a statement, on a log that has reached `floor`."""

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> Reply:
        """Begin a transaction."""

    async def roll_back(self) -> Reply:
        """End a transaction without keeping its work."""

    async def set_session_values(
        self, values: typing.Mapping[bytes, bytes]
    ) -> Reply | None:
        """Give the connection exactly these session values."""

    async def close(self) -> None:
        """Close the connection."""


class SessionDriver(typing.Protocol):
    """Opens session connections, each for one organisation."""

    async def connect(self, target: base.Target, timeout_s: float) -> SessionConnection:
        """Open a connection, raising `base.DriverError` (not run) on failure."""
