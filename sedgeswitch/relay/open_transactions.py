"""The open transactions of a host, which end when their zone is evacuated."""

import collections.abc
import math
import typing
import weakref


class Interruptible(typing.Protocol):
    """A transaction that is ended when its zone is evacuated."""

    async def end_if_due(self, now_s: float) -> None:
        """Roll back the transaction if no further statement of it may be sent."""


class OpenTransactions:
    """The transactions of this host's callers that are bound to a connection.

    Parameters
    ----------
    get_end_s : callable
        ``get_end_s(zone)`` returns the time from which transactions on instances of
        an availability zone are ended; infinite if the zone is not evacuated.
    """

    def __init__(self, get_end_s: collections.abc.Callable[[str], float]):
        self.get_end_s = get_end_s
        self._transactions: weakref.WeakSet[Interruptible] = weakref.WeakSet()

    def add(self, transaction: Interruptible) -> None:
        """Record a transaction that has been bound to a connection."""
        self._transactions.add(transaction)

    def remove(self, transaction: Interruptible) -> None:
        """Remove a transaction that has ended."""
        self._transactions.discard(transaction)

    async def end_due(self, now_s: float) -> None:
        """Roll back the idle transactions whose time in an evacuated zone is over."""
        for transaction in list(self._transactions):
            await transaction.end_if_due(now_s)


def build_unrestricted() -> OpenTransactions:
    """Return open transactions that no evacuation ends."""
    return OpenTransactions(lambda zone: math.inf)  # noqa: ARG005
