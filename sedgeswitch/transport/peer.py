"""The calling side of calls between sedgeswitch processes."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import frames
from sedgeswitch.transport import sockets

# Pauses between attempts to connect, in seconds.
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.25
# Below the second after which TCP repeats a lost opening packet, so that a new
# attempt finds a healed path sooner; many times the way between two regions.
CONNECT_TIMEOUT_S = 0.6
# Longest time for the rest of a request that did not fit into the socket, in
# seconds.
SEND_TIMEOUT_S = 2.0
# After a silent partition TCP may wait minutes before it sends again.
RECONNECT_AFTER_TIMEOUTS = 3
# Time without any answer, while some are owed, after which a connection is taken for
# silent, in seconds; many times the way between two regions and back.
SILENCE_LIMIT_S = 0.5


class Address(typing.NamedTuple):
    """Where a process listens.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class _Pending:
    """A call that waits for its answer."""

    def __init__(self):
        self.done = trio.Event()
        self.frame: frames.Frame | None = None


class Peer:
    """Calls one other process over one connection that is kept open.

    `run` must run in a task of its own; calls made while the peer cannot be
    reached fail at once as not run.

    Parameters
    ----------
    address : Address
    """

    def __init__(self, address: Address):
        self.address = address
        self._stream: trio.abc.Stream | None = None
        self._send_lock = trio.StrictFIFOLock()
        self._pending: dict[int, _Pending] = {}
        self._next_request_id = 0
        self._wake = trio.Event()
        self._connected = trio.Event()
        self._receiving = trio.CancelScope()
        self._running = trio.CancelScope()
        self._timeouts = 0
        # Since when the peer has answered nothing, though it should have.
        self._owed_since_s: float | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is open."""
        return self._stream is not None

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is open."""
        self._wake.set()
        await self._connected.wait()

    async def run(self) -> None:
        """Keep a connection open until cancelled or closed."""
        with self._running:
            await self._connect_forever()

    def close(self) -> None:
        """End `run` and with it the connection."""
        self._running.cancel()

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
            # Also after a connection: a peer may close each one at once.
            with trio.move_on_after(delay_s):
                await self._wake.wait()
            self._wake = trio.Event()

    async def call(
        self, message: typing.Any, timeout_s: float, expects_prompt_reply: bool = True
    ) -> typing.Any:
        """Send a request and return its reply.

        Parameters
        ----------
        message : object
            A Thrift struct of the catalogue.
        timeout_s : float
            How long to wait for the reply, in seconds.
        expects_prompt_reply : bool
            Whether the peer answers at once; a connection on which it does not is
            replaced.

        Raises
        ------
        failures.CallError
            If there is no reply; its verdict says whether the peer may have
            acted on the request.
        """
        stream = self._stream
        if stream is None:
            self._wake.set()
            raise failures.CallError(
                "unreachable", str(self.address), verdicts.Verdict.NOT_RUN
            )
        if expects_prompt_reply and self._owed_since_s is None:
            self._owed_since_s = trio.current_time()
        self._next_request_id += 1
        request_id = self._next_request_id
        pending = self._pending[request_id] = _Pending()
        try:
            with trio.move_on_after(timeout_s):
                await self._send(stream, request_id, message)
                await pending.done.wait()
        finally:
            self._pending.pop(request_id, None)
            # Also where the caller has given up earlier.
            if expects_prompt_reply and not pending.done.is_set():
                self._check_silence(stream)
        if not pending.done.is_set():
            self._count_timeout(stream)
        return self._read_answer(pending)

    def _count_timeout(self, stream: trio.abc.Stream) -> None:
        self._timeouts += 1
        if self._timeouts >= RECONNECT_AFTER_TIMEOUTS:
            self._drop(stream)

    def _check_silence(self, stream: trio.abc.Stream) -> None:
        since_s = self._owed_since_s
        if since_s is not None and trio.current_time() - since_s >= SILENCE_LIMIT_S:
            self._drop(stream)

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
            self._drop(stream)
        finally:
            self._send_lock.release()

    async def _send_rest(self, stream: trio.abc.Stream, data: bytes) -> None:
        # A frame cut short by a timeout would garble the ones after it.
        with trio.CancelScope(
            shield=True, deadline=trio.current_time() + SEND_TIMEOUT_S
        ) as scope:
            await stream.send_all(data)
        if scope.cancelled_caught:
            self._drop(stream)

    def _read_answer(self, pending: _Pending) -> typing.Any:
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
        self._owed_since_s = None
        self._receiving = trio.CancelScope()
        reader = frames.FrameReader(stream)
        try:
            with self._receiving:
                while frame := await reader.read():
                    self._settle(frame)
        except (
            catalog.MessageError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            pass
        finally:
            self._drop(stream)
            # A peer that does not answer must not hold up the next connection.
            await trio.aclose_forcefully(stream)

    def _settle(self, frame: frames.Frame) -> None:
        self._timeouts = 0
        self._owed_since_s = None
        # A late answer finds no pending call and goes to nobody else.
        pending = self._pending.pop(frame.request_id, None)
        if pending is not None:
            pending.frame = frame
            pending.done.set()

    def _drop(self, stream: trio.abc.Stream) -> None:
        if self._stream is not stream:
            return
        self._stream = None
        self._connected = trio.Event()
        self._receiving.cancel()
        pendings = list(self._pending.values())
        self._pending.clear()
        for pending in pendings:
            pending.done.set()
