"""Errors with a verdict: whether a refused or failed request may have run."""

import enum
import typing


class Verdict(enum.Enum):
    """Whether a request that got an error instead of a result may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Refusal(typing.NamedTuple):
    """The final answer to a request that was refused or has failed.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    status : int
        HTTP status code of the answer.
    code : str
        Stable machine-readable reason, such as ``rate_exceeded``.
    detail : str
        Explanation for people; it must not contain an API key.
    retry_after_ms : int
        Delay after which a retry may succeed, in milliseconds; 0 if a retry does
        not help.
    """

    verdict: Verdict
    status: int
    code: str
    detail: str
    retry_after_ms: int = 0


class RefusedError(Exception):
    """Passes a `Refusal` to the code that sends the answer to the caller.

    Parameters
    ----------
    refusal : Refusal
    """

    def __init__(self, refusal: Refusal):
        super().__init__(f"{refusal.code}: {refusal.detail}")
        self.refusal = refusal


def build_not_run(
    status: int, code: str, detail: str, retry_after_ms: int = 0
) -> RefusedError:
    """Return the error for a request that has certainly not run."""
    refusal = Refusal(Verdict.NOT_RUN, status, code, detail, retry_after_ms)
    return RefusedError(refusal)


def build_may_have_run(
    status: int, code: str, detail: str, retry_after_ms: int = 0
) -> RefusedError:
    """Return the error for a request that may have run."""
    refusal = Refusal(Verdict.MAY_HAVE_RUN, status, code, detail, retry_after_ms)
    return RefusedError(refusal)
