"""The primary of a group for one request, and which refusals are retried."""

from sedgeswitch import verdicts
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.statements import context
from sedgeswitch.statements import refusals

NOT_ELIGIBLE = "primary_not_eligible"

# Codes of refusals after which a request is tried again. A refusal by an overloaded
# instance is not retried but returned to the caller at once.
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
    """Return the primary that a permit names, if the work may run on it.

    Raises
    ------
    verdicts.RefusedError
        503, not run, if the work may not run on the primary.
    """
    for server in work.eligibility.list_servers():
        if server.instance == permit.primary:
            return server
    raise build_not_eligible()


def build_not_eligible() -> verdicts.RefusedError:
    """Return the refusal of work that may not run on the primary."""
    return verdicts.build_not_run(
        503,
        NOT_ELIGIBLE,
        "no selector allows the primary, or it is drained, not announced or in an"
        " evacuated availability zone",
        refusals.RETRY_AFTER_MS,
    )


def may_retry(refusal: verdicts.Refusal, is_repeatable: bool) -> bool:
    """Return whether a request may be tried again after a refusal.

    Parameters
    ----------
    refusal : verdicts.Refusal
    is_repeatable : bool
        Whether the request is idempotent, so that it may run twice.
    """
    is_not_run = refusal.verdict is verdicts.Verdict.NOT_RUN
    return refusal.code in _RETRIED_CODES and (is_not_run or is_repeatable)
