"""HTTP requests of the operator and of instances to the control hosts."""

import asyncio
import json
import typing

_MAX_REDIRECTS = 2


class Response(typing.NamedTuple):
    """Status and body of a response, and where a redirect leads."""

    status: int
    body: bytes
    location: str


async def _exchange(
    address: tuple[str, int], method: str, path: str, body: bytes
) -> Response:
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        headers = {}
        while line := (await reader.readline()).strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        content = await reader.readexactly(size)
        return Response(status, content, headers.get("location", ""))
    finally:
        writer.close()


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> Response | None:
    """Send a request and follow redirects; None without a response in time."""
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout_s):
            response = await _exchange(address, method, path, data)
            for _ in range(_MAX_REDIRECTS):
                if response.status != 307:
                    break
                place = response.location.removeprefix("http://")
                host, _, port = place.partition("/")[0].partition(":")
                response = await _exchange((host, int(port)), method, path, data)
            return response
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
        return None


async def send_until_done(
    addresses: list[tuple[str, int]],
    method: str,
    path: str,
    body: object = None,
    limit_s: float = 30.0,
) -> Response:
    """Send a request to one address after another until one answers with 2xx.

    Raises
    ------
    TimeoutError
        If none does within `limit_s`.
    """
    async with asyncio.timeout(limit_s):
        while True:
            for address in addresses:
                response = await send(address, method, path, body)
                if response is not None and 200 <= response.status < 300:
                    return response
                await asyncio.sleep(0.1)
