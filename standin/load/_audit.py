"""Creates the tables before a run, and checks the final state after it."""

import random
import typing

import trio

from standin.load import _client
from standin.load import _consistency
from standin.load import _mix
from standin.load import _traffic

MIN_RETRY_DELAY_S = 0.1


class AuditError(Exception):
    """A statement before or after the traffic failed until its retries timed out."""


class _AuditParameters(typing.NamedTuple):
    """Values of the parameters of an audit."""

    run: str
    organisation: str
    after: str


class Auditor:
    """Creates the tables before the traffic and checks the final state after it.

    Parameters
    ----------
    plan : _traffic.Plan
    client : _client.Client
    generator : random.Random
    """

    def __init__(
        self,
        plan: _traffic.Plan,
        client: _client.Client,
        generator: random.Random,
    ):
        self._plan = plan
        self._client = client
        self._random = generator

    async def prepare(self) -> None:
        """Create the tables of each group.

        Raises
        ------
        AuditError
            If a statement still fails after the retry time of the plan.
        """
        callers = {
            group: caller
            for caller in self._plan.organisations
            for group in caller.groups
        }
        for group, caller in sorted(callers.items()):
            for sql in self._plan.mix.schema:
                await self._send(caller, group, self._plan.mix.schema_work, sql, [])

    async def check(self, checker: _consistency.ConsistencyChecker) -> None:
        """Check the final state of each organisation with the consistency checker.

        Raises
        ------
        AuditError
            If a statement still fails after the retry time of the plan.
        """
        for caller in self._plan.organisations:
            values: dict[str, int] = {}
            counts: dict[str, int] = {}
            for audit in self._plan.mix.audits:
                is_tags = audit.kind is _mix.AuditKind.TAGS
                numbers = await self._load(caller, audit)
                (counts if is_tags else values).update(numbers)
            checker.audit_registers(caller.organisation, values)
            checker.audit_tags(caller.organisation, counts)

    async def _load(
        self, caller: _mix.Organisation, audit: _mix.Audit
    ) -> dict[str, int]:
        numbers: dict[str, int] = {}
        for group in caller.groups:
            after = ""
            while rows := await self._load_page(caller, group, audit, after):
                for name, number in rows:
                    numbers[name] = numbers.get(name, 0) + int(number)
                after = rows[-1][0]
        return numbers

    async def _load_page(
        self, caller: _mix.Organisation, group: str, audit: _mix.Audit, after: str
    ) -> list[list[str]]:
        values = _AuditParameters(self._plan.run, caller.organisation, after)
        parameters = _traffic.build_parameters(audit.parameters, values)
        work = self._plan.mix.audit_work
        answer = await self._send(caller, group, work, audit.sql, parameters)
        return typing.cast(list[list[str]], answer.rows)

    async def _send(
        self,
        caller: _mix.Organisation,
        group: str,
        work: str,
        sql: str,
        parameters: list[str | None],
    ) -> _client.Answer:
        # Sent as a write, so that it is executed on the primary.
        access = _mix.Access.WRITE.value
        statement = _client.Statement(group, work, access, sql, parameters)
        deadline_s = trio.current_time() + self._plan.give_up_s
        while True:
            host = self._random.choice(self._plan.hosts)
            credentials = _client.Credentials(caller.key)
            outcome = await self._client.send(host, statement, credentials)
            if isinstance(outcome, _client.Answer):
                return outcome
            if trio.current_time() > deadline_s:
                detail = f"{outcome.code}: {outcome.detail}"
                raise AuditError(f"{work} on {group} failed: {detail}")
            await trio.sleep(max(outcome.retry_after_ms / 1000, MIN_RETRY_DELAY_S))
