"""The queue in front of each pool of connections."""

import contextlib

import trio

from sedgeswitch import verdicts
from sedgeswitch.statements import refusals


class FifoSlots:
    """Hands out slots in the order of arrival.

    Parameters
    ----------
    capacity : int
    """

    def __init__(self, capacity: int):
        self._slots = trio.Semaphore(capacity)

    async def acquire(self, organisation: str, deadline_s: float) -> None:  # noqa: ARG002
        """Wait for a slot, or refuse at the deadline."""
        with contextlib.suppress(trio.WouldBlock):
            self._slots.acquire_nowait()
            return
        with trio.move_on_at(deadline_s):
            await self._slots.acquire()
            return
        raise refusals.build_deadline_passed(verdicts.Verdict.NOT_RUN)

    def release(self, organisation: str, used_s: float) -> None:  # noqa: ARG002
        """Give a slot back."""
        self._slots.release()


def build_slots(capacity: int) -> FifoSlots:
    """Return the slot queue of a pool."""
    return FifoSlots(capacity)
