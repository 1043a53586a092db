"""Conversion between the messages of this package and the types of sessions."""

from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding.generated import ttypes
from sedgeswitch.groups import positions
from sedgeswitch.transport import catalog


def encode_position(position: positions.Position | None) -> ttypes.Position | None:
    """Return the message of a log position, None for None."""
    return None if position is None else ttypes.Position(*position)


def decode_position(message: ttypes.Position | None) -> positions.Position | None:
    """Return the log position of a message, None for None."""
    if message is None:
        return None
    return positions.Position(message.timeline, message.lsn)


def encode_statement(
    statement: sessions.Statement, shape: sessions.StatementShape | None
) -> ttypes.Statement:
    """Return the message of a statement and the shape that it executes, if any."""
    encoded_shape = None if shape is None else ttypes.PreparedShape(*shape)
    return ttypes.Statement(*statement, encoded_shape)


def decode_statement(
    message: ttypes.Statement | None,
) -> tuple[sessions.Statement, sessions.StatementShape | None]:
    """Return the statement of a message and the shape that it executes, if any.

    Raises
    ------
    catalog.MessageError
        If the message is missing.
    """
    if message is None:
        raise catalog.MessageError("statement: expected one for the operation RUN")
    statement = sessions.Statement(
        message.statement_id, message.text, message.prepared_arguments
    )
    if message.shape is None:
        return statement, None
    shape = sessions.StatementShape(message.shape.is_write, message.shape.text)
    return statement, shape


def encode_reply(reply: sessions.Reply) -> messages.ForwardAnswer:
    """Return the answer that carries the reply of an instance."""
    return messages.ForwardAnswer(
        outcome=messages.Outcome.ANSWERED,
        rows=list(reply.rows) or None,
        signature=reply.signature or None,
        failure=None if reply.failure is None else reply.failure.name,
        detail=reply.detail or None,
        is_in_transaction=reply.is_in_transaction or None,
        is_transaction_failed=reply.is_transaction_failed or None,
        position=encode_position(reply.position),
    )


def decode_reply(answer: messages.ForwardAnswer) -> sessions.Reply:
    """Return the reply of an instance from an answer.

    Raises
    ------
    catalog.MessageError
        If the answer names an unknown failure.
    """
    failure = None
    if answer.failure is not None:
        failure = sessions.Failure.__members__.get(answer.failure)
        if failure is None:
            raise catalog.MessageError(f"failure: unknown name {answer.failure!r}")
    return sessions.Reply(
        tuple(answer.rows or ()),
        answer.signature or b"",
        failure,
        answer.detail or "",
        bool(answer.is_in_transaction),
        bool(answer.is_transaction_failed),
        decode_position(answer.position),
    )
