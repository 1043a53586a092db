"""Accepting connections, and sending at once what a socket takes."""

import collections.abc
import os

import trio


def send_nonblocking(stream: trio.abc.SendStream, data: bytes) -> int:
    """Return how many bytes of `data` were sent without waiting.

    Parameters
    ----------
    stream : trio.abc.SendStream
        No other task may be sending on it.
    data : bytes

    Raises
    ------
    trio.BrokenResourceError
        If the connection is lost.

    Notes
    -----
    `trio.SocketStream.send_all` switches tasks even if the socket takes all at
    once, which nearly every answer fits into. This is no checkpoint: the caller
    must wait for something else before it sends again.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


async def accept_until(
    listening: trio.CancelScope,
    handler: collections.abc.Callable[
        [trio.SocketStream], collections.abc.Awaitable[None]
    ],
    host: str,
    port: int,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until `listening` is cancelled, and wait for their tasks.

    Parameters
    ----------
    listening : trio.CancelScope
    handler : callable
        ``await handler(stream)`` serves one connection.
    host : str
        IP number to listen on.
    port : int
    """
    async with trio.open_nursery() as nursery:
        with listening:
            await trio.serve_tcp(
                handler,
                port,
                host=host,
                handler_nursery=nursery,
                task_status=task_status,
            )
