"""Refusals that the modules of this package return to callers."""

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.pools import pool

# Time after which a caller should retry, in milliseconds.
RETRY_AFTER_MS = 500

CONNECTION_LOST = "connection_lost"
INSTANCE_UNREACHABLE = pool.INSTANCE_UNREACHABLE
NOT_REPLICATED = "not_replicated"
PRIMARY_CHANGED = "primary_changed"

# SQLSTATE classes that are answered 409: violations of constraints, and transactions
# that were rolled back because of a conflict.
_CONFLICT_CLASSES = ("23", "40")


def build_deadline_passed(verdict: verdicts.Verdict) -> verdicts.RefusedError:
    """Return the refusal of a statement whose deadline has passed."""
    refusal = verdicts.Refusal(
        verdict,
        504,
        "deadline_passed",
        "the deadline passed before the request was completed",
        RETRY_AFTER_MS,
    )
    return verdicts.RefusedError(refusal)


def build_driver_refusal(error: base.DriverError) -> verdicts.RefusedError:
    """Return the refusal that reports an error of the driver to a caller."""
    if error.is_lost or not error.sqlstate:
        refusal = verdicts.Refusal(
            error.verdict, 502, CONNECTION_LOST, error.detail, RETRY_AFTER_MS
        )
        return verdicts.RefusedError(refusal)
    status = 409 if error.sqlstate[:2] in _CONFLICT_CLASSES else 422
    detail = f"SQLSTATE {error.sqlstate}: {error.detail}"
    refusal = verdicts.Refusal(error.verdict, status, "statement_failed", detail)
    return verdicts.RefusedError(refusal)


def build_rolled_back(error: base.DriverError) -> verdicts.RefusedError:
    """Return the refusal of a statement inside an open transaction.

    Its verdict is NOT_RUN, because the server rolls back the whole transaction when
    the connection is lost.
    """
    rolled_back = base.DriverError(
        error.sqlstate, error.detail, verdicts.Verdict.NOT_RUN, error.is_lost
    )
    return build_driver_refusal(rolled_back)


def build_lease_lost(verdict: verdicts.Verdict) -> verdicts.RefusedError:
    """Return the refusal of work whose lease or term ended before its completion."""
    refusal = verdicts.Refusal(
        verdict,
        503,
        PRIMARY_CHANGED,
        "the primary was replaced, or this host lost its lease, during the request",
        RETRY_AFTER_MS,
    )
    return verdicts.RefusedError(refusal)


def build_not_replicated() -> verdicts.RefusedError:
    """Return the refusal of a write that too few replicas had before the deadline."""
    return verdicts.build_may_have_run(
        504,
        NOT_REPLICATED,
        "the write was not on enough instances before the deadline",
        RETRY_AFTER_MS,
    )
