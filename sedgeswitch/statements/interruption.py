"""Cancellation of work on a primary whose term has ended."""

import collections.abc
import contextlib

import trio

from sedgeswitch.groups import table


class Interrupter:
    """Cancels work on a primary as soon as the term of its permit ends.

    Otherwise requests to a frozen primary would wait until their deadlines.

    Parameters
    ----------
    groups : table.GroupTable
    """

    def __init__(self, groups: table.GroupTable):
        self._groups = groups
        self._running: dict[trio.CancelScope, table.WritePermit] = {}
        groups.register_listener(self._cancel_ended)

    @contextlib.contextmanager
    def interruptible(
        self, permit: table.WritePermit
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancel the block of a ``with`` statement if the term of a permit ends.

        Yields
        ------
        trio.CancelScope
            Its `cancelled_caught` is true if the end of the term cancelled the block.
        """
        with trio.CancelScope() as scope:
            self._running[scope] = permit
            if self._groups.is_term_over(permit):
                scope.cancel()
            try:
                yield scope
            finally:
                del self._running[scope]

    def _cancel_ended(self) -> None:
        for scope, permit in self._running.items():
            if self._groups.is_term_over(permit):
                scope.cancel()
