"""How many statements a holder runs at an instance at the same time.

The slots of an instance are divided among its holders. A fixed part would leave slots
idle: statements of one organisation go to one holder. A holder with waiting statements
therefore exceeds its part for as long as the instance answers about as fast as without
contention. When statements take longer, the instance queues them, and holders return to
their parts.
"""

from sedgeswitch.scheduling import work as works

# Weight of a new observation in the service time without contention. While statements
# wait, it is followed so slowly that a burst of some seconds hardly changes it; yet it
# is followed, so that a wrong value is corrected under sustained load.
_BASELINE_WEIGHT = 0.1
_CONTENDED_WEIGHT = 0.01
# Weight of a new observation in the present slowdown. A holder reacts within a few
# statements, since a burst lasts a few seconds.
_SLOWDOWN_WEIGHT = 0.3
# Slowdown above which a holder returns to its part, and the most statements that it
# sends, as a multiple of the slots. With just as many statements as slots, a slot is
# idle for a round trip after each statement of 11 ms, a fifth of the time; with half as
# many again, the instance queues a few.
SLOWDOWN_LIMIT = 1.5
# Slowdown up to which a holder with waiting statements sends more. It is lower, since a
# slowdown is noticed only when the statements that cause it have ended.
GROWTH_LIMIT = 1.25
# Slots given up with each statement while the instance is slowed down, and slots added
# while as many statements end as may run. Within a few statements a holder is back at
# its part; it takes about ten times as long as a statement to use all idle slots.
_DECREASE_SLOTS = 1.0
_INCREASE_SLOTS = 0.5


class _Baseline:
    """Mean service time of one kind of work without contention."""

    __slots__ = ("_count", "mean_s")

    def __init__(self):
        self._count = 0
        self.mean_s = 0.0

    def record(self, service_s: float, is_contended: bool) -> None:
        self._count += 1
        weight = _CONTENDED_WEIGHT if is_contended else _BASELINE_WEIGHT
        # The first observations count equally, since a single one says little.
        weight = max(weight, 1 / self._count if self._count <= 10 else 0.0)
        self.mean_s += weight * (service_s - self.mean_s)


class SlotLimit:
    """The limit of the running statements of one holder at one instance.

    Parameters
    ----------
    slots : int
        Statements that the instance runs at the same time.
    holders : int
        Hosts that divide them.

    Attributes
    ----------
    current : int
        Statements that may run now; between `fair` and `most`.
    fair : int
        This holder's part of the slots, rounded up.
    most : int
        `SLOWDOWN_LIMIT` times all slots, rounded down.
    slots, holders : int
    """

    def __init__(self, slots: int, holders: int = 1):
        self._baselines: dict[works.Kind, _Baseline] = {}
        self._slowdown = 1.0
        self.slots = self.holders = -1
        self.set_slots(slots, holders)

    def set_slots(self, slots: int, holders: int) -> None:
        """Set the announced slots; a number below 0 counts as 0."""
        slots, holders = max(slots, 0), max(holders, 1)
        if (slots, holders) == (self.slots, self.holders):
            return
        self.slots, self.holders = slots, holders
        self.fair = -(-slots // holders)
        self.most = int(slots * SLOWDOWN_LIMIT)
        self._set_limit(self.fair)

    def record(
        self, kind: works.Kind, service_s: float, running: int, waiting: int
    ) -> None:
        """Adapt the limit to the service time of one statement.

        Parameters
        ----------
        kind : work.Kind
        service_s : float
        running, waiting : int
            Statements of this holder that ran and waited at its end.
        """
        baseline = self._baselines.get(kind)
        if baseline is None:
            baseline = self._baselines[kind] = _Baseline()
        baseline.record(service_s, is_contended=waiting > 0 or running > self.fair)
        slowdown = service_s / baseline.mean_s
        self._slowdown += _SLOWDOWN_WEIGHT * (slowdown - self._slowdown)
        if self._slowdown > SLOWDOWN_LIMIT:
            self._set_limit(self._limit - _DECREASE_SLOTS)
        elif waiting and self._slowdown < GROWTH_LIMIT:
            self._set_limit(self._limit + _INCREASE_SLOTS / max(self._limit, 1.0))

    def record_busy(self) -> None:
        """Return to the holder's part, after the instance refused a statement."""
        self._set_limit(self.fair)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(max(limit, self.fair), self.most)
        # The tolerance is for sums such as 1/3 + 1/3 + 1/3.
        self.current = int(self._limit + 1e-9)
