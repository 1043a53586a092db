"""Work that is given up as soon as its primary is replaced."""

import collections.abc
import contextlib

import trio

from sedgeswitch.groups import table


class Interrupter:
    """Cancels what runs on a primary when its term ends.

    A frozen primary would hold its callers until their deadlines.

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
        """Run a block under a permit.

        Yields
        ------
        trio.CancelScope
            Caught a cancellation if the term ended before the block did.
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
