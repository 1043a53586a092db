"""Driver and control of the platform's instances over its line protocol."""

import collections.abc
import socket
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.platform import wire
from sedgeswitch.transport import sockets
from sedgeswitch.utils import checks

# Value of the role field in the state row of a primary.
_PRIMARY_ROLE = b"primary"
_MIN_STATE_FIELDS = 4
# Time without acknowledgement of sent data after which the kernel closes a connection.
TCP_USER_TIMEOUT_MS = 5000
# Failures of an execution whose statement the instance does not know.
_NOT_EXECUTED = frozenset(
    [sessions.Failure.UNKNOWN_STATEMENT, sessions.Failure.MALFORMED]
)


class LineConnection:
    """One connection to an instance, for one organisation.

    A floor, where a method takes one, is a lower bound for the log position: the
    instance runs the statement only on a log that has reached it.

    Parameters
    ----------
    stream : trio.SocketStream

    Attributes
    ----------
    position : positions.Position or None
        Log position that the instance reported last.
    """

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._reader = wire.LineReader(stream)
        self._is_open = True
        self._transaction_state = wire.IDLE
        self._values: dict[bytes, bytes] = {}
        # Names that the instance has acknowledged. They are never used again for
        # another shape, since the instance may keep one that this host has dropped.
        self._prepared: dict[sessions.StatementShape, bytes] = {}
        self._name_count = 0
        self.position: positions.Position | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return self._is_open and self._transaction_state == wire.IDLE

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the instance has closed the connection, which is not in use."""
        return sockets.is_closed_by_peer(self._stream)

    async def handshake(self, *fields: bytes) -> None:
        """Send CONNECT and wait for the answer.

        Parameters
        ----------
        *fields : bytes
            The fields of the CONNECT line.

        Raises
        ------
        sessions.ConnectionLostError
            If the connection breaks before the answer.
        base.DriverError
            If the instance refuses the connection, which is closed then.
        """
        replies = await self._exchange([wire.encode_line(b"CONNECT", *fields)], True)
        failure = replies[0].failure
        if failure is not None:
            await self.close()
            raise base.DriverError(
                failure.name, replies[0].detail, verdicts.Verdict.NOT_RUN, is_lost=True
            )

    async def run(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> sessions.Reply:
        """Run a statement; see `sessions.SessionConnection.run`.

        A shape that the connection has not prepared yet is prepared in the same
        round trip, and once more if the instance no longer knows it.
        """
        if shape is None:
            line = _build_statement(statement.statement_id, statement.text, floor)
            return (await self._exchange([line]))[0]
        reply = await self._run_prepared(statement, shape, floor)
        is_unknown = reply.failure is sessions.Failure.UNKNOWN_STATEMENT
        if is_unknown and not reply.is_transaction_failed:
            reply = await self._run_prepared(statement, shape, floor)
            is_unknown = reply.failure is sessions.Failure.UNKNOWN_STATEMENT
        if is_unknown:
            # The caller has prepared the statement: only the instance lacks it.
            return reply._replace(failure=sessions.Failure.OVERLOADED)
        return reply

    async def _run_prepared(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape,
        floor: positions.Position | None,
    ) -> sessions.Reply:
        """Execute a prepared statement, which is prepared first if it is not yet."""
        lines = []
        name = self._prepared.get(shape)
        is_new = name is None
        if is_new:
            name = b"s%d" % self._name_count
            self._name_count += 1
            kind = b"WRITE" if shape.is_write else b"READ"
            lines.append(_build_query(b"PREPARE", name, kind, shape.text))
        text = b" ".join((b"EXECUTE", name, statement.prepared_arguments))
        lines.append(_build_statement(statement.statement_id, text, floor))
        replies = await self._exchange(lines)
        prepared, reply = replies[0], replies[-1]
        if is_new and prepared.failure is None:
            self._prepared[shape] = name
        elif is_new and reply.failure in _NOT_EXECUTED:
            # The reason for which the instance did not prepare the statement.
            reply = _replace_failure(reply, prepared)
        if reply.failure is sessions.Failure.UNKNOWN_STATEMENT:
            self._prepared.pop(shape, None)
        return reply

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> sessions.Reply:
        """Begin a transaction."""
        text = b"BEGIN READ" if is_read_only else b"BEGIN"
        if floor is not None:
            text = _add_floor(text, floor)
        return (await self._exchange([_build_query(text)]))[0]

    async def roll_back(self) -> sessions.Reply:
        """Roll back the open transaction."""
        return (await self._exchange([_build_query(b"ROLLBACK")]))[0]

    async def set_session_values(
        self, values: collections.abc.Mapping[bytes, bytes]
    ) -> sessions.Reply | None:
        """Make these the connection's session values, and reset all others.

        Returns
        -------
        sessions.Reply or None
            The first failed reply, None if all statements succeeded.
        """
        if values == self._values:
            return None
        lines = []
        if self._values.keys() - values.keys():
            lines.append(_build_query(b"RESET"))
            self._values = {}
            self._prepared = {}
        lines += [
            _build_query(b"SET", name, value)
            for name, value in values.items()
            if self._values.get(name) != value
        ]
        replies = await self._exchange(lines)
        failed = [reply for reply in replies if reply.failure is not None]
        if failed:
            # It is unknown which of the values the instance has set.
            await self.close()
            return failed[0]
        self._values = dict(values)
        return None

    async def read_state(self) -> instances.InstanceState:
        """Return the state that the instance reports."""
        return await self._query_state(b"STATUS")

    async def fence(self, timeline: int) -> instances.InstanceState:
        """Stop a replica from following any primary below `timeline`."""
        return await self._query_state(b"PAUSE %d" % timeline)

    async def unfence(self) -> instances.InstanceState:
        """Lift the fence, so that a replica follows its primary again."""
        return await self._query_state(b"RESUME")

    async def step_down(self, timeline: int) -> instances.InstanceState:
        """Demote the instance to a replica if it is primary of a lower timeline."""
        return await self._query_state(b"STEPDOWN %d" % timeline)

    async def close(self) -> None:
        """Close the connection; a second call has no effect."""
        self._is_open = False
        await trio.aclose_forcefully(self._stream)

    async def _query_state(self, text: bytes) -> instances.InstanceState:
        reply = (await self._exchange([_build_query(text)]))[0]
        if reply.failure is not None:
            raise base.DriverError(
                reply.failure.name, reply.detail, verdicts.Verdict.NOT_RUN, False
            )
        return decode_state(reply.rows)

    async def _exchange(
        self, lines: list[bytes], is_handshake: bool = False
    ) -> list[sessions.Reply]:
        """Send lines and return the reply to each.

        The connection is closed unless every reply arrives in full.
        """
        is_done = False
        try:
            data = b"".join(lines)
            sent_bytes = sockets.send_nonblocking(self._stream, data)
            if sent_bytes < len(data):
                await self._stream.send_all(data[sent_bytes:])
            replies = [await self._read_reply(is_handshake) for _ in lines]
            is_done = True
            return replies
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise sessions.ConnectionLostError(str(error)) from error
        except wire.LineError as error:
            raise sessions.ConnectionLostError(str(error)) from error
        finally:
            # After a cancelled exchange, the rest of its answer would be read as the
            # answer to the next one.
            if not is_done:
                await self.close()

    async def _read_reply(self, is_handshake: bool) -> sessions.Reply:
        rows = []
        signature = detail = b""
        failure = None
        has_outcome = False
        while True:
            line = await self._reader.read()
            if line is None:
                raise sessions.ConnectionLostError("closed by the instance")
            keyword, _, rest = line.partition(b" ")
            if keyword == b"ROW":
                rows.append(rest)
            elif keyword == b"COMPLETE":
                signature = rest
                has_outcome = True
            elif keyword == b"ERROR":
                code, _, detail = rest.partition(b" ")
                failure = wire.FAILURE_BY_CODE.get(code, sessions.Failure.FAILED)
                has_outcome = True
                # The instance sends no READY after refusing CONNECT; it disconnects.
                if is_handshake:
                    return _build_reply(rows, signature, failure, detail, None)
            elif keyword == b"READY" and (has_outcome or not rows):
                return self._finish_reply(rows, signature, failure, detail, rest)
            else:
                raise wire.LineError(
                    "reply: expected ROW, COMPLETE, ERROR or READY in order,"
                    f" got {keyword[:20]!r}"
                )

    def _finish_reply(
        self,
        rows: list[bytes],
        signature: bytes,
        failure: sessions.Failure | None,
        detail: bytes,
        rest: bytes,
    ) -> sessions.Reply:
        ready = wire.decode_ready(rest)
        self._transaction_state = ready.state
        if ready.position is not None:
            self.position = ready.position
        return _build_reply(rows, signature, failure, detail, ready)


def _build_reply(
    rows: list[bytes],
    signature: bytes,
    failure: sessions.Failure | None,
    detail: bytes,
    ready: wire.Ready | None,
) -> sessions.Reply:
    state = wire.IDLE if ready is None else ready.state
    return sessions.Reply(
        tuple(rows),
        signature,
        failure,
        detail.decode(errors="replace"),
        state != wire.IDLE,
        state == wire.FAILED_TRANSACTION,
        None if ready is None else ready.position,
    )


def _replace_failure(reply: sessions.Reply, cause: sessions.Reply) -> sessions.Reply:
    """Return the reply to a statement that did not run, with the cause as its failure.

    A cause that may have had an effect is replaced: the statement had none.
    """
    failure = cause.failure
    if not failure.has_no_effect:
        failure = sessions.Failure.OVERLOADED
    return reply._replace(failure=failure, detail=cause.detail)


def _build_statement(
    statement_id: bytes, text: bytes, floor: positions.Position | None
) -> bytes:
    """Return the line of a caller's statement."""
    if floor is not None:
        text = _add_floor(text, floor)
    return wire.encode_line(b"QUERY", statement_id, text)


def _build_query(*fields: bytes) -> bytes:
    """Return the line of a statement that the proxy itself issues, without an id."""
    return wire.encode_line(b"QUERY", wire.NONE, *fields)


def _add_floor(text: bytes, floor: positions.Position) -> bytes:
    return b" ".join((b"AFTER", wire.encode_position(floor), text))


def decode_state(rows: tuple[bytes, ...]) -> instances.InstanceState:
    """Return the state of an instance from its rows.

    Parameters
    ----------
    rows : tuple of bytes
        The first row holds role, term, position and further fields, separated by
        blanks.

    Raises
    ------
    checks.CheckError
        If there is no row, or a field is missing or malformed.
    """
    fields = rows[0].split() if rows else []
    term = position = None
    if len(fields) >= _MIN_STATE_FIELDS:
        term = wire.decode_number(fields[1])
        position = wire.decode_position(fields[2])
    if term is None or position is None:
        raise checks.CheckError(
            "state", "a row of role, term, position and at least one more field", rows
        )
    if fields[0] != _PRIMARY_ROLE:
        return instances.InstanceState(True, position)
    # A new primary's log position carries its term only after its first commit.
    return instances.InstanceState(
        False,
        positions.Position(term, position.lsn),
        log_timeline=position.timeline,
    )


@base.register_driver("platform")
class LineDriver:
    """Opens connections of type `LineConnection`."""

    is_bound_to_user = True

    async def connect(self, target: base.Target, timeout_s: float) -> LineConnection:
        """Open a connection.

        Parameters
        ----------
        target : base.Target
            Its database is the name of the instance's group.
        timeout_s : float
            Time limit for connecting and the handshake, in seconds.

        Raises
        ------
        base.DriverError
            If the instance is unreachable or refuses the connection. Its verdict is
            that nothing has run.
        """
        stream = None
        is_done = False
        try:
            with trio.fail_after(timeout_s):
                stream = await open_stream(target.host, target.port)
                connection = LineConnection(stream)
                fields = [target.database, target.user, target.instance]
                await connection.handshake(*(item.encode() for item in fields if item))
                is_done = True
                return connection
        except (OSError, trio.TooSlowError, sessions.ConnectionLostError) as error:
            raise base.DriverError(
                "", str(error) or "timed out", verdicts.Verdict.NOT_RUN, is_lost=True
            ) from error
        finally:
            if stream is not None and not is_done:
                await trio.aclose_forcefully(stream)


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Open a TCP connection to an IPv4 address, without name resolution."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    is_done = False
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        await sock.connect((host, port))
        is_done = True
    finally:
        if not is_done:
            sock.close()
    return trio.SocketStream(sock)


class PlatformInstanceControl:
    """Reads the state of instances and controls their roles, for the leader.

    Implements `instances.InstanceControl`; idle connections are reused.

    Parameters
    ----------
    driver : LineDriver
    promote : callable
        ``await promote(order, timeout_s)`` sends a promotion order to the platform.
    """

    def __init__(
        self,
        driver: LineDriver,
        promote: collections.abc.Callable[
            [instances.PromotionOrder, float], collections.abc.Awaitable[None]
        ],
    ):
        self._driver = driver
        self._promote = promote
        self._idle_connections: dict[base.Target, LineConnection] = {}

    async def read_state(
        self, target: base.Target, timeout_s: float
    ) -> instances.InstanceState | None:
        """Return the state of an instance, None if it does not answer in time."""
        return await self._run_on_connection(
            target, timeout_s, LineConnection.read_state
        )

    async def fence(
        self, target: base.Target, timeline: int, timeout_s: float
    ) -> instances.InstanceState | None:
        """Stop a replica from following any primary below `timeline`."""
        state = await self._run_on_connection(
            target, timeout_s, lambda connection: connection.fence(timeline)
        )
        # A primary rejects PAUSE, so its state is read instead.
        return state or await self.read_state(target, timeout_s)

    async def promote(self, order: instances.PromotionOrder, timeout_s: float) -> None:
        """Send a promotion order to the platform."""
        await self._promote(order, timeout_s)

    async def unfence(self, target: base.Target, timeout_s: float) -> None:
        """Lift the fence, so that a replica follows its primary again."""
        await self._run_on_connection(target, timeout_s, LineConnection.unfence)

    async def follow(
        self, target: base.Target, timeline: int, timeout_s: float
    ) -> None:
        """Demote a primary below `timeline`, and lift the fence of a replica."""
        await self._run_on_connection(
            target, timeout_s, lambda connection: connection.step_down(timeline)
        )
        await self.unfence(target, timeout_s)

    async def _run_on_connection(
        self,
        target: base.Target,
        timeout_s: float,
        operation: collections.abc.Callable[[LineConnection], typing.Any],
    ) -> instances.InstanceState | None:
        connection = self._idle_connections.pop(target, None)
        with trio.move_on_after(timeout_s):
            try:
                if connection is None or not connection.is_usable:
                    connection = await self._driver.connect(target, timeout_s)
                state = await operation(connection)
            except (
                base.DriverError,
                sessions.ConnectionLostError,
                checks.CheckError,
            ):
                return None
            finally:
                if connection is not None and connection.is_usable:
                    self._return_connection(target, connection)
            return state
        return None

    def _return_connection(
        self, target: base.Target, connection: LineConnection
    ) -> None:
        self._idle_connections.setdefault(target, connection)
