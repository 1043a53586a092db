"""Leases of entry hosts, as far as a failover depends on them."""

import typing


class EntryHostLease(typing.NamedTuple):
    """The lease of one entry host, as recorded by the leader.

    Attributes
    ----------
    until_s : float
        Time, on the leader's clock, from which the lease has certainly expired.
    acknowledged_groups_version : int
        Version of the group table that the host last reported as applied.
    """

    until_s: float
    acknowledged_groups_version: int


class LeaseView(typing.Protocol):
    """Access to the leases of all registered entry hosts."""

    def get_holders(self, now_s: float) -> typing.Mapping[str, EntryHostLease]:
        """Return the lease of each registered entry host, by host id.

        Notes
        -----
        A host that has sent no heartbeat to this leader is assumed to hold a
        lease until the start of the leadership plus the duration of a lease: an
        earlier leader may have granted one.
        """


def list_outdated_hosts(leases: LeaseView, version: int, now_s: float) -> list[str]:
    """Return the hosts that may still use a group table older than `version`.

    These are the hosts whose lease has not expired and that have not reported
    `version` or a later one.
    """
    return [
        host_id
        for host_id, holder in leases.get_holders(now_s).items()
        if holder.acknowledged_groups_version < version and holder.until_s > now_s
    ]
