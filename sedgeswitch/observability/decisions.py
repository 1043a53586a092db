"""One log line for each decision about a request, within a budget.

Refusals and doubts come in floods, so that each kind of line has a budget; what
is left out is counted and told in one line.
"""

import collections
import typing

import loguru

# Lines of one kind in one second.
LINES_PER_S = 20
SUMMARY_INTERVAL_S = 5.0


class DecisionLog:
    """Writes lines of decisions.

    Parameters
    ----------
    lines_per_s : int
    """

    def __init__(self, lines_per_s: int = LINES_PER_S):
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._summary_due_s = float("-inf")

    def note(self, kind: str, now_s: float, **fields: typing.Any) -> None:
        """Write a line, unless the budget of its kind is used up.

        Parameters
        ----------
        kind : str
            What was decided.
        now_s : float
        **fields
            Identity of the request, the inputs that decided and their age or
            version, and the outcome.
        """
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._written.clear()
            self._summarise(now_s)
        if self._written[kind] >= self._lines_per_s:
            self._left_out[kind] += 1
            return
        self._written[kind] += 1
        loguru.logger.info(kind, **fields)

    def _summarise(self, now_s: float) -> None:
        if not self._left_out or now_s < self._summary_due_s:
            return
        self._summary_due_s = now_s + SUMMARY_INTERVAL_S
        loguru.logger.info("lines left out", **self._left_out)
        self._left_out.clear()
