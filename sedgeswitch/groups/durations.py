"""Durations as integer milliseconds, for message fields."""

from sedgeswitch.transport import catalog

MS_PER_S = 1000


def get_ms(duration_s: float) -> int:
    """Return whole milliseconds, rounded up, at most a signed 32-bit integer.

    Examples
    --------
    >>> get_ms(0.0012)
    2
    """
    return min(-int(-duration_s * MS_PER_S // 1), catalog.MAX_INT32)
