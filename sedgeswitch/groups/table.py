"""The group table of an entry host, and the write permits derived from it."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

_UNAVAILABLE_STATUS = 503
_RETRY_AFTER_MS = 500


class WritePermit(typing.NamedTuple):
    """Permission to write to a primary, or to read from it, in one term.

    Attributes
    ----------
    group : str
    term : int
    primary : str
        Id of the instance.
    timeline : int
        PostgreSQL timeline of the term; see `groups.positions.confirms_write`.
    """

    group: str
    term: int
    primary: str
    timeline: int


def _exclude_none(permit: WritePermit) -> bool:  # noqa: ARG001
    """Return False, so that no primary is excluded."""
    return False


class GroupTable:
    """The copy of the replicated groups on an entry host, and the host's lease.

    Notes
    -----
    A permit is valid while the lease is valid and the group serves in the term
    of the permit. Callers must check `is_permit_valid` again before they
    acknowledge a write or answer a read from the primary. The changes in a
    heartbeat's answer must be passed to `apply_changes` before its lease is
    passed to `set_lease`: otherwise a lease that is renewed after it expired
    would be combined with an outdated table.
    """

    def __init__(self):
        self._version = 0
        self._groups: dict[str, ttypes.Group] = {}
        self._lease_until_s = float("-inf")
        self._changed = trio.Event()
        self._listeners: list[typing.Callable[[], None]] = []
        self._is_primary_excluded: typing.Callable[[WritePermit], bool] = _exclude_none

    def set_exclusion(
        self, is_primary_excluded: typing.Callable[[WritePermit], bool]
    ) -> None:
        """Set the function that returns whether nothing may be sent to a primary.

        Permits for such a primary remain valid for the acknowledgement of writes that
        it has run.
        """
        self._is_primary_excluded = is_primary_excluded

    def is_primary_excluded(self, permit: WritePermit) -> bool:
        """Return whether nothing may be sent to the primary that a permit names."""
        return self._is_primary_excluded(permit)

    def register_listener(self, listener: typing.Callable[[], None]) -> None:
        """Register a function that is called after each change of the table."""
        self._listeners.append(listener)

    def get_version(self) -> int:
        """Return the version of the table, which never decreases."""
        return self._version

    def get_group(self, group: str) -> ttypes.Group | None:
        """Return the replicated state of a group, None if it is unknown."""
        return self._groups.get(group)

    def get_groups(self) -> list[ttypes.Group]:
        """Return the replicated state of all groups."""
        return list(self._groups.values())

    def set_lease(self, until_s: float) -> None:
        """Extend the lease of this host to `until_s`, on this host's clock.

        Minus infinity releases the lease: no permit is valid from then on.
        """
        if until_s == float("-inf"):
            self._lease_until_s = until_s
        self._lease_until_s = max(self._lease_until_s, until_s)
        self._wake_waiters()

    def has_lease(self, now_s: float) -> bool:
        """Return whether the lease of this host is valid at `now_s`."""
        return now_s < self._lease_until_s

    def apply_changes(
        self, version: int, changed: typing.Iterable[ttypes.Group]
    ) -> bool:
        """Apply the changed groups from an answer of the leader.

        Parameters
        ----------
        version : int
            Version of the leader's table.
        changed : iterable of Group
            Must include all groups that changed after this table's version.

        Returns
        -------
        bool
            Whether this table was updated; False if `version` is not newer.
        """
        if version <= self._version:
            return False
        for group in changed:
            current = self._groups.get(group.group)
            if current is None or current.version < group.version:
                self._groups[group.group] = group
        self._version = version
        self._wake_waiters()
        for listener in self._listeners:
            listener()
        return True

    def get_write_permit(self, group: str, now_s: float) -> WritePermit | None:
        """Return a permit to write to a group now.

        None if the group is unknown or fenced, or the lease has expired.
        """
        state = self._groups.get(group)
        if state is None or now_s >= self._lease_until_s:
            return None
        if state.phase != ttypes.GroupPhase.SERVING:
            return None
        return WritePermit(group, state.term, state.primary, state.timeline)

    def is_term_over(self, permit: WritePermit) -> bool:
        """Return whether the group no longer serves in the term of a permit.

        Such a permit never becomes valid again, unlike one whose lease expired
        and may be renewed.
        """
        state = self._groups[permit.group]
        is_serving = state.phase == ttypes.GroupPhase.SERVING
        return not is_serving or state.term != permit.term

    def is_permit_valid(self, permit: WritePermit, now_s: float) -> bool:
        """Return whether operations under the permit may still be acknowledged."""
        return self.get_write_permit(permit.group, now_s) == permit

    def get_ack_instances(self, group: str) -> list[str]:
        """Return the instances whose confirmation counts towards acknowledgement.

        An instance that is announced but not yet registered does not count,
        because a failover would not read its position.
        """
        state = self._groups.get(group)
        if state is None:
            return []
        return [name for name in state.instances if name not in state.leaving]

    async def wait_changed(self) -> None:
        """Wait until the table or the lease has changed."""
        await self._changed.wait()

    async def wait_serving(self, group: str, deadline_s: float) -> WritePermit:
        """Wait for a permit to write to a group whose primary is not excluded.

        Parameters
        ----------
        group : str
        deadline_s : float
            Time on trio's clock at which the wait times out.

        Raises
        ------
        verdicts.RefusedError
            With verdict "not run", if there is no permit by the deadline.
        """
        while trio.current_time() <= deadline_s:
            permit = self.get_write_permit(group, clocks.get_now_s())
            if permit is not None and not self._is_primary_excluded(permit):
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
