"""For how long this process has run."""

import time

_STARTED_BOOT_S = time.clock_gettime(time.CLOCK_BOOTTIME)


def get_uptime_s() -> float:
    """Return the time since the package was first imported, in seconds.

    Notes
    -----
    Time for which the host was suspended counts.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - _STARTED_BOOT_S
