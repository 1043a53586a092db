"""The session of a caller, which lasts as long as the caller's connection."""

import collections.abc
import math
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.observability import exposition
from sedgeswitch.observability import stages
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
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
    """Runs the steps of one caller in order and keeps the state of its session.

    Parameters
    ----------
    components : context.Components
    database_name : str
    key : str
        Key that the caller gave; may be empty for a public database.

    Attributes
    ----------
    is_in_transaction : bool
    is_failed : bool
        Whether the open transaction has failed, so that the caller can only end it.
    """

    def __init__(self, components: context.Components, database_name: str, key: str):
        self._components = components
        self._database_name = database_name
        self._key = key
        self._reader = reads.Reader(components)
        self._writer = writes.Writer(components)
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, sessions.StatementShape] = {}
        # Highest position that the session has committed, by group. Reads of databases
        # with session freshness must see it.
        self._floors: dict[str, positions.Position] = {}
        self._transaction: transactions.Transaction | None = None
        self.is_in_transaction = False
        self.is_failed = False
        self._is_expired = False

    async def open(self, timeout_s: float) -> None:
        """Check that the caller may use the database; a refusal is logged.

        Waits for the first document on a host that has just started, and for its
        confirmation on one that cannot tell whether it is the newest.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait.

        Raises
        ------
        steps.FailedError
            See `access.check_access`.
        """
        databases = self._components.databases
        with trio.move_on_after(timeout_s):
            await databases.wait_for_document()
            while self._is_denied_for_now():
                await databases.wait_for_confirmation()
        try:
            self._get_access(clocks.get_now_s())
        except steps.FailedError as error:
            self._components.decisions.note(
                f"session {error.failure.value[0]}",
                trio.current_time(),
                database=self._database_name,
                **self._describe_configuration(),
                detail=error.detail,
            )
            raise

    def _get_access(self, now_s: float) -> accesses.Access:
        return accesses.check_access(
            self._components.databases, self._database_name, self._key, now_s
        )

    def _is_denied_for_now(self) -> bool:
        try:
            self._get_access(clocks.get_now_s())
        except steps.FailedError as error:
            return error.is_retryable
        return False

    def _describe_configuration(self) -> dict[str, int | None]:
        """Return the version of the configuration, and its age if it is known."""
        databases = self._components.databases
        age_s = databases.get_age_s(clocks.get_now_s())
        return {
            "configuration": databases.document.version,
            "configuration_age_ms": (
                round(age_s * MS_PER_S) if math.isfinite(age_s) else None
            ),
        }

    async def run(self, step: steps.Step) -> steps.Outcome:
        """Run a step and return its final answer."""
        if self.is_failed and step.kind is not steps.Kind.ROLL_BACK:
            return await self._answer_in_failed_transaction(step)
        with stages.run_operation() as operation:
            if self._transaction is not None:
                _identify(self._transaction.access)
            return await self._run(step, operation)

    async def _run(
        self, step: steps.Step, operation: stages.Operation
    ) -> steps.Outcome:
        started_s = trio.current_time()
        was_in_transaction = self.is_in_transaction
        try:
            outcome = await _HANDLER_BY_KIND[step.kind](self, step)
        except steps.FailedError as error:
            outcome = steps.build_failure(error.failure, error.detail)
        if outcome.failure is not None and self.is_in_transaction:
            await self._abort_transaction()
            if not outcome.failure.has_no_effect:
                # The commit has not been sent and no longer can be, so the transaction
                # has no effect, whatever the failure of the statement says.
                outcome = outcome._replace(failure=sessions.Failure.ABORTED)
        self._record_metrics(step, outcome, trio.current_time() - started_s)
        startup_times = self._components.startup_times
        if not startup_times.is_serving and (outcome.failure or outcome.signature):
            startup_times.record_statement(outcome.failure is None, clocks.get_now_s())
        if outcome.failure is not None:
            self._log_failure(step, outcome, operation, was_in_transaction)
        return outcome

    def _record_metrics(
        self, step: steps.Step, outcome: steps.Outcome, duration_s: float
    ) -> None:
        kind = step.kind.value
        outcome_label = "done" if outcome.failure is None else outcome.failure.value[0]
        exposition.STATEMENTS.labels(kind, outcome_label).inc()
        exposition.STATEMENT_SECONDS.labels(kind).observe(duration_s)

    def _log_failure(
        self,
        step: steps.Step,
        outcome: steps.Outcome,
        operation: stages.Operation,
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
            **self._describe_configuration(),
            table=self._components.groups.get_version(),
            waited_ms=round((now_s - operation.started_s) * MS_PER_S),
            stages_ms=operation.describe(),
            detail=outcome.detail,
        )

    def get_idle_timeout_s(self) -> float:
        """Return the idle timeout until the caller's next step, in seconds.

        It is infinite outside a transaction.
        """
        if self._transaction is None:
            return math.inf
        return self._transaction.access.transaction_idle_s

    async def expire_transaction(self) -> None:
        """Roll back a transaction whose idle timeout has passed."""
        self._is_expired = True
        await self._abort_transaction()

    async def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        if self._transaction is not None:
            await self._transaction.discard()

    async def _answer_in_failed_transaction(self, step: steps.Step) -> steps.Outcome:
        """Return the outcome of a step, other than a rollback, after a failure."""
        is_expired, self._is_expired = self._is_expired, False
        if step.kind is steps.Kind.COMMIT:
            self._clear_transaction()
            return steps.build_failure(
                sessions.Failure.ABORTED, "the transaction failed and is rolled back"
            )
        if is_expired:
            return steps.build_failure(
                sessions.Failure.ABORTED,
                "the transaction exceeded its idle timeout and is rolled back",
            )
        return steps.build_failure(
            sessions.Failure.MALFORMED,
            "the transaction failed; expected COMMIT or ROLLBACK",
        )

    async def _abort_transaction(self) -> None:
        """Roll back the open transaction and mark it as failed.

        The caller must still end the transaction by a commit or a rollback.
        """
        self.is_failed = True
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            await transaction.roll_back()

    def _clear_transaction(self) -> None:
        self._transaction = None
        self.is_in_transaction = False
        self.is_failed = False
        self._is_expired = False

    async def _admit(self, started_s: float) -> tuple[accesses.Access, float]:
        """Check access and admit one operation; return the access and the deadline."""
        now_s = clocks.get_now_s()
        access = self._get_access(now_s)
        _identify(access)
        deadline_s = self._get_deadline_s(access, started_s)
        self._components.observations.record_group_use(access.database.group, now_s)
        if access.is_rate_limited:
            requested_s = trio.current_time()
            try:
                with stages.measure(stages.ADMISSION):
                    await self._components.admit(access.organisation, deadline_s)
            except verdicts.RefusedError as error:
                refusal = error.refusal
                raise steps.FailedError(
                    sessions.Failure.OVERLOADED,
                    f"{refusal.code}: retry after {refusal.retry_after_ms} ms",
                ) from error
            finally:
                waited_s = trio.current_time() - requested_s
                exposition.ADMISSION_SECONDS.observe(waited_s)
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
    async def _deallocate(self, step: steps.Step) -> steps.Outcome:
        self._prepared.pop(step.name, None)
        return steps.Outcome()

    @_register_kind(steps.Kind.BEGIN)
    async def _begin(self, step: steps.Step) -> steps.Outcome:
        if self.is_in_transaction:
            return steps.build_failure(
                sessions.Failure.MALFORMED, "a transaction is already open"
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
        self._clear_transaction()
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
        self._clear_transaction()
        try:
            reply = await transaction.commit(run, self._values, deadline_s)
        finally:
            await transaction.discard()
        self._record_commit(transaction.access, reply)
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
                sessions.Failure.UNKNOWN_STATEMENT,
                "name: expected the name of a prepared statement",
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
            self._record_commit(access, reply)
            return steps.build_outcome(reply)
        floor = self._floors.get(access.database.group)
        result = await self._reader.run(access, floor, deadline_s, run)
        return steps.build_outcome(result.reply)

    def _record_commit(self, access: accesses.Access, reply: sessions.Reply) -> None:
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
            acquired: connections.AcquiredConnection, floor: positions.Position | None
        ) -> sessions.Reply:
            with connections.measure_exchange(acquired):
                failed = await acquired.connection.set_session_values(self._values)
                if failed is not None:
                    return failed
                return await acquired.connection.run(statement, shape, floor)

        return run


def _identify(access: accesses.Access) -> None:
    """Name the kind and the organisation of the current operation, for the metrics."""
    stages.identify(access.database.freshness.value, access.organisation)


# ``build_session(database_name, key)`` returns the session of a new caller.
SessionFactory = typing.Callable[[str, str], Session]
