"""The interface of drivers that forward the statements of a session unchanged.

Unlike the drivers of `base`, they implement a protocol that marks statements as
reads or writes and returns a log position with each answer.
"""

import enum
import typing

from sedgeswitch.drivers import base
from sedgeswitch.groups import positions


class Failure(enum.Enum):
    """Reasons for which a statement has no result.

    The first part of the value is the name of the reason. The second is ``none``
    if the whole operation certainly had no effect, ``unknown`` if it may have had
    one.
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
        """Whether the operation certainly had no effect."""
        return self.value[1] == "none"


class Reply(typing.NamedTuple):
    """The answer of an instance to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        Rows as the instance sent them.
    signature : bytes
        Proof by the instance that it ran the statement; empty after a failure.
    failure : Failure or None
        None if the statement succeeded.
    detail : str
        Description of the failure by the instance.
    is_in_transaction : bool
        Whether a transaction is open on the connection.
    is_transaction_failed : bool
        Whether the open transaction has failed, so that it can only be ended.
    position : positions.Position or None
        Log position of the instance, if it sent one.
    """

    rows: tuple[bytes, ...]
    signature: bytes
    failure: Failure | None
    detail: str
    is_in_transaction: bool
    is_transaction_failed: bool
    position: positions.Position | None


class ConnectionLostError(Exception):
    """The connection was lost before the complete answer was received."""


class Statement(typing.NamedTuple):
    """A statement as the caller sent it.

    Attributes
    ----------
    statement_id : bytes
    text : bytes
        Statement text, forwarded unchanged.
    prepared_arguments : bytes or None
        For the execution of a prepared statement, the text after its name; None
        for other statements.
    """

    statement_id: bytes
    text: bytes
    prepared_arguments: bytes | None = None


class StatementShape(typing.NamedTuple):
    """The definition of a prepared statement, without its name.

    Prepared statements of callers with equal shapes share one prepared statement
    on a connection.

    Attributes
    ----------
    is_write : bool
    text : bytes
        Text that the caller sent to prepare the statement, without its name.
    """

    is_write: bool
    text: bytes


class SessionConnection(typing.Protocol):
    """An open connection to an instance, used by one task at a time.

    Each method except `close` raises `ConnectionLostError` if the connection is
    lost. A cancellation closes the connection.

    Attributes
    ----------
    is_usable : bool
        Whether the connection is open and outside any transaction.
    position : positions.Position or None
        Last log position that the instance sent on this connection.
    """

    is_usable: bool
    position: positions.Position | None

    async def run(
        self,
        statement: Statement,
        shape: StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> Reply:
        """Run one statement.

        Parameters
        ----------
        statement : Statement
        shape : StatementShape or None
            For the execution of a prepared statement, its definition, which is
            prepared first if the connection has not prepared it yet; None for other
            statements.
        floor : positions.Position or None
            Log position that the instance must have reached; otherwise the reply
            has the failure `Failure.BEHIND`. None for no such requirement.
        """

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> Reply:
        """Begin a transaction; `floor` is as for `run`."""

    async def roll_back(self) -> Reply:
        """Roll back the open transaction."""

    async def set_session_values(
        self, values: typing.Mapping[bytes, bytes]
    ) -> Reply | None:
        """Set the session values of the connection to exactly `values`.

        Returns
        -------
        Reply or None
            The first reply with a failure; None if all values are set.
        """

    async def close(self) -> None:
        """Close the connection."""


class SessionDriver(typing.Protocol):
    """Opens session connections, each for one organisation."""

    async def connect(self, target: base.Target, timeout_s: float) -> SessionConnection:
        """Open a connection.

        Raises
        ------
        base.DriverError
            With verdict "not run", if connecting fails or times out.
        """
