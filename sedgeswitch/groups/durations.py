"""Durations as the messages carry them."""

MS_PER_S = 1000
_MAX_I32_MS = 2**31 - 1


def convert_to_ms(duration_s: float) -> int:
    """Return whole milliseconds, rounded up, as far as 32 bits hold them.

    Examples
    --------
    >>> convert_to_ms(0.0012)
    2
    """
    return min(-int(-duration_s * MS_PER_S // 1), _MAX_I32_MS)
