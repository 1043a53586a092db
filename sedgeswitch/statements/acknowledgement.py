"""Waiting until enough replicas have a write to acknowledge it to its caller."""

import collections.abc

import trio

from sedgeswitch.groups import positions

# Pauses between two polls of a replica, in seconds. The pause doubles from the
# first to the last value, and starts again when the position of the replica changes.
MIN_POLL_DELAY_S = 0.003
MAX_POLL_DELAY_S = 0.05

ListReplicas = collections.abc.Callable[[], collections.abc.Collection[str]]
ReadPosition = collections.abc.Callable[
    [str], collections.abc.Awaitable[positions.Position | None]
]


class AckWaiter:
    """Waits until enough replicas of a group have reached a position.

    While any write waits, one task for each replica polls its position, however many
    writes wait. A replica that does not answer therefore delays no write that other
    replicas can confirm.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the polling tasks.
    list_replicas : callable
        Returns the instance ids of the replicas that count for the group.
    read_position : callable
        Returns the position of a replica, None if it could not be read.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        list_replicas: ListReplicas,
        read_position: ReadPosition,
    ):
        self._nursery = nursery
        self._list_replicas = list_replicas
        self._read_position = read_position
        self._waiting_writes = 0
        self._polled_replicas: set[str] = set()
        self._position_by_replica: dict[str, positions.Position] = {}
        self._poll_finished = trio.Event()

    async def wait(self, position: positions.Position, replica_count: int) -> None:
        """Wait until `replica_count` replicas have the log up to a position."""
        self._waiting_writes += 1
        try:
            while not self._is_reached(position, replica_count):
                self._start_polls()
                await self._poll_finished.wait()
        finally:
            self._waiting_writes -= 1

    def _is_reached(self, position: positions.Position, replica_count: int) -> bool:
        reached = [
            instance
            for instance in self._list_replicas()
            if instance in self._position_by_replica
            and positions.confirms_write(self._position_by_replica[instance], position)
        ]
        return len(reached) >= replica_count

    def _start_polls(self) -> None:
        for instance in self._list_replicas():
            if instance not in self._polled_replicas:
                self._polled_replicas.add(instance)
                self._nursery.start_soon(self._poll, instance)

    async def _poll(self, instance: str) -> None:
        delay_s = MIN_POLL_DELAY_S
        try:
            while self._waiting_writes:
                position = await self._read_position(instance)
                if position is not None and position != self._position_by_replica.get(
                    instance
                ):
                    self._position_by_replica[instance] = position
                    delay_s = MIN_POLL_DELAY_S
                self._wake()
                await trio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_POLL_DELAY_S)
        finally:
            self._polled_replicas.discard(instance)

    def _wake(self) -> None:
        self._poll_finished.set()
        self._poll_finished = trio.Event()
