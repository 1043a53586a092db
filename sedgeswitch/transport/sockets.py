"""Sending at once what a socket takes without waiting."""

import os

import trio


def send_now(stream: trio.abc.SendStream, data: bytes) -> int:
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
