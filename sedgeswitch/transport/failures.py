"""Failures of a call to another process."""

from sedgeswitch import verdicts
from sedgeswitch.transport import catalog
from sedgeswitch.transport.generated import ttypes

FAILURE_TYPE = catalog.register_message(1, ttypes.Failure)


class CallError(Exception):
    """A call to another process has failed.

    Parameters
    ----------
    code : str
        ``unreachable``, ``timeout``, ``connection_lost``, ``malformed_answer``,
        ``unhandled``, ``handler_failed`` or a code set by the peer's handler.
    detail : str
    verdict : verdicts.Verdict
        Whether the peer may have executed the request.
    """

    def __init__(self, code: str, detail: str, verdict: verdicts.Verdict):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.verdict = verdict


def build_failure(error: CallError) -> ttypes.Failure:
    """Return the message that reports an error to the calling process."""
    may_have_run = error.verdict is verdicts.Verdict.MAY_HAVE_RUN
    return ttypes.Failure(error.code, error.detail, may_have_run)


def build_call_error(failure: ttypes.Failure) -> CallError:
    """Return the error that a failure message reports."""
    verdict = verdicts.Verdict.NOT_RUN
    if failure.may_have_run:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    return CallError(failure.code, failure.detail, verdict)
