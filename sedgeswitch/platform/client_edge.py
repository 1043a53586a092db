"""Serves clients that use the platform's line protocol."""

import collections.abc
import math

import loguru
import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.platform import wire
from sedgeswitch.relay import session as relay_sessions
from sedgeswitch.relay import steps
from sedgeswitch.transport import sockets

# Maximum time from accepting a connection to the end of its CONNECT handshake, in
# seconds.
HANDSHAKE_TIMEOUT_S = 10.0
# Maximum time that a handshake waits for a configuration, or for its confirmation, in
# seconds. Clients time out 2 s after CONNECT.
CONFIGURATION_WAIT_S = 1.6
_PREPARE_FIELDS = 3

Decoder = collections.abc.Callable[[bytes, bytes, bytes], steps.Step]
_DECODER_BY_KEYWORD: dict[bytes, Decoder] = {}


def _register_keyword(keyword: bytes) -> collections.abc.Callable[[Decoder], Decoder]:
    """Return a decorator that registers the decoder of a statement's keyword."""

    def register(decoder: Decoder) -> Decoder:
        _DECODER_BY_KEYWORD[keyword] = decoder
        return decoder

    return register


def decode_step(statement_id: bytes, text: bytes) -> steps.Step:
    """Return the step for the text of a statement.

    A statement that cannot be decoded gives a step of kind MALFORMED.
    """
    keyword, _, rest = text.partition(b" ")
    decoder = _DECODER_BY_KEYWORD.get(keyword)
    if decoder is None:
        return _build_malformed(statement_id, "unknown statement")
    return decoder(statement_id, text, rest)


def _build_malformed(statement_id: bytes, detail: str) -> steps.Step:
    return steps.Step(steps.Kind.MALFORMED, statement_id, detail=detail)


@_register_keyword(b"BEGIN")
def _decode_begin(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if rest not in (b"", b"READ"):
        return _build_malformed(statement_id, "BEGIN: expected READ or nothing")
    return steps.Step(
        steps.Kind.BEGIN, statement_id, text, is_read_only=rest == b"READ"
    )


@_register_keyword(b"COMMIT")
def _decode_commit(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if rest:
        return _build_malformed(statement_id, "COMMIT: expected no field")
    return steps.Step(steps.Kind.COMMIT, statement_id, text)


@_register_keyword(b"ROLLBACK")
def _decode_roll_back(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if rest:
        return _build_malformed(statement_id, "ROLLBACK: expected no field")
    return steps.Step(steps.Kind.ROLL_BACK, statement_id, text)


@_register_keyword(b"READ")
def _decode_read(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if not rest:
        return _build_malformed(statement_id, "READ: expected an item")
    return steps.Step(steps.Kind.READ, statement_id, text)


@_register_keyword(b"WRITE")
def _decode_write(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if not rest:
        return _build_malformed(statement_id, "WRITE: expected an item")
    return steps.Step(steps.Kind.WRITE, statement_id, text)


@_register_keyword(b"SET")
def _decode_set(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    name, separator, value = rest.partition(b" ")
    if not (name and separator):
        return _build_malformed(statement_id, "SET: expected a name and a value")
    return steps.Step(steps.Kind.SET_VALUE, statement_id, text, name=name, value=value)


@_register_keyword(b"PREPARE")
def _decode_prepare(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    fields = rest.split(b" ", _PREPARE_FIELDS - 1)
    if len(fields) != _PREPARE_FIELDS or fields[1] not in (b"READ", b"WRITE"):
        return _build_malformed(
            statement_id, "PREPARE: expected a name, READ or WRITE, and a shape"
        )
    name, kind, shape = fields
    return steps.Step(
        steps.Kind.PREPARE,
        statement_id,
        text,
        name=name,
        shape=sessions.StatementShape(kind == b"WRITE", shape),
    )


@_register_keyword(b"EXECUTE")
def _decode_execute(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    name, _, arguments = rest.partition(b" ")
    if not (name and arguments):
        return _build_malformed(statement_id, "EXECUTE: expected a name and an item")
    return steps.Step(
        steps.Kind.EXECUTE, statement_id, text, name=name, value=arguments
    )


@_register_keyword(b"DEALLOC")
def _decode_deallocate(statement_id: bytes, text: bytes, rest: bytes) -> steps.Step:
    if not rest:
        return _build_malformed(statement_id, "DEALLOC: expected a name")
    return steps.Step(steps.Kind.DEALLOCATE, statement_id, text, name=rest)


def encode_outcome(outcome: steps.Outcome, state: bytes) -> bytes:
    """Return the lines that report an outcome to a client.

    Parameters
    ----------
    outcome : steps.Outcome
    state : bytes
        Transaction state for the READY line; see `wire`.
    """
    lines = [wire.encode_line(b"ROW", row) for row in outcome.rows]
    if outcome.failure is None:
        lines.append(wire.encode_line(b"COMPLETE", outcome.signature or wire.NONE))
    else:
        lines = [_encode_error(outcome.failure, outcome.detail)]
    position = wire.encode_position(outcome.position)
    lines.append(wire.encode_line(b"READY", state, position))
    return b"".join(lines)


def _encode_error(failure: sessions.Failure, detail: str) -> bytes:
    text = detail.replace("\r", " ").replace("\n", " ").encode() or wire.NONE
    return wire.encode_line(b"ERROR", wire.CODE_BY_FAILURE[failure], text)


class ClientConnection:
    """One connection of a client.

    Parameters
    ----------
    stream : trio.SocketStream
    build_session : callable
        Returns a session for the name of a database and a key.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        build_session: relay_sessions.SessionFactory,
    ):
        self._stream = stream
        self._reader = wire.LineReader(stream)
        self._build_session = build_session
        self._session: relay_sessions.Session | None = None
        self._wait_scope: trio.CancelScope | None = None
        self._is_stopping = False

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for a request and no byte of one has arrived."""
        return self._wait_scope is not None and not self._reader.has_data

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits outside any transaction."""
        return self.is_waiting and not self.is_in_transaction

    @property
    def is_in_transaction(self) -> bool:
        """Whether the client has an open transaction."""
        return self._session is not None and self._session.is_in_transaction

    def stop(self) -> None:
        """Close the connection as soon as it waits for a request.

        An open transaction is rolled back.
        """
        self._is_stopping = True
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    async def run(self) -> None:
        """Serve the client until it disconnects or the connection is stopped."""
        try:
            if await self._handshake():
                while await self._serve_one():
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, wire.LineError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                if self._session is not None:
                    await self._session.close()
                await trio.aclose_forcefully(self._stream)

    async def _handshake(self) -> bool:
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            line = await self._receive(math.inf)
            if line is None:
                return False
            keyword, _, rest = line.partition(b" ")
            database, _, key = rest.partition(b" ")
            if keyword != b"CONNECT" or not database:
                await self._refuse(sessions.Failure.MALFORMED, "expected CONNECT")
                return False
            session = self._build_session(
                database.decode(errors="replace"), key.decode(errors="replace")
            )
            try:
                await session.open(CONFIGURATION_WAIT_S)
            except steps.FailedError as error:
                await self._refuse(error.failure, error.detail)
                return False
            self._session = session
            await self._send(wire.encode_line(b"READY", wire.IDLE, wire.NONE))
            return True
        return False

    async def _serve_one(self) -> bool:
        session = self._session
        line = await self._receive(session.get_idle_timeout_s())
        if line is None:
            return False
        keyword, _, rest = line.partition(b" ")
        if keyword == b"QUIT":
            return False
        statement_id, _, text = rest.partition(b" ")
        if keyword != b"QUERY" or not statement_id:
            step = _build_malformed(statement_id, "expected QUERY, an id and a text")
        else:
            step = decode_step(statement_id, text)
        outcome = await self._run(step)
        await self._send(encode_outcome(outcome, self._get_transaction_state()))
        return True

    async def _run(self, step: steps.Step) -> steps.Outcome:
        try:
            return await self._session.run(step)
        except Exception:
            loguru.logger.exception("step failed", statement_id=str(step.statement_id))
            return steps.build_failure(sessions.Failure.IN_DOUBT, "internal error")

    def _get_transaction_state(self) -> bytes:
        if self._session.is_failed:
            return wire.FAILED_TRANSACTION
        if self._session.is_in_transaction:
            return wire.IN_TRANSACTION
        return wire.IDLE

    async def _receive(self, idle_limit_s: float) -> bytes | None:
        """Return the next line; None at the end of the stream or after `stop`.

        After `idle_limit_s` without a line the session's open transaction is rolled
        back, and the connection goes on waiting without a limit.
        """
        while True:
            if self._is_stopping and not self._reader.receive_available():
                return None
            with trio.move_on_after(idle_limit_s) as scope:
                self._wait_scope = scope
                try:
                    return await self._reader.read()
                finally:
                    self._wait_scope = None
            if not self._is_stopping:
                await self._session.expire_transaction()
                idle_limit_s = math.inf

    async def _refuse(self, failure: sessions.Failure, detail: str) -> None:
        await self._send(_encode_error(failure, detail))

    async def _send(self, data: bytes) -> None:
        sent_bytes = sockets.send_nonblocking(self._stream, data)
        if sent_bytes < len(data):
            await self._stream.send_all(data[sent_bytes:])
