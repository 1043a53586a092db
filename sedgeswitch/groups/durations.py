"""Conversion of durations to the integer milliseconds used in messages."""

MS_PER_S = 1000
_MAX_I32_MS = 2**31 - 1


def convert_to_ms(duration_s: float) -> int:
    """Return a duration in milliseconds, rounded up.

    Parameters
    ----------
    duration_s : float
        Seconds.

    Returns
    -------
    int
        Milliseconds, at most the largest signed 32-bit integer, which is the
        type of the message fields.

    Examples
    --------
    >>> convert_to_ms(0.0012)
    2
    """
    return min(-int(-duration_s * MS_PER_S // 1), _MAX_I32_MS)
