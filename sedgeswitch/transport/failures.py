"""Failures of a call to another process."""

from sedgeswitch import verdicts
from sedgeswitch.transport import catalog
from sedgeswitch.transport.generated import ttypes

FAILURE_TYPE = catalog.register_message(1, ttypes.Failure)


class CallError(Exception):
    """A call got no reply.

    Parameters
    ----------
    code : str
        ``unreachable``, ``timeout``, ``connection_lost``, ``unhandled`` or a
        code that the peer's handler gave.
    detail : str
    verdict : verdicts.Verdict
        Whether the peer may have acted on the request.
    """

    def __init__(self, code: str, detail: str, verdict: verdicts.Verdict):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.verdict = verdict


def build_failure(error: CallError) -> ttypes.Failure:
    """Return the message that carries an error to the calling process."""
    may_have_run = error.verdict is verdicts.Verdict.MAY_HAVE_RUN
    return ttypes.Failure(error.code, error.detail, may_have_run)


def build_call_error(failure: ttypes.Failure) -> CallError:
    """Return the error that a failure message carries."""
    verdict = verdicts.Verdict.NOT_RUN
    if failure.may_have_run:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    return CallError(failure.code, failure.detail, verdict)
