"""The server side of calls between sedgeswitch processes."""

import collections.abc
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import frames
from sedgeswitch.transport import sockets

Handler = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[typing.Any]]


class Server:
    """Dispatches calls to the handlers registered for their message types.

    A handler gets the request message and returns the reply message. It may raise
    `failures.CallError` to report a failure with a verdict; any other exception is
    reported as ``handler_failed``.
    """

    def __init__(self):
        self._handlers: dict[type, Handler] = {}

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler of one request type.

        Raises
        ------
        ValueError
            If the type already has a handler.
        """
        if message_type in self._handlers:
            raise ValueError(
                f"message type {message_type.__name__} already has a handler"
            )
        self._handlers[message_type] = handler

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; reports its listeners as started.

        Parameters
        ----------
        host : str
            IP address to listen on.
        port : int
            TCP port; 0 for any free one.
        """
        await trio.serve_tcp(
            self.serve_connection, port, host=host, task_status=task_status
        )

    async def serve_connection(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Answer the calls of one peer until it closes the connection."""
        reader = frames.FrameReader(stream)
        send_lock = trio.StrictFIFOLock()
        try:
            async with stream, trio.open_nursery() as nursery:
                while frame := await reader.read():
                    nursery.start_soon(self._answer, stream, send_lock, frame)
                nursery.cancel_scope.cancel()
        except* catalog.MessageError as errors:
            loguru.logger.warning(
                "closing a connection on which the peer sent an invalid frame: {}",
                errors.exceptions,
            )
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _answer(
        self,
        stream: trio.abc.SendStream,
        send_lock: trio.StrictFIFOLock,
        frame: frames.Frame,
    ) -> None:
        try:
            data = await self._handle(frame)
        except failures.CallError as error:
            failure = failures.build_failure(error)
            data = frames.encode_frame(
                frames.Frame(frames.KIND_FAILURE, frame.request_id, failure)
            )
        try:
            send_lock.acquire_nowait()
        except trio.WouldBlock:
            await send_lock.acquire()
        try:
            sent_bytes = sockets.send_nonblocking(stream, data)
            if sent_bytes < len(data):
                await stream.send_all(data[sent_bytes:])
        finally:
            send_lock.release()

    async def _handle(self, frame: frames.Frame) -> bytes:
        """Call the handler of a request and return the encoded reply frame."""
        message = frame.message
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise failures.CallError(
                "unhandled", f"no handler for {name}", verdicts.Verdict.NOT_RUN
            )
        try:
            reply = await handler(message)
            return frames.encode_frame(
                frames.Frame(frames.KIND_REPLY, frame.request_id, reply)
            )
        except failures.CallError:
            raise
        except Exception as error:
            loguru.logger.exception("handler of {} failed", type(message).__name__)
            raise failures.CallError(
                "handler_failed", repr(error), verdicts.Verdict.MAY_HAVE_RUN
            ) from error
