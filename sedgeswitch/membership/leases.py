"""The leader's view of the leases that entry hosts hold."""

import typing

from sedgeswitch.membership import machine

# Clocks of two hosts may drift apart by this share of the time that passes.
CLOCK_DRIFT_SHARE = 0.01


class Holder(typing.NamedTuple):
    """An entry host that may hold a lease.

    Attributes
    ----------
    until_s : float
        The lease is certainly over at this time of the leader's clock.
    acknowledged_groups_version : int
        Version of the group table that the host has reported to follow.
    """

    until_s: float
    acknowledged_groups_version: int


class LeaseTable:
    """Counts, for each registered entry host, when its lease is over.

    Parameters
    ----------
    members : machine.MembersMachine
    lease_s : float
        How long a heartbeat's lease lasts, in seconds.
    """

    def __init__(self, members: machine.MembersMachine, lease_s: float):
        self._members = members
        self._counted_s = lease_s * (1 + CLOCK_DRIFT_SHARE)
        self._started_s = 0.0
        self._holders: dict[str, Holder] = {}

    def start_leadership(self, now_s: float) -> None:
        """Count every registered host as holding a lease from now on."""
        self._started_s = now_s
        self._holders = {}

    def record_renewal(self, host_id: str, now_s: float) -> None:
        """Record that a heartbeat of the host is answered now."""
        acknowledged = self._get_holder(host_id).acknowledged_groups_version
        self._holders[host_id] = Holder(now_s + self._counted_s, acknowledged)

    def record_acknowledgement(self, host_id: str, groups_version: int) -> None:
        """Record the version of the group table that a host follows."""
        holder = self._get_holder(host_id)
        self._holders[host_id] = Holder(holder.until_s, groups_version)

    def record_release(self, host_id: str, now_s: float) -> None:
        """Record that a host has given up its lease."""
        acknowledged = self._get_holder(host_id).acknowledged_groups_version
        self._holders[host_id] = Holder(now_s, acknowledged)

    def get_holders(self, now_s: float) -> dict[str, Holder]:
        """Return the registered hosts whose lease may not be over yet."""
        holders = {
            host_id: self._get_holder(host_id) for host_id in self._members.members
        }
        return {
            host_id: holder
            for host_id, holder in holders.items()
            if holder.until_s > now_s
        }

    def get_expired(self, now_s: float, after_s: float) -> list[machine.Member]:
        """Return the members whose lease has been over for `after_s` seconds."""
        return [
            member
            for host_id, member in self._members.members.items()
            if self._get_holder(host_id).until_s + after_s <= now_s
        ]

    def _get_holder(self, host_id: str) -> Holder:
        unknown = Holder(self._started_s + self._counted_s, -1)
        return self._holders.get(host_id, unknown)
