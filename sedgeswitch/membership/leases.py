"""The leader's view of the leases that entry hosts hold."""

from sedgeswitch.membership import machine

# Clocks of two hosts may drift apart by this share of the time that passes.
CLOCK_DRIFT_SHARE = 0.01


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
        self._until_s: dict[str, float] = {}

    def start_leadership(self, now_s: float) -> None:
        """Count every registered host as holding a lease from now on."""
        self._started_s = now_s
        self._until_s = {}

    def record_renewal(self, host_id: str, now_s: float) -> None:
        """Record that a heartbeat of the host is answered now."""
        self._until_s[host_id] = now_s + self._counted_s

    def record_release(self, host_id: str, now_s: float) -> None:
        """Record that a host has given up its lease."""
        self._until_s[host_id] = now_s

    def get_expiry(self, host_id: str) -> float:
        """Return the leader's time at which a host's lease is certainly over."""
        return self._until_s.get(host_id, self._started_s + self._counted_s)

    def get_holders(self, now_s: float) -> list[machine.Member]:
        """Return the registered hosts whose lease may not be over yet."""
        return [
            member
            for host_id, member in self._members.members.items()
            if self.get_expiry(host_id) > now_s
        ]

    def get_expired(self, now_s: float, after_s: float) -> list[machine.Member]:
        """Return the members whose lease has been over for `after_s` seconds."""
        return [
            member
            for host_id, member in self._members.members.items()
            if self.get_expiry(host_id) + after_s <= now_s
        ]
