"""The clock for leases: trio's clock plus the time for which the host was suspended.

The monotonic clock stops while a host is suspended. A lease timed by it alone would
still be valid on this host after it has expired on all other hosts.
"""

import time

import trio


def _get_suspended_s() -> float:
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)


_SUSPENDED_AT_IMPORT_S = _get_suspended_s()
# CLOCK_BOOTTIME and CLOCK_MONOTONIC are read one after the other, so that their
# difference varies by less than this without any suspension.
_MIN_SUSPENSION_S = 0.001


def get_now_s() -> float:
    """Return the current time for leases, permits and ages of data, in seconds.

    Notes
    -----
    Results are comparable only with other results of this function. Deadlines of
    trio use `trio.current_time`, which is equal to this clock until the host is
    suspended for the first time.
    """
    suspended_s = _get_suspended_s() - _SUSPENDED_AT_IMPORT_S
    if suspended_s < _MIN_SUSPENSION_S:
        return trio.current_time()
    return trio.current_time() + suspended_s
