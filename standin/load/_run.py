"""Runs the phases of a load test: preparation, traffic and audit."""

import random
import typing

import trio

from standin.load import _audit
from standin.load import _client
from standin.load import _consistency
from standin.load import _tally
from standin.load import _traffic


class Steps(typing.NamedTuple):
    """Which optional steps a run has.

    Attributes
    ----------
    is_prepared : bool
        Whether the tables are created before the traffic.
    is_audited : bool
        Whether the final state is checked after the traffic.
    """

    is_prepared: bool = True
    is_audited: bool = True


async def run(
    plan: _traffic.Plan, steps: Steps, timeout_s: float, seed: int
) -> _tally.Report:
    """Create the tables, send the traffic, check the final state and report.

    Parameters
    ----------
    plan : _traffic.Plan
    steps : Steps
    timeout_s : float
        Longest wait for the answer to one attempt.
    seed : int
        Seed of the random arrivals.

    Returns
    -------
    _tally.Report

    Raises
    ------
    _audit.AuditError
        If the tables can't be created or the final state can't be read.
    """
    generator = random.Random(seed)
    client = _client.Client(timeout_s)
    auditor = _audit.Auditor(plan, client, generator)
    checker = _consistency.ConsistencyChecker()
    try:
        if steps.is_prepared:
            await auditor.prepare()
        tally = _tally.Tally(plan.organisations, trio.current_time())
        if plan.duration_s:
            await _traffic.Traffic(plan, client, checker, tally, generator).run()
        if steps.is_audited:
            await auditor.check(checker)
    finally:
        with trio.CancelScope(shield=True):
            await client.close()
    violations = checker.finish()
    return tally.build_report(seed, plan.run, plan.duration_s, violations)
