"""Writes changes to the storage in batches, each synced once."""

import collections.abc

import trio

from sedgeswitch.agreement import _signals
from sedgeswitch.agreement import storage

RunInThread = collections.abc.Callable[..., collections.abc.Awaitable]


class Writer:
    """Queues changes and stores all that wait in one synced transaction.

    Parameters
    ----------
    store : storage.Storage
    run_in_thread : callable
        ``await run_in_thread(function, *args)`` runs a blocking function.
    """

    def __init__(
        self,
        store: storage.Storage,
        run_in_thread: RunInThread = trio.to_thread.run_sync,
    ):
        self._storage = store
        self._run_in_thread = run_in_thread
        self._queue: list[storage.Change] = []
        self._submitted = 0
        self._durable = 0
        self._grown = _signals.Signal()
        self._synced = _signals.Signal()

    @property
    def durable_ticket(self) -> int:
        """The ticket up to which everything is synced."""
        return self._durable

    def submit(self, change: storage.Change) -> int:
        """Queue a change and return its ticket; tickets count up."""
        self._queue.append(change)
        self._submitted += 1
        self._grown.send()
        return self._submitted

    async def wait(self) -> None:
        """Wait until everything submitted so far is synced."""
        ticket = self._submitted
        while self._durable < ticket:
            await self._synced.wait()

    async def wait_for_sync(self) -> None:
        """Wait for the next sync."""
        await self._synced.wait()

    async def run(self) -> None:
        """Store queued changes until cancelled.

        Raises
        ------
        errors.StorageError
            If a change could not be stored.
        """
        while True:
            while not self._queue:
                await self._grown.wait()
            changes, self._queue = self._queue, []
            await self._run_in_thread(self._storage.write, changes)
            self._durable += len(changes)
            self._synced.send()
