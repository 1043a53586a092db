"""The agreed table on an entry host, and the permits to write under it."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

_UNAVAILABLE_STATUS = 503
_RETRY_AFTER_MS = 500


class WritePermit(typing.NamedTuple):
    """Permission to write to, or read from, a primary under one term.

    Attributes
    ----------
    group : str
    term : int
    primary : str
        Id of the instance.
    timeline : int
        Timeline of the term; see `groups.positions.confirms_write`.
    """

    group: str
    term: int
    primary: str
    timeline: int


class GroupTable:
    """The table of groups as this entry host knows it, and the host's lease.

    Notes
    -----
    A permit holds while the lease holds and the group serves under the permit's
    term. Ask `is_permit_valid` again before a write is acknowledged or a read
    of the primary is answered. A heartbeat's answer must reach `apply_changes`
    before its lease reaches `set_lease`: a lease that was renewed after it ran
    out must not be used under the table from before.
    """

    def __init__(self):
        self._version = 0
        self._groups: dict[str, ttypes.Group] = {}
        self._lease_until_s = float("-inf")
        self._changed = trio.Event()
        self._listeners: list[typing.Callable[[], None]] = []

    def register_listener(self, listener: typing.Callable[[], None]) -> None:
        """Register a function that is called after each change of the table."""
        self._listeners.append(listener)

    def get_version(self) -> int:
        """Return the version of the table, which only goes up."""
        return self._version

    def get_group(self, group: str) -> ttypes.Group | None:
        """Return the agreed state of a group, None if it is unknown."""
        return self._groups.get(group)

    def get_groups(self) -> list[ttypes.Group]:
        """Return the agreed state of all groups."""
        return list(self._groups.values())

    def set_lease(self, until_s: float) -> None:
        """Extend the lease of this host to `until_s`, on this host's clock.

        Minus infinity gives the lease up: no permit holds from then on.
        """
        if until_s == float("-inf"):
            self._lease_until_s = until_s
        self._lease_until_s = max(self._lease_until_s, until_s)
        self._wake_waiters()

    def apply_changes(
        self, version: int, changed: typing.Iterable[ttypes.Group]
    ) -> bool:
        """Take in the groups that the leader says have changed.

        Parameters
        ----------
        version : int
            Version of the leader's table.
        changed : iterable of Group
            At least the groups that changed after this table's version.

        Returns
        -------
        bool
            Whether the table moved; False for an older table.
        """
        if version <= self._version:
            return False
        for group in changed:
            known = self._groups.get(group.group)
            if known is None or known.version < group.version:
                self._groups[group.group] = group
        self._version = version
        self._wake_waiters()
        for listener in self._listeners:
            listener()
        return True

    def get_write_permit(self, group: str, now_s: float) -> WritePermit | None:
        """Return a permit to write to a group now, or None."""
        state = self._groups.get(group)
        if state is None or now_s >= self._lease_until_s:
            return None
        if state.phase != ttypes.GroupPhase.SERVING:
            return None
        return WritePermit(group, state.term, state.primary, state.timeline)

    def is_term_over(self, permit: WritePermit) -> bool:
        """Return whether the group no longer serves under a permit's term.

        Unlike a permit that lapsed with the lease, such a one never comes back.
        """
        state = self._groups[permit.group]
        is_serving = state.phase == ttypes.GroupPhase.SERVING
        return not is_serving or state.term != permit.term

    def is_permit_valid(self, permit: WritePermit, now_s: float) -> bool:
        """Return whether work under the permit may still be acknowledged."""
        return self.get_write_permit(permit.group, now_s) == permit

    def get_ack_instances(self, group: str) -> list[str]:
        """Return the instances that count for the acknowledgement of a write.

        An instance that is announced, but not agreed, counts for nothing: a
        failover does not read its position.
        """
        state = self._groups.get(group)
        if state is None:
            return []
        return [name for name in state.instances if name not in state.leaving]

    async def wait_changed(self) -> None:
        """Wait until the table or the lease has changed."""
        await self._changed.wait()

    async def wait_serving(self, group: str, deadline_s: float) -> WritePermit:
        """Wait for a permit to write to a group.

        Parameters
        ----------
        group : str
        deadline_s : float
            Time, on trio's clock, at which the wait ends.

        Raises
        ------
        verdicts.RefusedError
            Not run, if the group does not serve by the deadline.
        """
        while trio.current_time() <= deadline_s:
            permit = self.get_write_permit(group, clocks.get_now_s())
            if permit is not None:
                return permit
            with trio.move_on_at(deadline_s):
                await self._changed.wait()
                continue
            break
        raise verdicts.build_not_run(
            _UNAVAILABLE_STATUS,
            "no_primary",
            f"group {group} has no primary that may be written to",
            _RETRY_AFTER_MS,
        )

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
