"""Steps, which are the requests of a caller within a session, and their outcomes."""

import enum
import typing

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions


class Kind(enum.Enum):
    """Kind of a step; the value is the ``step`` label of metrics and log lines."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLL_BACK = "roll_back"
    READ = "read"
    WRITE = "write"
    SET_VALUE = "set_value"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "forget"
    MALFORMED = "malformed"


class Step(typing.NamedTuple):
    """One request of a caller within its session.

    Attributes
    ----------
    kind : Kind
    statement_id : bytes
        Identifier that the caller gave the statement.
    text : bytes
        Text of the statement as received from the caller.
    is_read_only : bool
        For ``BEGIN``: whether the transaction is read-only.
    name : bytes
        Name of the session value (``SET_VALUE``) or of the prepared statement
        (``PREPARE``, ``EXECUTE``, ``DEALLOCATE``).
    value : bytes
        For ``SET_VALUE``: the session value. For ``EXECUTE``: the arguments.
    shape : sessions.StatementShape or None
        For ``PREPARE``: the statement to prepare.
    detail : str
        For ``MALFORMED``: why the request could not be decoded.
    """

    kind: Kind
    statement_id: bytes
    text: bytes = b""
    is_read_only: bool = False
    name: bytes = b""
    value: bytes = b""
    shape: sessions.StatementShape | None = None
    detail: str = ""


class Outcome(typing.NamedTuple):
    """The final answer to a step.

    Attributes
    ----------
    rows : tuple of bytes
        Rows as received from the instance.
    signature : bytes
        Signature of the instance, which proves that it ran the statement; empty if
        the statement did not run on an instance.
    failure : sessions.Failure or None
        None if the step succeeded.
    detail : str
        Human-readable description of the failure.
    position : positions.Position or None
        Log position that the instance reported, if any.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    failure: sessions.Failure | None = None
    detail: str = ""
    position: positions.Position | None = None


def build_failure(failure: sessions.Failure, detail: str) -> Outcome:
    """Return the outcome of a failed step."""
    return Outcome(failure=failure, detail=detail)


def build_outcome(reply: sessions.Reply) -> Outcome:
    """Convert the reply of an instance to an outcome."""
    return Outcome(
        reply.rows, reply.signature, reply.failure, reply.detail, reply.position
    )


class FailedError(Exception):
    """Raised when a step fails.

    Parameters
    ----------
    failure : sessions.Failure
    detail : str
        Human-readable description of the failure.
    is_retryable : bool
        Whether no statement has run and another attempt may soon succeed.
    """

    def __init__(
        self, failure: sessions.Failure, detail: str, is_retryable: bool = False
    ):
        super().__init__(f"{failure.name}: {detail}")
        self.failure = failure
        self.detail = detail
        self.is_retryable = is_retryable
