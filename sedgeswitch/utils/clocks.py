"""The clock of leases: trio's clock, and the time that the host was suspended.

The steady clock stands still while a host is suspended, so that a lease counted
on it would outlive its end as everybody else counts it.
"""

import time

import trio


def _get_suspended_s() -> float:
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)


_SUSPENDED_BEFORE_S = _get_suspended_s()
# What two readings of the clocks differ by where no time was lost.
_RESOLUTION_S = 0.001


def get_now_s() -> float:
    """Return the present time for leases, permits and ages of data, in seconds.

    Notes
    -----
    Compare it with other readings of this function only. Deadlines that trio
    waits for are on `trio.current_time`, which this equals until the host is
    suspended for the first time.
    """
    suspended_s = _get_suspended_s() - _SUSPENDED_BEFORE_S
    if suspended_s < _RESOLUTION_S:
        return trio.current_time()
    return trio.current_time() + suspended_s
