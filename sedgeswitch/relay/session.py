"""A caller's session, which is one connection of the caller's."""

import collections.abc
import math
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.observability import exposition
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import context
from sedgeswitch.relay import links
from sedgeswitch.relay import reads
from sedgeswitch.relay import steps
from sedgeswitch.relay import transactions
from sedgeswitch.relay import writes
from sedgeswitch.utils import clocks

MS_PER_S = 1000.0

Handler = collections.abc.Callable[..., collections.abc.Awaitable[steps.Outcome]]
_HANDLER_BY_KIND: dict[steps.Kind, Handler] = {}


def _register_kind(kind: steps.Kind) -> collections.abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a kind of step."""

    def register(handler: Handler) -> Handler:
        _HANDLER_BY_KIND[kind] = handler
        return handler

    return register


class Session:
    """The state of a session, and the steps that change it.

    Parameters
    ----------
    components : context.Components
    database_name : str
    key : str
        The caller's key.

    Attributes
    ----------
    is_in_transaction : bool
    is_failed : bool
        Whether the open transaction can only be ended.
    """

    def __init__(self, components: context.Components, database_name: str, key: str):
        self._components = components
        self._database_name = database_name
        self._key = key
        self._reader = reads.Reader(components)
        self._writer = writes.Writer(components)
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, sessions.StatementShape] = {}
        self._floors: dict[str, positions.Position] = {}
        self._transaction: transactions.Transaction | None = None
        self.is_in_transaction = False
        self.is_failed = False
        self._is_expired = False

    async def wait_configured(self) -> None:
        """Wait until this host has a document, as after its start."""
        await self._components.databases.wait_for_document()

    def check(self) -> accesses.Access:
        """Return what the session may use now; see `access.check_access`."""
        return accesses.check_access(
            self._components.databases, self._database_name, self._key
        )

    async def run(self, step: steps.Step) -> steps.Outcome:
        """Run a step and return its final answer."""
        if self.is_failed and step.kind is not steps.Kind.ROLL_BACK:
            return await self._run_failed(step)
        started_s = trio.current_time()
        was_in_transaction = self.is_in_transaction
        try:
            outcome = await _HANDLER_BY_KIND[step.kind](self, step)
        except steps.FailedError as error:
            outcome = steps.build_failure(error.failure, error.detail)
        if outcome.failure is not None and self.is_in_transaction:
            await self._fail()
            if not outcome.failure.has_no_effect:
                # The commit was never sent, and now it never will be.
                outcome = outcome._replace(failure=sessions.Failure.ABORTED)
        self._count(step, outcome, trio.current_time() - started_s)
        if outcome.failure is not None:
            self._note_failure(step, outcome, started_s, was_in_transaction)
        return outcome

    def _count(
        self, step: steps.Step, outcome: steps.Outcome, duration_s: float
    ) -> None:
        kind = step.kind.value
        told = "done" if outcome.failure is None else outcome.failure.value[0]
        exposition.STATEMENTS.labels(kind, told).inc()
        exposition.STATEMENT_SECONDS.labels(kind).observe(duration_s)

    def _note_failure(
        self,
        step: steps.Step,
        outcome: steps.Outcome,
        started_s: float,
        was_in_transaction: bool,
    ) -> None:
        now_s = trio.current_time()
        self._components.decisions.note(
            f"statement {outcome.failure.value[0]}",
            now_s,
            request=step.statement_id.decode(errors="replace"),
            step=step.kind.value,
            database=self._database_name,
            in_transaction=was_in_transaction,
            configuration=self._components.databases.document.version,
            table=self._components.groups.get_version(),
            waited_ms=round((now_s - started_s) * MS_PER_S),
            detail=outcome.detail,
        )

    def get_idle_limit_s(self) -> float:
        """Return how long the session may wait for its caller's next step."""
        if self._transaction is None:
            return math.inf
        return self._transaction.access.transaction_idle_s

    async def expire(self) -> None:
        """Undo a transaction that its caller has left idle for too long."""
        self._is_expired = True
        await self._fail()

    async def close(self) -> None:
        """End the session; an open transaction is undone."""
        if self._transaction is not None:
            await self._transaction.discard()

    async def _run_failed(self, step: steps.Step) -> steps.Outcome:
        """Answer a step of a transaction that has failed."""
        is_expired, self._is_expired = self._is_expired, False
        if step.kind is steps.Kind.COMMIT:
            self._end()
            return steps.build_failure(
                sessions.Failure.ABORTED, "the transaction failed; nothing is kept"
            )
        if is_expired:
            return steps.build_failure(
                sessions.Failure.ABORTED, "the transaction was idle for too long"
            )
        return steps.build_failure(
            sessions.Failure.MALFORMED, "the transaction failed and can only be ended"
        )

    async def _fail(self) -> None:
        """Undo an open transaction, of which the caller has yet to hear."""
        self.is_failed = True
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            await transaction.roll_back()

    def _end(self) -> None:
        self._transaction = None
        self.is_in_transaction = False
        self.is_failed = False
        self._is_expired = False

    async def _admit(self, started_s: float) -> tuple[accesses.Access, float]:
        """Check and count an operation that begins; return its deadline, too."""
        access = self.check()
        deadline_s = self._get_deadline_s(access, started_s)
        self._components.observations.record_group_use(
            access.database.group, clocks.get_now_s()
        )
        if access.is_limited:
            asked_s = trio.current_time()
            try:
                await self._components.admit(access.organisation, deadline_s)
                waited_s = trio.current_time() - asked_s
                exposition.ADMISSION_SECONDS.observe(waited_s)
            except verdicts.RefusedError as error:
                refusal = error.refusal
                raise steps.FailedError(
                    sessions.Failure.OVERLOADED,
                    f"{refusal.code}: retry after {refusal.retry_after_ms} ms",
                ) from error
        return access, deadline_s

    def _get_deadline_s(self, access: accesses.Access, started_s: float) -> float:
        return started_s + access.database.statement_timeout_s

    @_register_kind(steps.Kind.MALFORMED)
    async def _answer_malformed(self, step: steps.Step) -> steps.Outcome:
        return steps.build_failure(sessions.Failure.MALFORMED, step.detail)

    @_register_kind(steps.Kind.SET_VALUE)
    async def _set_value(self, step: steps.Step) -> steps.Outcome:
        self._values[step.name] = step.value
        return steps.Outcome()

    @_register_kind(steps.Kind.PREPARE)
    async def _prepare(self, step: steps.Step) -> steps.Outcome:
        self._prepared[step.name] = step.shape
        return steps.Outcome()

    @_register_kind(steps.Kind.DEALLOCATE)
    async def _forget(self, step: steps.Step) -> steps.Outcome:
        self._prepared.pop(step.name, None)
        return steps.Outcome()

    @_register_kind(steps.Kind.BEGIN)
    async def _begin(self, step: steps.Step) -> steps.Outcome:
        if self.is_in_transaction:
            return steps.build_failure(
                sessions.Failure.MALFORMED, "a transaction is open already"
            )
        access, _ = await self._admit(trio.current_time())
        self._transaction = transactions.Transaction(
            self._components,
            self._reader,
            access,
            step.is_read_only,
            self._floors.get(access.database.group),
        )
        self.is_in_transaction = True
        return steps.Outcome()

    @_register_kind(steps.Kind.ROLL_BACK)
    async def _roll_back(self, step: steps.Step) -> steps.Outcome:  # noqa: ARG002
        if not self.is_in_transaction:
            return steps.build_failure(
                sessions.Failure.MALFORMED, "no transaction is open"
            )
        transaction = self._transaction
        self._end()
        if transaction is not None:
            await transaction.roll_back()
        return steps.Outcome()

    @_register_kind(steps.Kind.COMMIT)
    async def _commit(self, step: steps.Step) -> steps.Outcome:
        transaction = self._transaction
        if transaction is None:
            return steps.build_failure(
                sessions.Failure.MALFORMED, "no transaction is open"
            )
        deadline_s = self._get_deadline_s(transaction.access, trio.current_time())
        run = self._build_run(sessions.Statement(step.statement_id, step.text))
        self._end()
        try:
            reply = await transaction.commit(run, self._values, deadline_s)
        finally:
            await transaction.discard()
        self._note_commit(transaction.access, reply)
        return steps.build_outcome(reply)

    @_register_kind(steps.Kind.READ)
    async def _read(self, step: steps.Step) -> steps.Outcome:
        statement = sessions.Statement(step.statement_id, step.text)
        return await self._run_statement(statement, None, is_write=False)

    @_register_kind(steps.Kind.WRITE)
    async def _write(self, step: steps.Step) -> steps.Outcome:
        statement = sessions.Statement(step.statement_id, step.text)
        return await self._run_statement(statement, None, is_write=True)

    @_register_kind(steps.Kind.EXECUTE)
    async def _execute(self, step: steps.Step) -> steps.Outcome:
        shape = self._prepared.get(step.name)
        if shape is None:
            return steps.build_failure(
                sessions.Failure.UNKNOWN_STATEMENT, "no statement has this name"
            )
        statement = sessions.Statement(step.statement_id, step.text, step.value)
        return await self._run_statement(statement, shape, shape.is_write)

    async def _run_statement(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None,
        is_write: bool,
    ) -> steps.Outcome:
        started_s = trio.current_time()
        run = self._build_run(statement, shape)
        transaction = self._transaction
        if transaction is not None:
            deadline_s = self._get_deadline_s(transaction.access, started_s)
            reply = await transaction.run(run, is_write, self._values, deadline_s)
            return steps.build_outcome(reply)
        access, deadline_s = await self._admit(started_s)
        if is_write:
            reply = await self._writer.run(access, deadline_s, run)
            self._note_commit(access, reply)
            return steps.build_outcome(reply)
        floor = self._floors.get(access.database.group)
        placement = await self._reader.run(access, floor, deadline_s, run)
        return steps.build_outcome(placement.reply)

    def _note_commit(self, access: accesses.Access, reply: sessions.Reply) -> None:
        if reply.failure is None and reply.position is not None:
            group = access.database.group
            floor = context.merge_floors(self._floors.get(group), reply.position)
            self._floors[group] = floor

    def _build_run(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None = None,
    ) -> reads.Run:
        async def run(
            link: links.Link, floor: positions.Position | None
        ) -> sessions.Reply:
            failed = await link.connection.set_session_values(self._values)
            if failed is not None:
                return failed
            return await link.connection.run(statement, shape, floor)

        return run


SessionFactory = typing.Callable[[str, str], Session]
