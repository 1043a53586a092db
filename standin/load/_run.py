"""One run of the load tool."""

import random
import typing

import trio

from standin.load import _audit
from standin.load import _client
from standin.load import _tally
from standin.load import _traffic
from standin.load import _truth


class Steps(typing.NamedTuple):
    """Which steps a run has."""

    is_prepared: bool = True
    is_audited: bool = True


async def run(
    plan: _traffic.Plan, steps: Steps, timeout_s: float, seed: int
) -> _tally.Report:
    """Prepare, send the traffic, audit, and return the report.

    Raises
    ------
    _audit.AuditError
        If the tables can't be created or the final state can't be read.
    """
    generator = random.Random(seed)
    client = _client.Client(timeout_s)
    auditor = _audit.Auditor(plan, client, generator)
    truth = _truth.Truth()
    try:
        if steps.is_prepared:
            await auditor.prepare()
        tally = _tally.Tally(plan.organisations, trio.current_time())
        if plan.duration_s:
            await _traffic.Traffic(plan, client, truth, tally, generator).run()
        if steps.is_audited:
            await auditor.check(truth)
    finally:
        with trio.CancelScope(shield=True):
            await client.close()
    violations = truth.finish()
    return tally.build_report(seed, plan.run, plan.duration_s, violations)
