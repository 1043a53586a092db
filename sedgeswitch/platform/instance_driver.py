"""Connections to the platform's instances, in its line protocol."""

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

# Role of a primary in the rows that tell an instance's state.
_PRIMARY_ROLE = b"primary"
_STATE_FIELDS = 4
# Time after which the kernel gives up on a peer that acknowledges nothing.
SILENCE_LIMIT_MS = 5000


class LineConnection:
    """One connection to an instance, for one organisation.

    Parameters
    ----------
    stream : trio.SocketStream

    Attributes
    ----------
    position : positions.Position or None
        The last position that the instance told.
    """

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._reader = wire.LineReader(stream)
        self._is_open = True
        self._state = wire.IDLE
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[sessions.StatementShape, bytes] = {}
        self.position: positions.Position | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return self._is_open and self._state == wire.IDLE

    async def greet(self, *fields: bytes) -> None:
        """Introduce the caller.

        Raises
        ------
        sessions.ConnectionLostError
        base.DriverError
            If the instance refuses the connection.
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
        """Run a statement; see `sessions.SessionConnection.run`."""
        lines = []
        text = statement.text
        if shape is not None:
            name = self._prepared.get(shape)
            if name is None:
                name = self._prepared[shape] = b"s%d" % len(self._prepared)
                kind = b"WRITE" if shape.is_write else b"READ"
                lines.append(_build_query(b"PREPARE", name, kind, shape.text))
            text = b" ".join((b"EXECUTE", name, statement.prepared_arguments))
        if floor is not None:
            text = _add_floor(text, floor)
        lines.append(wire.encode_line(b"QUERY", statement.statement_id, text))
        reply = (await self._exchange(lines))[-1]
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
        """End a transaction without keeping its work."""
        return (await self._exchange([_build_query(b"ROLLBACK")]))[0]

    async def set_session_values(
        self, values: collections.abc.Mapping[bytes, bytes]
    ) -> sessions.Reply | None:
        """Give the connection exactly these session values.

        Returns
        -------
        sessions.Reply or None
            The reply that failed, None if all went well.
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
            # Which of the values it has is not known.
            await self.close()
            return failed[0]
        self._values = dict(values)
        return None

    async def read_state(self) -> instances.InstanceState:
        """Return what the instance says of itself."""
        return await self._ask_state(b"STATUS")

    async def fence(self, timeline: int) -> instances.InstanceState:
        """Stop a replica from following a primary below a timeline."""
        return await self._ask_state(b"PAUSE %d" % timeline)

    async def unfence(self) -> instances.InstanceState:
        """Let a replica follow its primary again."""
        return await self._ask_state(b"RESUME")

    async def step_down(self, timeline: int) -> instances.InstanceState:
        """Make a primary of a lower timeline a replica."""
        return await self._ask_state(b"STEPDOWN %d" % timeline)

    async def close(self) -> None:
        """Close the connection; closing it twice does nothing."""
        self._is_open = False
        await trio.aclose_forcefully(self._stream)

    async def _ask_state(self, text: bytes) -> instances.InstanceState:
        reply = (await self._exchange([_build_query(text)]))[0]
        if reply.failure is not None:
            raise base.DriverError(
                reply.failure.name, reply.detail, verdicts.Verdict.NOT_RUN, False
            )
        return decode_state(reply.rows)

    async def _exchange(
        self, lines: list[bytes], is_greeting: bool = False
    ) -> list[sessions.Reply]:
        """Send lines and return the reply to each; a lost connection is closed."""
        is_done = False
        try:
            data = b"".join(lines)
            sent_bytes = sockets.send_nonblocking(self._stream, data)
            if sent_bytes < len(data):
                await self._stream.send_all(data[sent_bytes:])
            replies = [await self._read_reply(is_greeting) for _ in lines]
            is_done = True
            return replies
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise sessions.ConnectionLostError(str(error)) from error
        except wire.LineError as error:
            raise sessions.ConnectionLostError(str(error)) from error
        finally:
            # A cancelled exchange leaves its answer on the wire.
            if not is_done:
                await self.close()

    async def _read_reply(self, is_greeting: bool) -> sessions.Reply:
        rows = []
        signature = detail = b""
        failure = None
        is_told = False
        while True:
            line = await self._reader.read()
            if line is None:
                raise sessions.ConnectionLostError("closed by the instance")
            word, _, rest = line.partition(b" ")
            if word == b"ROW":
                rows.append(rest)
            elif word == b"COMPLETE":
                signature = rest
                is_told = True
            elif word == b"ERROR":
                code, _, detail = rest.partition(b" ")
                failure = wire.FAILURE_BY_CODE.get(code, sessions.Failure.FAILED)
                is_told = True
                # Nothing but the end of the connection follows a refused greeting.
                if is_greeting:
                    return _build_reply(rows, signature, failure, detail, None)
            elif word == b"READY" and (is_told or not rows):
                return self._end_reply(rows, signature, failure, detail, rest)
            else:
                raise wire.LineError(f"unexpected {word[:20]!r}")

    def _end_reply(
        self,
        rows: list[bytes],
        signature: bytes,
        failure: sessions.Failure | None,
        detail: bytes,
        rest: bytes,
    ) -> sessions.Reply:
        ready = wire.decode_ready(rest)
        self._state = ready.state
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


def _build_query(*fields: bytes) -> bytes:
    """Return a statement of the system's own."""
    return wire.encode_line(b"QUERY", wire.NONE, *fields)


def _add_floor(text: bytes, floor: positions.Position) -> bytes:
    return b" ".join((b"AFTER", wire.encode_position(floor), text))


def decode_state(rows: tuple[bytes, ...]) -> instances.InstanceState:
    """Return the state that a row of role, term, position and more tells.

    Raises
    ------
    checks.CheckError
        If there is no such row.
    """
    fields = rows[0].split() if rows else []
    position = None
    if len(fields) >= _STATE_FIELDS:
        position = wire.decode_position(fields[2])
    if position is None or not fields[1].isdigit():
        raise checks.CheckError("state", "role, term and position", rows)
    if fields[0] != _PRIMARY_ROLE:
        return instances.InstanceState(True, position)
    # A primary's log shows its term only after the first commit under it.
    return instances.InstanceState(
        False,
        positions.Position(int(fields[1]), position.lsn),
        log_timeline=position.timeline,
    )


@base.register_driver("platform")
class LineDriver:
    """Opens `LineConnection` objects."""

    is_bound_to_user = True

    async def connect(self, target: base.Target, timeout_s: float) -> LineConnection:
        """Open a connection.

        Parameters
        ----------
        target : base.Target
            Its database is the name of the instance's group.
        timeout_s : float

        Raises
        ------
        base.DriverError
            If the instance can't be reached or refuses; nothing has run.
        """
        stream = None
        is_done = False
        try:
            with trio.fail_after(timeout_s):
                stream = await open_stream(target.host, target.port)
                connection = LineConnection(stream)
                fields = [target.database, target.user, target.instance]
                await connection.greet(*(item.encode() for item in fields if item))
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
    """Open a TCP connection by IP number, without a look-up of names."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    is_done = False
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)
        await sock.connect((host, port))
        is_done = True
    finally:
        if not is_done:
            sock.close()
    return trio.SocketStream(sock)


class InstanceOrders:
    """Reads and orders instances for the leader, over connections that are kept.

    Parameters
    ----------
    driver : LineDriver
    promote : callable
        ``await promote(order, timeout_s)`` asks the platform.
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
        self._kept: dict[base.Target, LineConnection] = {}

    async def read_state(
        self, target: base.Target, timeout_s: float
    ) -> instances.InstanceState | None:
        """Return the state of an instance, None without an answer in time."""
        return await self._ask(target, timeout_s, LineConnection.read_state)

    async def fence(
        self, target: base.Target, timeline: int, timeout_s: float
    ) -> instances.InstanceState | None:
        """Stop a replica from following a primary below a timeline."""
        state = await self._ask(
            target, timeout_s, lambda connection: connection.fence(timeline)
        )
        # A primary takes no such order, but tells its state.
        return state or await self.read_state(target, timeout_s)

    async def promote(self, order: instances.PromotionOrder, timeout_s: float) -> None:
        """Order a promotion."""
        await self._promote(order, timeout_s)

    async def unfence(self, target: base.Target, timeout_s: float) -> None:
        """Let a replica follow its primary again."""
        await self._ask(target, timeout_s, LineConnection.unfence)

    async def follow(
        self, target: base.Target, timeline: int, timeout_s: float
    ) -> None:
        """Let an instance follow the primary of a timeline."""
        await self._ask(
            target, timeout_s, lambda connection: connection.step_down(timeline)
        )
        await self.unfence(target, timeout_s)

    async def _ask(
        self,
        target: base.Target,
        timeout_s: float,
        ask: collections.abc.Callable[[LineConnection], typing.Any],
    ) -> instances.InstanceState | None:
        connection = self._kept.pop(target, None)
        with trio.move_on_after(timeout_s):
            try:
                if connection is None or not connection.is_usable:
                    connection = await self._driver.connect(target, timeout_s)
                state = await ask(connection)
            except (
                base.DriverError,
                sessions.ConnectionLostError,
                checks.CheckError,
            ):
                return None
            finally:
                if connection is not None and connection.is_usable:
                    self._keep(target, connection)
            return state
        return None

    def _keep(self, target: base.Target, connection: LineConnection) -> None:
        self._kept.setdefault(target, connection)
