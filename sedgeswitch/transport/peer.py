"""The client side of calls between sedgeswitch processes."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import frames
from sedgeswitch.transport import sockets

# Shortest and longest pause between attempts to connect, in seconds; the pause
# doubles after each failed attempt.
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.25
# Timeout of an attempt to connect, in seconds. TCP retransmits a lost SYN packet only
# after 1 s, so that starting a new attempt connects sooner after the end of a
# partition. The timeout is many times the latency between two regions.
CONNECT_TIMEOUT_S = 0.6
# Timeout for sending the rest of a request that did not fit into the socket's buffer,
# in seconds.
SEND_TIMEOUT_S = 2.0
# Number of timed-out calls in a row after which the connection is replaced: when a
# partition has dropped packets, TCP may wait minutes before it retransmits.
RECONNECT_AFTER_TIMEOUTS = 3
# Time without any reply, while calls that expect a prompt reply are pending, after
# which the connection is replaced, in seconds; many times the round trip between two
# regions. The default of `Peer.reply_timeout_s`.
REPLY_TIMEOUT_S = 0.5


class Address(typing.NamedTuple):
    """The address at which a process listens.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class _PendingCall:
    """A call that waits for its answer.

    When `done` is set without a frame, the connection was lost.
    """

    def __init__(self):
        self.done = trio.Event()
        self.frame: frames.Frame | None = None


class Peer:
    """Sends calls to one other process over one persistent connection.

    `run` must run in a task of its own. A call that is made while there is no
    connection fails immediately with the verdict that it has not run.

    Parameters
    ----------
    address : Address

    Attributes
    ----------
    reply_timeout_s : float
        Time without any reply, while calls that expect a prompt reply are pending,
        after which the connection is replaced.
    """

    def __init__(self, address: Address):
        self.address = address
        self.reply_timeout_s = REPLY_TIMEOUT_S
        self._stream: trio.abc.Stream | None = None
        self._send_lock = trio.StrictFIFOLock()
        self._pending: dict[int, _PendingCall] = {}
        self._next_request_id = 0
        self._connect_requested = trio.Event()
        self._connected = trio.Event()
        self._receive_scope = trio.CancelScope()
        self._run_scope = trio.CancelScope()
        self._timeouts = 0
        # Start of the first call that expects a prompt reply and was made after the
        # last frame from the peer; None if there is no such call.
        self._unanswered_since_s: float | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is open."""
        return self._stream is not None

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is open; try at once if there is none."""
        self._connect_requested.set()
        await self._connected.wait()

    async def run(self) -> None:
        """Maintain a connection until cancelled or closed."""
        with self._run_scope:
            await self._connect_forever()

    def close(self) -> None:
        """End `run` and close the connection."""
        self._run_scope.cancel()

    async def _connect_forever(self) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                with trio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await trio.open_tcp_stream(*self.address)
            except (OSError, trio.TooSlowError):
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
            else:
                await self._receive(stream)
                delay_s = RECONNECT_MIN_S
            # The pause is also needed after a successful connection, because a peer
            # may close each one at once.
            with trio.move_on_after(delay_s):
                await self._connect_requested.wait()
            self._connect_requested = trio.Event()

    async def call(
        self, message: typing.Any, timeout_s: float, expects_prompt_reply: bool = True
    ) -> typing.Any:
        """Send a request and return its reply.

        Parameters
        ----------
        message : object
            A Thrift struct of the catalogue.
        timeout_s : float
            Maximum time to wait for the reply, in seconds.
        expects_prompt_reply : bool
            Whether the peer is expected to answer immediately. A connection without
            any reply for `reply_timeout_s` after such a call is replaced.

        Raises
        ------
        failures.CallError
            If there is no reply, or the peer reports a failure; the verdict says
            whether the peer may have executed the request.
        """
        stream = self._stream
        if stream is None:
            self._connect_requested.set()
            raise failures.CallError(
                "unreachable", str(self.address), verdicts.Verdict.NOT_RUN
            )
        if expects_prompt_reply and self._unanswered_since_s is None:
            self._unanswered_since_s = trio.current_time()
        self._next_request_id += 1
        request_id = self._next_request_id
        pending = self._pending[request_id] = _PendingCall()
        try:
            with trio.move_on_after(timeout_s):
                await self._send(stream, request_id, message)
                await pending.done.wait()
        finally:
            self._pending.pop(request_id, None)
            # This also runs if the caller cancels the call before its timeout.
            if expects_prompt_reply and not pending.done.is_set():
                self._check_reply_timeout(stream)
        if not pending.done.is_set():
            self._count_timeout(stream)
        return self._unwrap_reply(pending)

    def _count_timeout(self, stream: trio.abc.Stream) -> None:
        self._timeouts += 1
        if self._timeouts >= RECONNECT_AFTER_TIMEOUTS:
            self._discard_connection(stream)

    def _check_reply_timeout(self, stream: trio.abc.Stream) -> None:
        since_s = self._unanswered_since_s
        if (
            since_s is not None
            and trio.current_time() - since_s >= self.reply_timeout_s
        ):
            self._discard_connection(stream)

    async def _send(
        self, stream: trio.abc.Stream, request_id: int, message: typing.Any
    ) -> None:
        data = frames.encode_frame(
            frames.Frame(frames.KIND_REQUEST, request_id, message)
        )
        try:
            self._send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self._send_lock.acquire()
        try:
            sent_bytes = sockets.send_nonblocking(stream, data)
            if sent_bytes < len(data):
                await self._send_rest(stream, data[sent_bytes:])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._discard_connection(stream)
        finally:
            self._send_lock.release()

    async def _send_rest(self, stream: trio.abc.Stream, data: bytes) -> None:
        # The shield lets the frame be sent in full when the caller's timeout passes:
        # after a truncated frame the peer could not decode the following ones.
        with trio.CancelScope(
            shield=True, deadline=trio.current_time() + SEND_TIMEOUT_S
        ) as scope:
            await stream.send_all(data)
        if scope.cancelled_caught:
            self._discard_connection(stream)

    def _unwrap_reply(self, pending: _PendingCall) -> typing.Any:
        frame = pending.frame
        if frame is None:
            code = "connection_lost" if pending.done.is_set() else "timeout"
            raise failures.CallError(
                code, str(self.address), verdicts.Verdict.MAY_HAVE_RUN
            )
        if frame.kind == frames.KIND_REPLY:
            return frame.message
        if not isinstance(frame.message, failures.FAILURE_TYPE):
            raise failures.CallError(
                "malformed_answer", str(self.address), verdicts.Verdict.MAY_HAVE_RUN
            )
        raise failures.build_call_error(frame.message)

    async def _receive(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._connected.set()
        self._timeouts = 0
        self._unanswered_since_s = None
        self._receive_scope = trio.CancelScope()
        reader = frames.FrameReader(stream)
        try:
            with self._receive_scope:
                while frame := await reader.read():
                    self._resolve(frame)
        except (
            catalog.MessageError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            pass
        finally:
            self._discard_connection(stream)
            # A graceful close could wait for a peer that does not answer, and so
            # delay the next connection.
            await trio.aclose_forcefully(stream)

    def _resolve(self, frame: frames.Frame) -> None:
        self._timeouts = 0
        self._unanswered_since_s = None
        # An answer that arrives after its call's timeout is dropped.
        pending = self._pending.pop(frame.request_id, None)
        if pending is not None:
            pending.frame = frame
            pending.done.set()

    def _discard_connection(self, stream: trio.abc.Stream) -> None:
        if self._stream is not stream:
            return
        self._stream = None
        self._connected = trio.Event()
        self._receive_scope.cancel()
        pending_calls = list(self._pending.values())
        self._pending.clear()
        for pending in pending_calls:
            pending.done.set()
