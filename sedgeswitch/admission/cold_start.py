"""Decisions about instances that are slow after their start ("cold").

A group may limit the statements per second that all hosts together send to a cold
instance. Each holder of the instance paces its own statements to its share of this
rate. All functions are free of side effects and take the time as an argument, in
seconds on any clock that does not step.
"""

import math
import typing

# Tokens that a holder saves up at most. With more, each holder could send several
# statements at once, and all holders together more than the rate in one second.
_CAPACITY = 1.0
# Tolerance for sums of floating-point numbers, in tokens.
_ROUNDING = 1e-9


class Bucket(typing.NamedTuple):
    """The tokens of one holder for statements to one cold instance.

    Attributes
    ----------
    tokens : float
    updated_s : float
        Time at which there were so many tokens.
    """

    tokens: float = _CAPACITY
    updated_s: float = -math.inf


def get_share_per_s(rate_per_s: float, holders: int) -> float:
    """Return a holder's share of the rate of a cold instance, in statements per second.

    Parameters
    ----------
    rate_per_s : float
        Rate of all hosts together.
    holders : int
        Number of holders of the instance; 0 if this host is none of them.
    """
    return rate_per_s / holders if holders else 0.0


def get_tokens(bucket: Bucket, share_per_s: float, now_s: float) -> float:
    """Return the tokens of a bucket at a time."""
    if share_per_s <= 0.0:
        return 0.0
    refilled = share_per_s * max(now_s - bucket.updated_s, 0.0)
    return min(bucket.tokens + refilled, _CAPACITY)


def take(bucket: Bucket, share_per_s: float, now_s: float) -> Bucket | None:
    """Return the bucket after one statement, None if it has no token for it."""
    tokens = get_tokens(bucket, share_per_s, now_s)
    if tokens < 1.0 - _ROUNDING:
        return None
    return Bucket(tokens - 1.0, now_s)


def get_wait_s(bucket: Bucket, share_per_s: float, now_s: float) -> float:
    """Return the time until the bucket has a token; infinite without a share."""
    if share_per_s <= 0.0:
        return math.inf
    missing = 1.0 - get_tokens(bucket, share_per_s, now_s)
    return max(missing, 0.0) / share_per_s


class Evidence(typing.NamedTuple):
    """What a holder has observed of the starts of an instance.

    Attributes
    ----------
    announced_cold_s : float
        When an announcement last showed a start of the instance.
    lost_s : float
        When a connection was lost last that no known start explains; minus infinity if
        another connection or an announcement has explained it since.
    worked_s : float
        When the first of the connections that were lost was last known to work. The
        instance may have restarted between this time and `lost_s`.
    """

    announced_cold_s: float = -math.inf
    lost_s: float = -math.inf
    worked_s: float = math.inf

    def clear(self) -> "Evidence":
        """Return the evidence without lost connections."""
        return Evidence(self.announced_cold_s)


def record_announcement(evidence: Evidence, is_cold: bool, now_s: float) -> Evidence:
    """Return the evidence after an announcement that differs from the last one.

    It is newer than the loss of connections before it, and so decides.
    """
    if is_cold:
        return Evidence(announced_cold_s=now_s)
    return evidence.clear()


def record_loss(evidence: Evidence, last_used_s: float, now_s: float) -> Evidence:
    """Return the evidence after the loss of a connection.

    Parameters
    ----------
    evidence : Evidence
    last_used_s : float
        When the connection was opened or last known to work.
    now_s : float
    """
    # The start that the announcement showed has closed connections that were idle.
    if last_used_s <= evidence.announced_cold_s:
        return evidence
    worked_s = min(evidence.worked_s, last_used_s)
    return evidence._replace(lost_s=now_s, worked_s=worked_s)


def record_reply(evidence: Evidence, opened_s: float, sent_s: float) -> Evidence:
    """Return the evidence after a reply on a connection.

    A connection that was open when a lost one still worked, and has worked since the
    loss, shows that the instance has not restarted.

    Parameters
    ----------
    evidence : Evidence
    opened_s : float
        When the connection was opened.
    sent_s : float
        When the statement was sent.
    """
    if opened_s <= evidence.worked_s and evidence.lost_s < sent_s:
        return evidence.clear()
    return evidence


def is_restart_suspected(evidence: Evidence, cold_start_s: float, now_s: float) -> bool:
    """Return whether an instance may have restarted without an announcement yet."""
    return now_s < evidence.lost_s + cold_start_s
