"""What a failover needs to know about the leases of entry hosts."""

import typing


class EntryHostLease(typing.NamedTuple):
    """The lease of one entry host, as the leader counts it.

    Attributes
    ----------
    until_s : float
        When the lease has surely run out, on the leader's clock.
    acknowledged_groups_version : int
        Version of the table of groups that the host last said it obeys.
    """

    until_s: float
    acknowledged_groups_version: int


class LeaseView(typing.Protocol):
    """The leases on every registered entry host."""

    def get_holders(self, now_s: float) -> typing.Mapping[str, EntryHostLease]:
        """Return the registered entry hosts by id.

        Notes
        -----
        A host that the leader has not heard from counts as holding a lease
        until the start of the leadership plus the length of a lease.
        """


def list_outdated_hosts(leases: LeaseView, version: int, now_s: float) -> list[str]:
    """Return the hosts that may still work under a table older than `version`."""
    return [
        host_id
        for host_id, holder in leases.get_holders(now_s).items()
        if holder.acknowledged_groups_version < version and holder.until_s > now_s
    ]
