"""What a holder measures of the load of an instance: its demand and service time.

The demand is what arrives, not what runs: it does not saturate, and it follows the
shares of the callers' hosts in proportion, without the delay of a queue.
"""

import math

# Time constant of the averages, in seconds. A holder of a busy instance sees several
# dozen statements in it, and demand changes over tens of seconds.
AVERAGING_S = 1.0
# Time in which waiting statements are to be worked off, in seconds. It is about twice
# the delay of the figures, so that the queue does not make the shares oscillate.
DRAIN_S = 2.5
# Service time that is assumed before the first answer, in seconds, and the weight of
# the assumption in answers.
ASSUMED_SERVICE_S = 0.03
ASSUMED_WEIGHT = 0.1


class LoadMeter:
    """Measures the statements of one holder at one instance.

    Attributes
    ----------
    running, waiting : int
        Statements that were sent to the instance, and that wait at the holder.
    """

    def __init__(self):
        self.running = 0
        self.waiting = 0
        self._updated_s: float | None = None
        self._started_s = 0.0
        # Exponentially averaged rates per second, and the part of the slots in use.
        self._arrivals = 0.0
        self._completions = 0.0
        self._busy = 0.0
        self._service_s = ASSUMED_SERVICE_S
        self._part = 1.0

    def set_part(self, slots: float, holders: int) -> None:
        """Set the part of the instance's slots that this holder may use."""
        self._part = max(slots / max(holders, 1), 1.0)

    def arrive(self, now_s: float) -> None:
        """Record a statement that will be sent."""
        self._advance(now_s)
        self._arrivals += 1 / AVERAGING_S
        self.waiting += 1

    def send(self, now_s: float) -> None:
        """Record that a statement is sent to the instance."""
        self._advance(now_s)
        self.waiting -= 1
        self.running += 1

    def give_up(self, now_s: float) -> None:
        """Record that a waiting statement will not be sent."""
        self._advance(now_s)
        self.waiting -= 1

    def end(self, now_s: float) -> None:
        """Record that a statement has its answer, or will get none."""
        self._advance(now_s)
        self.running -= 1
        self._completions += 1 / AVERAGING_S

    def get_service_s(self, now_s: float) -> float:
        """Return the mean time in a slot of the instance, in seconds.

        By the utilisation law, it is the slots in use divided by the completions a
        second; statements beyond the holder's slots wait inside the instance.
        """
        self._advance(now_s)
        return self._service_s

    def get_demand(self, now_s: float) -> float:
        """Return the demand as a fraction of this holder's part of the slots.

        It includes what is needed to work off the waiting statements in `DRAIN_S`.
        """
        self._advance(now_s)
        age_s = max(now_s - self._started_s, 1e-3)
        # The average starts at 0; divided by the part of the window that has passed.
        seen = 1 - math.exp(-age_s / AVERAGING_S)
        rate = self._arrivals / max(seen, 0.2)
        backlog = max(self.running + self.waiting - self._part, 0.0)
        return (rate + backlog / DRAIN_S) * self._service_s / self._part

    def _advance(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = self._started_s = now_s
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self._updated_s = now_s
        remaining = math.exp(-elapsed_s / AVERAGING_S)
        busy = min(self.running, self._part)
        self._arrivals *= remaining
        self._completions *= remaining
        self._busy = busy + remaining * (self._busy - busy)
        self._service_s = (self._busy + ASSUMED_WEIGHT * self._service_s) / (
            self._completions + ASSUMED_WEIGHT
        )
