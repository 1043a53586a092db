"""The schedulers of one host, and their metrics."""

import collections.abc
import weakref

from sedgeswitch.scheduling import counts as class_counts
from sedgeswitch.scheduling import orders
from sedgeswitch.scheduling import scheduler


class HostScheduling:
    """Builds the schedulers of a host's pools, and sums up their figures.

    Parameters
    ----------
    order : str
        Registered name of the order in which statements are started.
    queue_length : int
        Largest number of statements that wait at one instance.
    note : callable
        See `scheduler.Scheduler`.

    Raises
    ------
    KeyError
        If no order has the name.
    """

    def __init__(
        self,
        order: str,
        queue_length: int,
        note: collections.abc.Callable[..., None],
    ):
        orders.get_order(order)
        self._order = order
        self._queue_length = queue_length
        self._note = note
        self._counts = class_counts.build_counts()
        self._schedulers: weakref.WeakSet[scheduler.Scheduler] = weakref.WeakSet()

    def build(self, connections: int) -> scheduler.Scheduler:
        """Return the scheduler of a new pool."""
        built = scheduler.Scheduler(
            connections, self._queue_length, self._order, self._counts, self._note
        )
        self._schedulers.add(built)
        return built

    def get_gauges(self, now_s: float) -> dict[str, float]:
        """Return the figures of each class; names end with its priority."""
        gauges: dict[str, float] = {}
        for priority, counts in self._counts.items():
            gauges[f"scheduling_deferred_{priority}"] = counts.deferred
            gauges[f"scheduling_refused_{priority}"] = counts.refused
            gauges[f"scheduling_on_time_{priority}"] = counts.on_time
            gauges[f"scheduling_late_{priority}"] = counts.late
        for item in self._schedulers:
            for priority, load in item.get_class_loads(now_s).items():
                for name, value in (
                    (f"scheduling_waiting_{priority}", load.waiting),
                    (f"scheduling_running_{priority}", load.running),
                ):
                    gauges[name] = gauges.get(name, 0) + value
                name = f"scheduling_oldest_s_{priority}"
                gauges[name] = max(gauges.get(name, 0.0), load.oldest_s)
        return gauges
