"""Proposals of this host that are not applied yet."""

import trio

from sedgeswitch.agreement import errors


class PendingProposal:
    """The result, once there is one, of a proposed entry.

    Parameters
    ----------
    term : int
        Term in which the entry was appended.
    """

    def __init__(self, term: int):
        self.term = term
        self._done = trio.Event()
        self._result: bytes | None = None

    def resolve(self, result: bytes | None) -> None:
        """Set the result; None if the outcome cannot be determined on this host."""
        self._result = result
        self._done.set()

    async def wait(self) -> bytes:
        """Wait for the result and return it.

        Raises
        ------
        errors.OutcomeUnknownError
            If the entry may be committed, now or later, or may never be.
        """
        await self._done.wait()
        if self._result is None:
            raise errors.OutcomeUnknownError(
                "outcome unknown: this host lost its leadership before the proposed"
                " entry was applied"
            )
        return self._result


class PendingProposals:
    """The pending proposals of one host, by log index."""

    def __init__(self):
        self._waiters: dict[int, PendingProposal] = {}

    def add(self, index: int, term: int) -> PendingProposal:
        """Return the pending proposal of an entry that has just been appended."""
        waiter = self._waiters[index] = PendingProposal(term)
        return waiter

    def remove(self, index: int) -> None:
        """Remove a pending proposal if it is present."""
        self._waiters.pop(index, None)

    def resolve(self, index: int, term: int, result: bytes) -> None:
        """Pass the result of an applied entry to its proposer.

        If another leader's entry was applied at the index, the proposer's outcome
        is unknown.
        """
        waiter = self._waiters.pop(index, None)
        if waiter is not None:
            waiter.resolve(result if waiter.term == term else None)

    def fail_all(self) -> None:
        """End all pending proposals with an unknown outcome."""
        waiters = list(self._waiters.values())
        self._waiters.clear()
        for waiter in waiters:
            waiter.resolve(None)
