"""A TCP proxy on loopback that delays, resets, cuts or silences connections."""

import enum
import functools
import socket
import struct
import threading
import typing

import trio

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
START_TIMEOUT_S = 10.0
# How often a connection whose bytes are held back checks for the end of its fault, in
# seconds.
HOLD_INTERVAL_S = 0.02
# SO_LINGER on with timeout 0: the kernel sends a reset when the socket is closed.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes of a connection through a link."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


class _Connection:
    """One connection through a link: a socket to the client and one to the target."""

    def __init__(self, client: trio.SocketStream, target: trio.SocketStream):
        self.client = client
        self.target = target
        self.is_silenced = False

    def reset(self) -> None:
        """Reset the sockets to the client and to the target, if they are open."""
        for stream in (self.client, self.target):
            if stream.socket.fileno() < 0:
                continue
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            stream.socket.close()


class Link:
    """Forwards one loopback port to another.

    Parameters
    ----------
    port : int
        Port that it listens on.
    target_port : int

    Attributes
    ----------
    delay_s : float
        Delay of each chunk of bytes in each direction, in seconds.
    cut_directions : set of Direction
        Directions in which bytes are held back until the cut ends.
    """

    def __init__(self, port: int, target_port: int):
        self.port = port
        self.target_port = target_port
        self.delay_s = 0.0
        self.cut_directions: set[Direction] = set()
        self._connections: set[_Connection] = set()

    def silence(self) -> None:
        """Hold back all further bytes of the connections that are open now."""
        for connection in self._connections:
            connection.is_silenced = True

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in self._connections:
            connection.reset()

    async def serve(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections until cancelled."""
        await trio.serve_tcp(
            self._forward, self.port, host=HOST, task_status=task_status
        )

    async def _forward(self, client: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(HOST, self.target_port)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        connection = _Connection(client, target)
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward_bytes, connection, client, target, Direction.TO_TARGET
                )
                nursery.start_soon(
                    self._forward_bytes,
                    connection,
                    target,
                    client,
                    Direction.FROM_TARGET,
                )
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(client)
            await trio.aclose_forcefully(target)

    async def _forward_bytes(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while connection.is_silenced or direction in self.cut_directions:
                    await trio.sleep(HOLD_INTERVAL_S)
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)


class Proxy:
    """Runs links in a thread.

    Parameters
    ----------
    links : mapping of str to Link
        By the name of the target process.
    """

    def __init__(self, links: typing.Mapping[str, Link]):
        self.links = links
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self._is_started = threading.Event()
        self._thread = threading.Thread(target=self._run_in_thread, daemon=True)
        self._error: BaseException | None = None

    def start(self) -> None:
        """Start the thread and wait until all links listen.

        Raises
        ------
        OSError
            If they do not listen within `START_TIMEOUT_S`.
        """
        self._thread.start()
        if not self._is_started.wait(START_TIMEOUT_S):
            raise OSError("the proxy did not start in time")

    def stop(self) -> None:
        """Close all connections and end the thread."""
        if self._thread.is_alive():
            self._token.run_sync_soon(self._scope.cancel)
            self._thread.join(START_TIMEOUT_S)

    def change(
        self, name: str, change: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Run ``change(link, *arguments)`` in the thread of the links.

        Parameters
        ----------
        name : str
            Target process of the link.
        change : callable
        *arguments
            Passed to `change` after the link.

        Raises
        ------
        OSError
            If the thread has ended.
        """
        try:
            self._token.run_sync_soon(
                functools.partial(change, self.links[name], *arguments)
            )
        except trio.RunFinishedError:
            # Until the thread ends, the error is not recorded yet.
            self._thread.join(START_TIMEOUT_S)
            raise OSError("the proxy has ended") from self._error

    def _run_in_thread(self) -> None:
        try:
            trio.run(self._run)
        except BaseException as error:
            self._error = error
            raise

    async def _run(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            async with trio.open_nursery() as nursery:
                for link in self.links.values():
                    await nursery.start(link.serve)
                self._is_started.set()
                await trio.sleep_forever()
