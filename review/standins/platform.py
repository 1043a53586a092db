"""The platform's endpoint for orders to promote an instance."""

import asyncio
import json
import socket
import typing

from standins import databases
from standins import records

TOKEN_HEADER = "x-sedgeswitch-fencing-token"
HOLDER_HEADER = "x-sedgeswitch-duty-holder"


class Order(typing.NamedTuple):
    """An order as the platform received it."""

    received_s: float
    holder: str
    token: int
    service: str
    instance: str


class Platform:
    """Receives orders and carries them out; it does not check fencing tokens.

    Parameters
    ----------
    address : tuple of str and int
    groups : dict of str to databases.Group
    record : records.Record

    Attributes
    ----------
    delay_s : float
        Time between the receipt of an order and its execution.
    orders : list of Order
        In the order of their receipt.
    """

    def __init__(
        self,
        address: tuple[str, int],
        groups: dict[str, databases.Group],
        record: records.Record,
    ):
        self._address = address
        self._groups = groups
        self._record = record
        self._tasks: set[asyncio.Task] = set()
        self._accepting: asyncio.Task | None = None
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._blockers: list[socket.socket] = []
        self.delay_s = 0.0
        self.orders: list[Order] = []

    def start(self) -> None:
        """Listen, with a short queue of connections that are not accepted yet."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self._address)
        self._socket.setblocking(False)
        self._socket.listen(1)
        self.resume()

    def stall(self) -> None:
        """Accept no further connection; the queue for them is full from now on."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        for _ in range(4):
            blocker = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            blocker.setblocking(False)
            blocker.connect_ex(self._address)
            self._blockers.append(blocker)

    def resume(self) -> None:
        """Accept connections again."""
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()
        if self._accepting is None:
            self._accepting = asyncio.create_task(self._accept())

    def stop(self) -> None:
        """Stop listening."""
        if self._accepting is not None:
            self._accepting.cancel()
        for task in self._tasks:
            task.cancel()
        self._socket.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            order = await self._receive(reader)
            if order is None:
                return
            self.orders.append(order)
            self._record.note(
                f"platform received an order: service {order.service}, instance"
                f" {order.instance}, holder {order.holder}, token {order.token}"
            )
            await asyncio.sleep(self.delay_s)
            status = self._execute(order)
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                "Content-Length: 2\r\nConnection: close\r\n\r\n{}".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            return
        finally:
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> Order | None:
        line = await reader.readline()
        if not line.startswith(b"POST /promotion "):
            return None
        headers = {}
        while line := (await reader.readline()).strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = json.loads(await reader.readexactly(int(headers["content-length"])))
        return Order(
            self._record.get_now_s(),
            headers[HOLDER_HEADER],
            int(headers[TOKEN_HEADER]),
            body["service"],
            body["id"],
        )

    def _execute(self, order: Order) -> int:
        group = self._groups[order.service]
        status = group.start_promotion(order.instance)
        self._record.note(
            f"platform executed the order for {order.instance} with token"
            f" {order.token}: {status}"
        )
        return status
