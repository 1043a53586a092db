"""Group commit: writes queued changes to the storage, one sync for each batch."""

import collections.abc

import trio

from sedgeswitch.agreement import _signals
from sedgeswitch.agreement import storage

RunInThread = collections.abc.Callable[..., collections.abc.Awaitable]


class Writer:
    """Queues changes and stores all queued ones in one synced transaction.

    Each change has a ticket: its number in the order of submission, from 1 on.

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
        self._synced_ticket = 0
        self._enqueued = _signals.Signal()
        self._sync_done = _signals.Signal()

    @property
    def durable_ticket(self) -> int:
        """The highest ticket up to which all changes are synced; 0 for none."""
        return self._synced_ticket

    def submit(self, change: storage.Change) -> int:
        """Queue a change and return its ticket."""
        self._queue.append(change)
        self._submitted += 1
        self._enqueued.send()
        return self._submitted

    async def wait_until_synced(self) -> None:
        """Wait until all changes submitted before the call are synced."""
        ticket = self._submitted
        while self._synced_ticket < ticket:
            await self._sync_done.wait()

    async def wait_for_next_sync(self) -> None:
        """Wait until the next batch is synced."""
        await self._sync_done.wait()

    async def run(self) -> None:
        """Store queued changes until cancelled.

        Raises
        ------
        errors.StorageError
            If a change could not be stored.
        """
        while True:
            while not self._queue:
                await self._enqueued.wait()
            changes, self._queue = self._queue, []
            await self._run_in_thread(self._storage.write, changes)
            self._synced_ticket += len(changes)
            self._sync_done.send()
