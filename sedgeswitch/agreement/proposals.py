"""Proposals of this host that wait to be applied."""

import trio

from sedgeswitch.agreement import errors


class Waiter:
    """Waits for the result of one entry."""

    def __init__(self, term: int):
        self.term = term
        self._done = trio.Event()
        self._result: bytes | None = None

    def settle(self, result: bytes | None) -> None:
        """Set the result; None if it will not be known here."""
        self._result = result
        self._done.set()

    async def wait(self) -> bytes:
        """Return the result.

        Raises
        ------
        errors.OutcomeUnknownError
            If the entry may be committed or not.
        """
        await self._done.wait()
        if self._result is None:
            raise errors.OutcomeUnknownError("leadership was lost meanwhile")
        return self._result


class Proposals:
    """The waiters of one host, by index."""

    def __init__(self):
        self._waiters: dict[int, Waiter] = {}

    def add(self, index: int, term: int) -> Waiter:
        """Return the waiter for an entry that has just been appended."""
        waiter = self._waiters[index] = Waiter(term)
        return waiter

    def remove(self, index: int) -> None:
        """Forget a waiter, if it is still there."""
        self._waiters.pop(index, None)

    def settle(self, index: int, term: int, result: bytes) -> None:
        """Hand the result of an applied entry to its proposer."""
        waiter = self._waiters.pop(index, None)
        if waiter is not None:
            waiter.settle(result if waiter.term == term else None)

    def abandon(self) -> None:
        """Tell all proposers that their outcome is unknown."""
        waiters = list(self._waiters.values())
        self._waiters.clear()
        for waiter in waiters:
            waiter.settle(None)
