"""Transactions; each is bound to one connection with its first statement."""

import trio

from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.observability import stages
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import reads
from sedgeswitch.relay import steps
from sedgeswitch.relay import writes
from sedgeswitch.routing import eligibility
from sedgeswitch.utils import clocks

# Timeout of a rollback, in seconds; after it the connection is closed instead.
ROLL_BACK_TIMEOUT_S = 1.0


class Transaction:
    """A transaction of a session, bound to a connection with its first statement.

    Parameters
    ----------
    components : context.Components
    reader : reads.Reader
    access : access.Access
    is_read_only : bool
        Whether the transaction may run on a replica.
    session_floor : positions.Position or None
        Highest position that the session has committed, if any.
    """

    def __init__(
        self,
        components: context.Components,
        reader: reads.Reader,
        access: accesses.Access,
        is_read_only: bool,
        session_floor: positions.Position | None,
    ):
        self._components = components
        self._reader = reader
        self.access = access
        self._is_read_only = is_read_only
        self._session_floor = session_floor
        self._acquired: connections.AcquiredConnection | None = None
        self._permit: table.WritePermit | None = None
        self._has_written = False
        self._is_busy = False
        # Why this host ended the transaction between two statements, if it did.
        self._end_reason: str | None = None

    @property
    def is_bound(self) -> bool:
        """Whether the transaction is bound to a connection."""
        return self._acquired is not None

    async def run(
        self,
        run: reads.Run,
        is_write: bool,
        values: dict[bytes, bytes],
        deadline_s: float,
    ) -> sessions.Reply:
        """Run a statement of the transaction.

        Parameters
        ----------
        run : callable
            Sends the statement; see `reads.Run`.
        is_write : bool
        values : dict of bytes to bytes
            Session values to set on the connection before the transaction begins.
        deadline_s : float
            On trio's clock.

        Raises
        ------
        steps.FailedError
            ``ABORTED`` or another failure after which the transaction has no effect.
        """
        self._check_not_ended()
        await self._update_access()
        if self._acquired is None:
            await self._bind(values, deadline_s)
        self._has_written = self._has_written or is_write
        reply = await self._run_bound(run, deadline_s)
        if reply is None:
            await self.discard()
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                "connection lost or no answer in time; transaction rolled back",
            )
        return reply

    async def commit(
        self, run: reads.Run, values: dict[bytes, bytes], deadline_s: float
    ) -> sessions.Reply:
        """Commit and release the connection; see `run` for the parameters.

        Raises
        ------
        steps.FailedError
            ``IN_DOUBT`` if the commit may have run, ``ABORTED`` or another failure if
            it was not sent.
        """
        self._check_not_ended()
        await self._update_access()
        if self._acquired is None:
            await self._bind(values, deadline_s)
        permit = self._permit
        if self._has_written and not self._is_permit_valid():
            # The commit has not been sent, so the transaction has no effect.
            await self.discard()
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                "the primary was replaced, or this host lost its lease, before the"
                " commit",
            )
        sent_s = clocks.get_now_s()
        before_lsn = 0
        if permit is not None:
            before_lsn = self._components.local_observations.get_primary_lsn(permit)
        reply = await self._run_bound(run, deadline_s)
        if reply is None:
            await self.discard()
            raise writes.build_in_doubt("no answer to the commit; it may have run")
        await self._release()
        if reply.failure is None and permit is not None:
            self._components.local_observations.record_primary_reply(
                permit, sent_s, reply
            )
            if self._has_written:
                writes.confirm_commit(self._components, permit, reply, before_lsn)
        return reply

    async def roll_back(self) -> None:
        """Roll back and release the connection, or close it if the rollback fails.

        It is closed at once if no further statement may be sent on it.
        """
        acquired = self._acquired
        if acquired is None:
            return
        if self._find_end_reason(clocks.get_now_s()) is not None:
            await self.discard()
            return
        is_clean = False
        self._is_busy = True
        with trio.move_on_after(ROLL_BACK_TIMEOUT_S):
            try:
                reply = await acquired.connection.roll_back()
                is_clean = reply.failure is None and not reply.is_in_transaction
            except sessions.ConnectionLostError:
                self._components.local_observations.record_no_answer(
                    acquired.server.instance
                )
        if not is_clean:
            await self.discard()
        else:
            await self._release()

    async def discard(self) -> None:
        """Close the connection, which rolls back the transaction."""
        acquired, self._acquired = self._acquired, None
        if acquired is not None:
            self._components.open_transactions.remove(self)
            await acquired.discard(is_observed=False)

    async def end_if_due(self, now_s: float) -> None:
        """Roll back the transaction if an evacuation ends it and no statement runs."""
        if self._acquired is None or self._is_busy:
            return
        reason = context.find_evacuation_end(
            self._components, self._acquired.server, now_s
        )
        if reason is not None:
            await self._end(reason)

    def _find_end_reason(self, now_s: float) -> str | None:
        """Return why no further statement may be sent, None if one may."""
        components, acquired = self._components, self._acquired
        return context.find_evacuation_end(
            components, acquired.server, now_s
        ) or context.find_missing_lease(components, acquired)

    def _check_not_ended(self) -> None:
        if self._end_reason is not None:
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                f"{self._end_reason}; transaction rolled back",
            )

    async def _check_may_continue(self) -> None:
        """Roll back and raise ``ABORTED`` if no further statement may be sent."""
        reason = self._find_end_reason(clocks.get_now_s())
        if reason is not None:
            await self._end(reason)
            self._check_not_ended()

    async def _end(self, reason: str) -> None:
        """Close the connection, which sends no statement to the instance."""
        self._end_reason = reason
        server = self._acquired.server
        if context.find_evacuation_end(self._components, server, clocks.get_now_s()):
            context.log_evacuation_end(self._components, server, "caller's host")
        await self.discard()

    async def _update_access(self) -> None:
        """Apply the allowed regions of the configuration now in force.

        Raises
        ------
        steps.FailedError
            ``ABORTED`` if the instance of the transaction is outside them.
        """
        components = self._components
        self.access = accesses.update_regions(
            self.access, components.databases.document
        )
        if self._acquired is None:
            return
        server = self._acquired.server
        restrictions = context.build_restrictions(components, self.access)
        if eligibility.is_outside_regions(server, restrictions):
            await self.discard()
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                f"{server.instance} is outside the allowed regions since a change of"
                " the configuration; transaction rolled back",
            )

    def _is_permit_valid(self) -> bool:
        now_s = clocks.get_now_s()
        return self._components.groups.is_permit_valid(self._permit, now_s)

    async def _release(self) -> None:
        acquired, self._acquired = self._acquired, None
        self._components.open_transactions.remove(self)
        await acquired.release(is_observed=False)

    async def _bind(self, values: dict[bytes, bytes], deadline_s: float) -> None:
        """Acquire a connection and begin the transaction on it."""

        async def begin(
            acquired: connections.AcquiredConnection, floor: positions.Position | None
        ) -> sessions.Reply:
            with connections.measure_exchange(acquired):
                failed = await acquired.connection.set_session_values(values)
                if failed is not None:
                    return failed
                return await acquired.connection.begin(self._is_read_only, floor)

        access = self.access
        if not self._is_read_only:
            database = access.database._replace(freshness=documents.Freshness.PRIMARY)
            access = access._replace(database=database)
        result = await self._reader.run(
            access, self._session_floor, deadline_s, begin, keeps_connection=True
        )
        reply = result.reply
        if reply.failure is not None:
            raise steps.FailedError(sessions.Failure.ABORTED, reply.detail)
        self._acquired = result.acquired
        self._permit = result.permit
        self._components.open_transactions.add(self)

    async def _run_bound(
        self, run: reads.Run, deadline_s: float
    ) -> sessions.Reply | None:
        """Run a statement on the bound connection.

        Retries with backoff while the instance has no free slot and the transaction is
        still open. Returns None if the connection is lost or no answer arrives in time.

        Raises
        ------
        steps.FailedError
            ``ABORTED`` if an evacuation or the end of the lease forbids to send the
            statement. The transaction is rolled back.
        """
        self._is_busy = True
        try:
            return await self._run_while_allowed(run, deadline_s)
        finally:
            self._is_busy = False

    async def _run_while_allowed(
        self, run: reads.Run, deadline_s: float
    ) -> sessions.Reply | None:
        acquired = self._acquired
        local_observations = self._components.local_observations
        backoff = context.build_backoff(self._components)
        with trio.move_on_at(deadline_s):
            while True:
                await self._check_may_continue()
                try:
                    reply = await run(acquired, None)
                except sessions.ConnectionLostError:
                    local_observations.record_no_answer(acquired.server.instance)
                    return None
                local_observations.record_reply(acquired.server.instance, reply)
                is_refused = reply.failure is sessions.Failure.OVERLOADED
                is_open = reply.is_in_transaction and not reply.is_transaction_failed
                pause_s = backoff.next_delay_s()
                is_late = trio.current_time() + pause_s >= deadline_s
                if not (is_refused and is_open) or is_late:
                    return reply
                await stages.sleep(pause_s)
        local_observations.record_no_answer(acquired.server.instance)
        return None
