"""The section of heartbeats that distributes the verdicts of holders.

Verdicts also arrive with answers. The section is for hosts that get no answers of an
instance, for example because it hangs. A host reports its verdicts when they change,
and otherwise only its version.
"""

import collections.abc
import random

import loguru

from sedgeswitch.routing import messages
from sedgeswitch.transport import catalog

# Interval at which a host repeats that instances are unhealthy, and time after which
# the leader drops a verdict that was not repeated, in seconds. Two repetitions may be
# lost.
RENEWAL_INTERVAL_S = 5.0
VERDICT_TTL_S = 16.0
# Most instances that a host reports or receives; a group has few, and a fleet with more
# unhealthy ones is not helped by ejecting some.
MAX_INSTANCES = 200
_EPOCH_BITS = 30


class EntrySection:
    """Entry side: reports this host's verdicts and receives those of all holders.

    Parameters
    ----------
    list_unhealthy : callable
        ``list_unhealthy(now_s)`` returns the instances that this host holds and calls
        unhealthy.
    set_unhealthy : callable
        ``set_unhealthy(counts)`` receives how many holders call an instance unhealthy.
    """

    def __init__(
        self,
        list_unhealthy: collections.abc.Callable[
            [float], collections.abc.Iterable[str]
        ],
        set_unhealthy: collections.abc.Callable[[dict[str, int]], None],
    ):
        self._list_unhealthy = list_unhealthy
        self._set_unhealthy = set_unhealthy
        self._epoch = -1
        self._version = -1
        self._logged: set[str] = set()
        self._sent: list[str] | None = None
        # Verdicts that the leader has received, and when they were sent.
        self._acknowledged: list[str] = []
        self._acknowledged_s = float("-inf")

    def build_report(self, now_s: float) -> bytes:
        """Return the version, and the verdicts if the leader lacks them."""
        unhealthy = sorted(self._list_unhealthy(now_s))[:MAX_INSTANCES]
        self._log_changes(set(unhealthy))
        is_due = bool(unhealthy) and now_s - self._acknowledged_s >= RENEWAL_INTERVAL_S
        self._sent = unhealthy if is_due or unhealthy != self._acknowledged else None
        return catalog.encode_struct(
            messages.HealthReport(self._epoch, self._version, self._sent)
        )

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Record what the leader received, and pass on the verdicts that it sent."""
        answer = catalog.decode_struct(messages.HealthAnswer, body)
        if answer.epoch != self._epoch:
            # A new leader knows no verdicts.
            self._epoch = answer.epoch
            self._acknowledged = []
        if self._sent is not None:
            self._acknowledged, self._acknowledged_s = self._sent, now_s
            self._sent = None
        self._version = answer.version
        if answer.unhealthy is not None:
            self._set_unhealthy(dict(answer.unhealthy))

    def _log_changes(self, unhealthy: set[str]) -> None:
        for instance in sorted(unhealthy - self._logged):
            loguru.logger.info("instance unhealthy", instance=instance)
        for instance in sorted(self._logged - unhealthy):
            loguru.logger.info("instance healthy again", instance=instance)
        self._logged = unhealthy


class ControlSection:
    """Leader side: counts the verdicts of holders and distributes the counts.

    The verdicts are hints, which are kept in memory only.

    Parameters
    ----------
    rng : random.Random
        Source of epochs.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._epoch = 0
        self._version = 0
        # Time at which each verdict expires, by host and instance.
        self._until_s: dict[str, dict[str, float]] = {}
        self._counts: dict[str, int] = {}

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Discard the verdicts of an earlier leadership."""
        self._epoch = self._rng.getrandbits(_EPOCH_BITS)
        self._version = 0
        self._until_s = {}
        self._counts = {}

    def get_version(self) -> int:
        """Return 0: hosts get the verdicts with their next regular heartbeat.

        A heartbeat of every host at once would cost more bytes between regions than
        the half second is worth.
        """
        return 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Record the verdicts of a host; return the counts that it lacks."""
        report = catalog.decode_struct(messages.HealthReport, body)
        if report.unhealthy is not None:
            until_s = now_s + VERDICT_TTL_S
            self._until_s[host_id] = dict.fromkeys(
                report.unhealthy[:MAX_INSTANCES], until_s
            )
        if self._until_s:
            self._count(now_s)
        is_known = (report.epoch, report.version) == (self._epoch, self._version)
        return catalog.encode_struct(
            messages.HealthAnswer(
                self._epoch, self._version, None if is_known else self._counts
            )
        )

    def _count(self, now_s: float) -> None:
        counts: dict[str, int] = {}
        for host_id, verdicts in list(self._until_s.items()):
            valid = {
                name: until_s for name, until_s in verdicts.items() if until_s > now_s
            }
            if valid:
                self._until_s[host_id] = valid
            else:
                del self._until_s[host_id]
            for instance in valid:
                counts[instance] = counts.get(instance, 0) + 1
        if counts != self._counts:
            self._counts = counts
            self._version += 1
