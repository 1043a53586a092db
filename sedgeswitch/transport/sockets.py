"""Accepts connections, and sends and receives without blocking."""

import collections.abc
import os

import trio


def send_nonblocking(stream: trio.abc.SendStream, data: bytes) -> int:
    """Send as much of `data` as possible without blocking.

    Parameters
    ----------
    stream : trio.abc.SendStream
        No other task may be sending on it at the same time.
    data : bytes

    Returns
    -------
    int
        Number of bytes that were sent; 0 if the stream is no socket.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is lost.

    Notes
    -----
    `trio.SocketStream.send_all` switches tasks even if all data fits into the
    socket's buffer, as nearly every answer does. This function is no checkpoint:
    the caller must await something else before it sends again.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def receive_nonblocking(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes:
    """Return bytes that have arrived and that no task has received yet.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
        No other task may be receiving on it at the same time.
    max_bytes : int

    Returns
    -------
    bytes
        Empty if there are none, at the end of the stream, and for a stream that is no
        socket.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is lost.

    Notes
    -----
    A receive that is cancelled leaves bytes which have just arrived in the socket's
    buffer. Closing the socket would discard them.
    """
    if not isinstance(stream, trio.SocketStream):
        return b""
    try:
        return os.read(stream.socket.fileno(), max_bytes)
    except BlockingIOError:
        return b""
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def is_closed_by_peer(stream: trio.abc.ReceiveStream) -> bool:
    """Return whether a stream on which nothing is expected is at its end or broken.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
        No other task may be receiving on it at the same time.

    Returns
    -------
    bool
        True also if unexpected bytes have arrived; False if the stream is no socket.
    """
    return isinstance(stream, trio.SocketStream) and stream.socket.is_readable()


async def accept_until(
    listen_scope: trio.CancelScope,
    handler: collections.abc.Callable[
        [trio.SocketStream], collections.abc.Awaitable[None]
    ],
    host: str,
    port: int,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until a scope is cancelled, then wait for their tasks.

    Parameters
    ----------
    listen_scope : trio.CancelScope
        Cancelling it closes the listening socket; open connections are served on.
    handler : callable
        ``await handler(stream)`` serves one connection.
    host : str
        IP address to listen on.
    port : int
    """
    async with trio.open_nursery() as nursery:
        with listen_scope:
            await trio.serve_tcp(
                handler,
                port,
                host=host,
                handler_nursery=nursery,
                task_status=task_status,
            )
