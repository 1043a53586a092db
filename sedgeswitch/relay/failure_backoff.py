"""Exponential backoff for instances that failed recently."""

# Time for which reads skip an instance after its first failure, in seconds. It
# doubles with each consecutive failure, up to MAX_BACKOFF_S.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


class FailureBackoff:
    """Backoff of each instance, from the outcomes of this host's own statements."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}

    def record_failure(self, instance: str, now_s: float) -> None:
        """Start or extend the backoff of an instance.

        Call it when the instance was unreachable, did not answer or failed a statement.
        """
        count = self._failures.get(instance, 0)
        self._failures[instance] = count + 1
        backoff_s = min(FIRST_BACKOFF_S * 2**count, MAX_BACKOFF_S)
        self._backoff_until_s[instance] = now_s + backoff_s

    def record_success(self, instance: str) -> None:
        """End the backoff of an instance that has run a statement."""
        if instance in self._failures:
            del self._failures[instance]
            del self._backoff_until_s[instance]

    def is_in_backoff(self, instance: str, now_s: float) -> bool:
        """Return whether the instance is in backoff, so that reads should skip it."""
        return now_s < self._backoff_until_s.get(instance, now_s)
