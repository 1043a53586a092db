"""Durations as integer milliseconds, for message fields."""

MS_PER_S = 1000
_LONGEST_MS = 2**31 - 1


def get_ms(duration_s: float) -> int:
    """Return whole milliseconds, rounded up, at most a signed 32-bit integer.

    Examples
    --------
    >>> get_ms(0.0012)
    2
    """
    return min(-int(-duration_s * MS_PER_S // 1), _LONGEST_MS)
