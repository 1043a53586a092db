"""The uptime of this process."""

import time

_IMPORT_BOOTTIME_S = time.clock_gettime(time.CLOCK_BOOTTIME)


def get_uptime_s() -> float:
    """Return the time since the package was first imported, in seconds.

    Notes
    -----
    The time for which the host was suspended is included.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - _IMPORT_BOOTTIME_S
