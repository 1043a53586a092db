"""Batches of floor records and queries, one batch on the way per home and kind."""

import collections.abc
import typing

import trio

from sedgeswitch.sessions import messages
from sedgeswitch.transport import failures

CALL_TIMEOUT_S = 0.5
MAX_BATCH = 500
MAX_WAITING = 5000

SendBatch = collections.abc.Callable[
    [list], collections.abc.Awaitable[list[typing.Any]]
]
OnDone = collections.abc.Callable[[typing.Any], None]


class _Item(typing.NamedTuple):
    request: typing.Any
    on_done: OnDone


class Batcher:
    """Sends what has gathered while the batch before was on its way.

    Parameters
    ----------
    send_batch : async callable
        Takes requests, returns one answer for each; raises
        `failures.CallError`.
    """

    def __init__(self, send_batch: SendBatch):
        self._send_batch = send_batch
        self._items: list[_Item] = []
        self._wake = trio.Event()

    def submit(self, request: typing.Any, on_done: OnDone) -> None:
        """Send a request with the next batch.

        Parameters
        ----------
        request : object
        on_done : callable
            Gets the answer, or None if there is none; at once if too many
            wait, as for a home that does not answer.
        """
        if len(self._items) >= MAX_WAITING:
            on_done(None)
            return
        self._items.append(_Item(request, on_done))
        self._wake.set()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._wake.wait()
            items = self._items[:MAX_BATCH]
            self._items = self._items[MAX_BATCH:]
            if not self._items:
                self._wake = trio.Event()
            await self._send(items)

    async def _send(self, items: list[_Item]) -> None:
        try:
            answers = await self._send_batch([item.request for item in items])
        except failures.CallError:
            answers = [None] * len(items)
        for item, answer in zip(items, answers, strict=True):
            item.on_done(answer)


class ReplicaClient(typing.Protocol):
    """Sends batches to one home."""

    async def record(self, records: list) -> list:
        """Send records; one true value for each."""

    async def query(self, queries: list) -> list:
        """Send queries; one `messages.FloorAnswer` for each."""


class RemoteReplicaClient:
    """A home on another host.

    Parameters
    ----------
    call : async callable
        ``await call(message, timeout_s)`` returns the home's reply.
    """

    def __init__(self, call: collections.abc.Callable):
        self._call = call

    async def record(self, records: list) -> list:
        """Send records; one true value for each."""
        await self._call(messages.RecordFloors(records), CALL_TIMEOUT_S)
        return [True] * len(records)

    async def query(self, queries: list) -> list:
        """Send queries; one `messages.FloorAnswer` for each."""
        reply = await self._call(messages.QueryFloors(queries), CALL_TIMEOUT_S)
        return reply.answers


class LocalReplicaClient:
    """The home on this host.

    Parameters
    ----------
    floor_replica : sedgeswitch.sessions.floor_replica.FloorReplica
    """

    def __init__(self, floor_replica: typing.Any):
        self._keeper = floor_replica

    async def record(self, records: list) -> list:
        """Keep records; one true value for each."""
        await self._keeper.answer_record(messages.RecordFloors(records))
        return [True] * len(records)

    async def query(self, queries: list) -> list:
        """Answer queries; one `messages.FloorAnswer` for each."""
        reply = await self._keeper.answer_query(messages.QueryFloors(queries))
        return reply.answers
