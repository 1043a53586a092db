"""The primary of a group, as far as a request may use it."""

from sedgeswitch import verdicts
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.statements import context
from sedgeswitch.statements import refusals

NOT_ELIGIBLE = "primary_not_eligible"

# Refusals of a try that another try may spare the caller. An overloaded
# instance is not among them: its answer is final and goes out at once.
_RETRIED_CODES = frozenset(
    [
        NOT_ELIGIBLE,
        refusals.CONNECTION_LOST,
        refusals.INSTANCE_UNREACHABLE,
        refusals.NOT_REPLICATED,
        refusals.PRIMARY_CHANGED,
    ]
)


def get_primary(
    permit: table.WritePermit, work: context.AuthorisedWork
) -> directory.BackendServer:
    """Return the primary that a permit names.

    Raises
    ------
    verdicts.RefusedError
        503, not run, if the work may not go there.
    """
    for server in work.eligibility.list_servers():
        if server.instance == permit.primary:
            return server
    raise build_not_eligible()


def build_not_eligible() -> verdicts.RefusedError:
    """Return the refusal of work that may not go to the primary."""
    return verdicts.build_not_run(
        503,
        NOT_ELIGIBLE,
        "no selector leads to the primary, or it is drained or unknown",
        refusals.RETRY_AFTER_MS,
    )


def may_retry(refusal: verdicts.Refusal, is_repeatable: bool) -> bool:
    """Return whether a try that was refused may be followed by another.

    Parameters
    ----------
    refusal : verdicts.Refusal
    is_repeatable : bool
        Whether a second run does no harm.
    """
    is_not_run = refusal.verdict is verdicts.Verdict.NOT_RUN
    return refusal.code in _RETRIED_CODES and (is_not_run or is_repeatable)
