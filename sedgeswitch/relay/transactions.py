"""Transactions, each on one connection from its first statement on."""

import trio

from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import context
from sedgeswitch.relay import links
from sedgeswitch.relay import reads
from sedgeswitch.relay import steps
from sedgeswitch.relay import writes
from sedgeswitch.utils import clocks

# Longest time for ending a transaction on a connection that is to be kept.
ROLL_BACK_TIMEOUT_S = 1.0


class Transaction:
    """A transaction of a session; it gets its connection with its first statement.

    Parameters
    ----------
    components : context.Components
    reader : reads.Reader
    access : access.Access
    is_read_only : bool
    session_floor : positions.Position or None
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
        self._link: links.Link | None = None
        self._permit: table.WritePermit | None = None
        self._has_written = False

    @property
    def is_bound(self) -> bool:
        """Whether the transaction has a connection."""
        return self._link is not None

    async def run(
        self,
        run: reads.Run,
        is_write: bool,
        values: dict[bytes, bytes],
        deadline_s: float,
    ) -> sessions.Reply:
        """Run a statement of the transaction.

        Raises
        ------
        steps.FailedError
            ``ABORTED`` or another failure which says that nothing is kept.
        """
        if self._link is None:
            await self._bind(values, deadline_s)
        self._has_written = self._has_written or is_write
        reply = await self._run_bound(run, deadline_s)
        if reply is None:
            await self.discard()
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                "the connection of the transaction was lost; nothing is kept",
            )
        return reply

    async def commit(
        self, run: reads.Run, values: dict[bytes, bytes], deadline_s: float
    ) -> sessions.Reply:
        """Commit and give the connection back.

        Raises
        ------
        steps.FailedError
            ``IN_DOUBT`` if the commit may have run.
        """
        if self._link is None:
            await self._bind(values, deadline_s)
        permit = self._permit
        if self._has_written and not self._is_permit_valid():
            # Not sent, so nothing is kept.
            await self.discard()
            raise steps.FailedError(
                sessions.Failure.ABORTED, "the primary was replaced"
            )
        sent_s = clocks.get_now_s()
        reply = await self._run_bound(run, deadline_s)
        if reply is None:
            await self.discard()
            raise writes.build_doubt("no answer to the commit")
        await self._release()
        if reply.failure is None and permit is not None:
            self._components.local_observations.record_primary_reply(
                permit, sent_s, reply
            )
            if self._has_written:
                writes.confirm(self._components, permit, reply)
        return reply

    async def roll_back(self) -> None:
        """End the transaction without keeping its work."""
        link = self._link
        if link is None:
            return
        is_clean = False
        with trio.move_on_after(ROLL_BACK_TIMEOUT_S):
            try:
                reply = await link.connection.roll_back()
                is_clean = reply.failure is None and not reply.is_in_transaction
            except sessions.ConnectionLostError:
                self._components.local_observations.record_no_answer(
                    link.server.instance
                )
        if not is_clean:
            await self.discard()
        else:
            await self._release()

    async def discard(self) -> None:
        """Close the connection, which undoes the work of the transaction."""
        link, self._link = self._link, None
        if link is not None:
            await link.discard(is_observed=False)

    def _is_permit_valid(self) -> bool:
        now_s = clocks.get_now_s()
        return self._components.groups.is_permit_valid(self._permit, now_s)

    async def _release(self) -> None:
        link, self._link = self._link, None
        await link.release(is_observed=False)

    async def _bind(self, values: dict[bytes, bytes], deadline_s: float) -> None:
        async def begin(
            link: links.Link, floor: positions.Position | None
        ) -> sessions.Reply:
            failed = await link.connection.set_session_values(values)
            if failed is not None:
                return failed
            return await link.connection.begin(self._is_read_only, floor)

        access = self.access
        if not self._is_read_only:
            database = access.database._replace(freshness=documents.Freshness.PRIMARY)
            access = access._replace(database=database)
        placement = await self._reader.run(
            access, self._session_floor, deadline_s, begin, is_link_kept=True
        )
        reply = placement.reply
        if reply.failure is not None:
            raise steps.FailedError(sessions.Failure.ABORTED, reply.detail)
        self._link = placement.link
        self._permit = placement.permit

    async def _run_bound(
        self, run: reads.Run, deadline_s: float
    ) -> sessions.Reply | None:
        """Return the reply, None if the connection is lost or silent."""
        link = self._link
        local_observations = self._components.local_observations
        refused = context.build_pauses(self._components)
        with trio.move_on_at(deadline_s):
            while True:
                try:
                    reply = await run(link, None)
                except sessions.ConnectionLostError:
                    local_observations.record_no_answer(link.server.instance)
                    return None
                local_observations.record_reply(link.server.instance, reply)
                is_refused = reply.failure is sessions.Failure.OVERLOADED
                is_open = reply.is_in_transaction and not reply.is_transaction_failed
                pause_s = refused.next_delay_s()
                is_late = trio.current_time() + pause_s >= deadline_s
                if not (is_refused and is_open) or is_late:
                    return reply
                await trio.sleep(pause_s)
        local_observations.record_no_answer(link.server.instance)
        return None
