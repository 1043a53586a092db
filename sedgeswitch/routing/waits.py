"""Expected waits at an instance that runs several statements at the same time.

The queue is that of Sakasegawa's approximation for servers with random arrivals. A
utilisation above 1 is an estimate of demand beyond the capacity, from the queue that it
leaves.
"""

import math

# Utilisation from which the queue is taken to grow linearly. Sakasegawa's formula has a
# pole at 1, where a small error of a report would decide alone.
LINEAR_FROM = 0.95
# Waiting statements for each slot that a further utilisation of 1 adds: an overload of
# a tenth leaves one statement for each slot after ten service times.
QUEUE_SLOPE = 10.0
# Highest utilisation that is inferred from a queue, which grows without bound at any
# overload.
MAX_UTILISATION = 1.1
# Halvings of the search for a utilisation; the result is exact to 2e-6.
_SEARCH_STEPS = 20


def get_queue(utilisation: float, slots: float) -> float:
    """Return the mean number of statements that wait at an instance.

    Parameters
    ----------
    utilisation : float
        Demand as a fraction of what the slots can run.
    slots : float
        Statements that the instance runs at the same time, at least 1.
    """
    curved = min(max(utilisation, 0.0), LINEAR_FROM)
    queue = curved ** math.sqrt(2 * (slots + 1)) / (1 - curved)
    return queue + QUEUE_SLOPE * slots * max(utilisation - LINEAR_FROM, 0.0)


def get_wait_s(utilisation: float, slots: float, service_s: float) -> float:
    """Return the expected wait before an instance runs a statement, in seconds."""
    served = min(max(utilisation, 1e-3), 1.0)
    return get_queue(utilisation, slots) * service_s / (slots * served)


def estimate_utilisation(outstanding: float, slots: float) -> float:
    """Return the utilisation at which so many statements run or wait on average."""
    low, high = 0.0, MAX_UTILISATION
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        running = min(middle, LINEAR_FROM) * slots
        if running + get_queue(middle, slots) < outstanding:
            low = middle
        else:
            high = middle
    return (low + high) / 2
