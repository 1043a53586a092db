"""Rate-limited log lines about decisions on requests.

Refusals and unknown outcomes come in bursts, so the number of lines of each kind
in a second is limited. The lines beyond the limit are counted, and a summary line
reports the counts.
"""

import collections
import typing

import loguru

# Maximum number of lines of one kind in one second.
LINES_PER_S = 20
SUMMARY_INTERVAL_S = 5.0


class DecisionLog:
    """Logs decisions and limits the rate of each kind.

    Parameters
    ----------
    lines_per_s : int
        Maximum number of lines of one kind in one second.
    """

    def __init__(self, lines_per_s: int = LINES_PER_S):
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._summary_due_s = float("-inf")

    def note(self, kind: str, now_s: float, **fields: typing.Any) -> None:
        """Log a decision, or count it as suppressed above the limit of its kind.

        Parameters
        ----------
        kind : str
            The decision; it is the text of the line.
        now_s : float
            Monotonic time.
        **fields
            Identity of the request, the inputs of the decision with their age or
            version, and the outcome.
        """
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._written.clear()
            self._log_summary(now_s)
        if self._written[kind] >= self._lines_per_s:
            self._suppressed[kind] += 1
            return
        self._written[kind] += 1
        loguru.logger.info(kind, **fields)

    def _log_summary(self, now_s: float) -> None:
        if not self._suppressed or now_s < self._summary_due_s:
            return
        self._summary_due_s = now_s + SUMMARY_INTERVAL_S
        loguru.logger.info("log lines suppressed", **self._suppressed)
        self._suppressed.clear()
