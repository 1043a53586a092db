"""Instances that have failed lately and are tried last."""

# Time for which an instance is tried last after one failure, in seconds; it
# doubles with each further failure.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0


class FailureBackoff:
    """Failures of instances as this host's own traffic shows them."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._until_s: dict[str, float] = {}

    def record_failure(self, instance: str, now_s: float) -> None:
        """Note that an instance was unreachable, silent or failed a statement."""
        count = self._failures.get(instance, 0)
        self._failures[instance] = count + 1
        pause_s = min(FIRST_PAUSE_S * 2**count, LONGEST_PAUSE_S)
        self._until_s[instance] = now_s + pause_s

    def record_success(self, instance: str) -> None:
        """Note that an instance has run a statement."""
        if instance in self._failures:
            del self._failures[instance]
            del self._until_s[instance]

    def is_in_backoff(self, instance: str, now_s: float) -> bool:
        """Return whether other instances should be tried first."""
        return now_s < self._until_s.get(instance, now_s)
