"""The leader's record of the leases that entry hosts hold."""

from sedgeswitch.membership import machine

# The clocks of two hosts may drift apart by up to this fraction of elapsed time.
CLOCK_DRIFT_SHARE = 0.01


class LeaseTable:
    """Tracks when the lease of each registered entry host expires.

    Expiry times are on the leader's clock and include an allowance for clock
    drift, so that the host itself has stopped using the lease by then.

    Parameters
    ----------
    members : machine.MembersMachine
    lease_s : float
        Duration of the lease that one heartbeat grants, in seconds.
    """

    def __init__(self, members: machine.MembersMachine, lease_s: float):
        self._members = members
        self._counted_lease_s = lease_s * (1 + CLOCK_DRIFT_SHARE)
        self._leadership_started_s = 0.0
        self._expiry_s: dict[str, float] = {}

    def start_leadership(self, now_s: float) -> None:
        """Assume that every registered host holds a lease granted now.

        The previous leader may have renewed any of them up to this moment.
        """
        self._leadership_started_s = now_s
        self._expiry_s = {}

    def record_renewal(self, host_id: str, now_s: float) -> None:
        """Record that the host's lease is renewed at `now_s`."""
        self._expiry_s[host_id] = now_s + self._counted_lease_s

    def record_release(self, host_id: str, now_s: float) -> None:
        """Record that the host has released its lease."""
        self._expiry_s[host_id] = now_s

    def get_expiry(self, host_id: str) -> float:
        """Return the time on the leader's clock by which a lease has expired."""
        return self._expiry_s.get(
            host_id, self._leadership_started_s + self._counted_lease_s
        )

    def get_holders(self, now_s: float) -> list[machine.Member]:
        """Return the registered hosts whose lease may still be valid."""
        return [
            member
            for host_id, member in self._members.members.items()
            if self.get_expiry(host_id) > now_s
        ]

    def get_expired(self, now_s: float, after_s: float) -> list[machine.Member]:
        """Return the hosts whose lease expired at least `after_s` seconds ago."""
        return [
            member
            for host_id, member in self._members.members.items()
            if self.get_expiry(host_id) + after_s <= now_s
        ]
