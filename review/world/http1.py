"""A small HTTP/1.1 client and server."""

import asyncio
import collections.abc
import json
import typing

Handler = collections.abc.Callable[..., collections.abc.Awaitable[tuple[int, dict]]]


class Response(typing.NamedTuple):
    """A response; the status is 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_RESPONSE = Response(0, {}, b"")


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[list[str], dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.split(" ", 2), headers, body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Response:
    """Send one request to ``host:port`` and return its response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            first, headers, content = await _read_message(reader)
            return Response(int(first[1]), headers, content)
    except (OSError, TimeoutError, EOFError, ValueError, asyncio.LimitOverrunError):
        return NO_RESPONSE
    finally:
        if writer is not None:
            writer.close()


async def call_following(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> Response:
    """Send a request, and follow a 307 at most twice."""
    for _ in range(3):
        response = await call(address, method, path, body, timeout_s)
        if response.status != 307:
            return response
        location = response.headers.get("location", "")
        address, _, rest = location.removeprefix("http://").partition("/")
        path = "/" + rest
    return response


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    """Answer the requests of one connection.

    ``await handler(method, path, headers, body)`` returns a status and a JSON body.
    """
    try:
        while True:
            first, headers, body = await _read_message(reader)
            status, answer = await handler(first[0], first[1], headers, body)
            content = json.dumps(answer).encode()
            head = (
                f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n"
            )
            writer.write(head.encode() + content)
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                return
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()
