"""What a caller asks within a session, and what it is answered."""

import enum
import typing

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions


class Kind(enum.Enum):
    """The kinds of steps."""

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
    """One request of a caller.

    Attributes
    ----------
    kind : Kind
    statement_id : bytes
    text : bytes
        As the caller sent it.
    is_read_only : bool
        Of a transaction that begins.
    name : bytes
        Of a session value or a prepared statement.
    value : bytes
        Of a session value; the arguments of a prepared statement that runs.
    shape : sessions.StatementShape or None
        Of a statement that is prepared.
    detail : str
        Why the request is malformed.
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
    signature : bytes
        Empty where no instance was asked.
    failure : sessions.Failure or None
    detail : str
        Explains a failure to a person.
    position : positions.Position or None
        Log position that the instance told.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    failure: sessions.Failure | None = None
    detail: str = ""
    position: positions.Position | None = None


def build_failure(failure: sessions.Failure, detail: str) -> Outcome:
    """Return the outcome of a step that got no result."""
    return Outcome(failure=failure, detail=detail)


def build_outcome(reply: sessions.Reply) -> Outcome:
    """Return the outcome that an instance's reply stands for."""
    return Outcome(
        reply.rows, reply.signature, reply.failure, reply.detail, reply.position
    )


class FailedError(Exception):
    """Ends the work on a step with a failure.

    Parameters
    ----------
    failure : sessions.Failure
    detail : str
    is_retryable : bool
        Whether another try, soon, may succeed; nothing has run.
    """

    def __init__(
        self, failure: sessions.Failure, detail: str, is_retryable: bool = False
    ):
        super().__init__(f"{failure.name}: {detail}")
        self.failure = failure
        self.detail = detail
        self.is_retryable = is_retryable
