"""What a caller's host knows of the backlogs of holders."""

import typing

from sedgeswitch.scheduling import retries
from sedgeswitch.scheduling import scheduler
from sedgeswitch.scheduling import work as works

# Time for which a report is used, in seconds. Statements that are refused by it bring
# no newer report.
MAX_AGE_S = 1.0
_MS_PER_S = 1000


class _Report(typing.NamedTuple):
    """The backlog of a holder at an instance, and when it was reported."""

    waiting_by_priority: dict[int, int]
    # Statements that start in a second.
    rate_per_s: float
    received_s: float


class Backlogs:
    """The backlogs that holders reported with their answers."""

    def __init__(self):
        self._reports: dict[tuple[str, str], _Report] = {}
        self._retries = retries.RetryTimes()

    def record(
        self, instance: str, host_id: str, load: typing.Any, now_s: float
    ) -> None:
        """Record the load that a holder returned with an answer.

        Parameters
        ----------
        instance, host_id : str
        load : forwarding.messages.InstanceLoad
            A load without a backlog, or with values out of range, removes the report.
        now_s : float
        """
        key = (instance, host_id)
        waiting = load.waiting_by_priority
        if not waiting or not load.service_ms or not load.slots:
            self._reports.pop(key, None)
            return
        holders = max(load.holders or 1, 1)
        slots = max(load.slots / holders, load.running or 0, 1)
        rate_per_s = slots * _MS_PER_S / max(load.service_ms, 1)
        self._reports[key] = _Report(waiting, rate_per_s, now_s)

    def find_retry_after_ms(
        self,
        instance: str,
        host_id: str,
        work: works.Work,
        deadline_s: float,
        now_s: float,
    ) -> int | None:
        """Return the retry-after time of a statement that its holder would refuse.

        None if the holder may serve it before its deadline, or if nothing recent is
        known. The backlog is assumed to have shrunk since the report at the rate at
        which the holder starts statements.
        """
        report = self._reports.get((instance, host_id))
        if report is None:
            return None
        age_s = now_s - report.received_s
        if not 0 <= age_s <= MAX_AGE_S:
            del self._reports[instance, host_id]
            return None
        wait_s = _estimate_wait_s(report, work.priority) - age_s
        if wait_s <= scheduler.ESTIMATE_TOLERANCE * (deadline_s - now_s):
            return None
        return self._retries.get_retry_after_ms(
            wait_s, 1 / report.rate_per_s, 0.0, now_s
        )


def _estimate_wait_s(report: _Report, priority: int) -> float:
    """Return the wait that a new statement of a class meets; see `Scheduler`."""
    waiting = report.waiting_by_priority
    own = max(waiting.get(priority, 0), 0)
    higher = sum(max(count, 0) for other, count in waiting.items() if other < priority)
    classes = len(waiting.keys() | {priority})
    guaranteed = own * classes / scheduler.GUARANTEED_SHARE
    return min(higher + own, guaranteed) / report.rate_per_s
