"""When a write is on enough instances to be answered as done."""

import collections.abc

import trio

from sedgeswitch.groups import positions

FIRST_POLL_DELAY_S = 0.002
LAST_POLL_DELAY_S = 0.05


class AckWaiter:
    """Waits until enough replicas of a group have reached a position.

    One task polls the replicas while any write waits, whatever their number.

    Parameters
    ----------
    poll_replicas : callable
        Returns the positions that the replicas have reached now.
    """

    def __init__(
        self,
        poll_replicas: collections.abc.Callable[
            [], collections.abc.Awaitable[list[positions.Position]]
        ],
    ):
        self._poll_replicas = poll_replicas
        self._waiting = 0
        self._polled = trio.Event()
        self._reached: list[positions.Position] = []
        self._is_polling = False

    async def wait(self, position: positions.Position, replicas: int) -> None:
        """Wait until `replicas` replicas hold everything up to a position.

        The first waiter polls for all; others look at what it has seen.
        """
        poll_delay_s = FIRST_POLL_DELAY_S
        while not self._is_reached(position, replicas):
            if self._is_polling:
                await self._polled.wait()
                continue
            self._is_polling = True
            try:
                self._reached = await self._poll_replicas()
                if not self._is_reached(position, replicas):
                    await trio.sleep(poll_delay_s)
                    poll_delay_s = min(poll_delay_s * 2, LAST_POLL_DELAY_S)
            finally:
                self._is_polling = False
                self._polled.set()
                self._polled = trio.Event()

    def _is_reached(self, position: positions.Position, replicas: int) -> bool:
        reached = [
            item for item in self._reached if positions.has_reached(item, position)
        ]
        return len(reached) >= replicas
