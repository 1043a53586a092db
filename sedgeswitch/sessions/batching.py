"""Batches of floor records and queries, one in flight per replica and kind."""

import collections.abc
import typing

import trio

from sedgeswitch.sessions import messages
from sedgeswitch.transport import failures

CALL_TIMEOUT_S = 0.5
MAX_BATCH_SIZE = 500
# Requests that may wait for a batch; further ones fail at once.
MAX_PENDING = 5000

SendBatch = collections.abc.Callable[
    [list], collections.abc.Awaitable[list[typing.Any]]
]
OnAnswer = collections.abc.Callable[[typing.Any], None]


class _Item(typing.NamedTuple):
    request: typing.Any
    on_answer: OnAnswer


class Batcher:
    """Collects requests while a batch is in flight, and sends them as the next one.

    Parameters
    ----------
    send_batch : async callable
        Takes a list of requests and returns one answer for each; raises
        `failures.CallError`.
    """

    def __init__(self, send_batch: SendBatch):
        self._send_batch = send_batch
        self._items: list[_Item] = []
        self._wake = trio.Event()

    def submit(self, request: typing.Any, on_answer: OnAnswer) -> None:
        """Send a request with the next batch.

        Parameters
        ----------
        request : object
        on_answer : callable
            Called with the answer, or with None if there is none. Called with
            None at once if `MAX_PENDING` requests are waiting, as happens with a
            replica that does not answer.
        """
        if len(self._items) >= MAX_PENDING:
            on_answer(None)
            return
        self._items.append(_Item(request, on_answer))
        self._wake.set()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._wake.wait()
            items = self._items[:MAX_BATCH_SIZE]
            self._items = self._items[MAX_BATCH_SIZE:]
            if not self._items:
                self._wake = trio.Event()
            await self._send(items)

    async def _send(self, items: list[_Item]) -> None:
        try:
            answers = await self._send_batch([item.request for item in items])
        except failures.CallError:
            answers = [None] * len(items)
        for item, answer in zip(items, answers, strict=True):
            item.on_answer(answer)


class ReplicaClient(typing.Protocol):
    """Sends batches to one replica of session floors."""

    async def record(self, records: list) -> list:
        """Send records; return True for each."""

    async def query(self, queries: list) -> list:
        """Send queries; return a `messages.FloorAnswer` for each."""


class RemoteReplicaClient:
    """Sends batches to the replica on another host.

    Parameters
    ----------
    call : async callable
        ``await call(message, timeout_s)`` returns the replica's reply.
    """

    def __init__(self, call: collections.abc.Callable):
        self._call = call

    async def record(self, records: list) -> list:
        """Send records; return True for each."""
        await self._call(messages.RecordFloors(records), CALL_TIMEOUT_S)
        return [True] * len(records)

    async def query(self, queries: list) -> list:
        """Send queries; return a `messages.FloorAnswer` for each."""
        reply = await self._call(messages.QueryFloors(queries), CALL_TIMEOUT_S)
        return reply.answers


class LocalReplicaClient:
    """Passes batches to the replica on this host.

    Parameters
    ----------
    floor_replica : sedgeswitch.sessions.floor_replica.FloorReplica
    """

    def __init__(self, floor_replica: typing.Any):
        self._floor_replica = floor_replica

    async def record(self, records: list) -> list:
        """Store records; return True for each."""
        await self._floor_replica.answer_record(messages.RecordFloors(records))
        return [True] * len(records)

    async def query(self, queries: list) -> list:
        """Answer queries; return a `messages.FloorAnswer` for each."""
        reply = await self._floor_replica.answer_query(messages.QueryFloors(queries))
        return reply.answers
