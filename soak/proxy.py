"""Loopback connections that can be delayed, reset, cut one way or silenced."""

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
# How often a held connection looks whether its fault is over, in seconds.
HOLD_INTERVAL_S = 0.02
# Makes the kernel reset a connection instead of closing it.
_LINGER_NONE = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """The directions of a connection."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


class _Pair:
    """One connection through the proxy."""

    def __init__(self, near: trio.SocketStream, far: trio.SocketStream):
        self.near = near
        self.far = far
        self.is_silenced = False

    def reset(self) -> None:
        """Reset both ends."""
        for stream in (self.near, self.far):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            stream.socket.close()


class Link:
    """Forwards one loopback port to another.

    Parameters
    ----------
    port : int
        Where it listens.
    target_port : int

    Attributes
    ----------
    delay_s : float
        Added to each piece, each way.
    cut_ways : set of Way
        Directions in which bytes are held back until the cut ends.
    """

    def __init__(self, port: int, target_port: int):
        self.port = port
        self.target_port = target_port
        self.delay_s = 0.0
        self.cut_ways: set[Way] = set()
        self._pairs: set[_Pair] = set()

    def silence(self) -> None:
        """Silence the open connections for good; new ones work."""
        for pair in self._pairs:
            pair.is_silenced = True

    def reset(self) -> None:
        """Reset the open connections."""
        for pair in self._pairs:
            pair.reset()

    async def serve(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections until cancelled."""
        await trio.serve_tcp(
            self._forward, self.port, host=HOST, task_status=task_status
        )

    async def _forward(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream(HOST, self.target_port)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        pair = _Pair(near, far)
        self._pairs.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, pair, near, far, Way.TO_TARGET)
                nursery.start_soon(self._pump, pair, far, near, Way.FROM_TARGET)
        finally:
            self._pairs.discard(pair)
            await trio.aclose_forcefully(near)
            await trio.aclose_forcefully(far)

    async def _pump(
        self,
        pair: _Pair,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        way: Way,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while pair.is_silenced or way in self.cut_ways:
                    await trio.sleep(HOLD_INTERVAL_S)
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)


class Proxy:
    """Links in a thread of their own, by the names of their targets.

    Parameters
    ----------
    links : mapping of str to Link
    """

    def __init__(self, links: typing.Mapping[str, Link]):
        self.links = links
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self._is_started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)

    def start(self) -> None:
        """Start to forward."""
        self._thread.start()
        if not self._is_started.wait(START_TIMEOUT_S):
            raise OSError("the proxy did not start")

    def stop(self) -> None:
        """End all connections."""
        if self._thread.is_alive():
            self._token.run_sync_soon(self._scope.cancel)
            self._thread.join(START_TIMEOUT_S)

    def change(
        self, name: str, change: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Run ``change(link, *arguments)`` in the proxy's thread."""
        self._token.run_sync_soon(
            functools.partial(change, self.links[name], *arguments)
        )

    async def _run(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            async with trio.open_nursery() as nursery:
                for link in self.links.values():
                    await nursery.start(link.serve)
                self._is_started.set()
