"""A session connection whose statements hold a slot of a scheduler while they run."""

import collections.abc

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.relay import steps
from sedgeswitch.scheduling import scheduler

# Time before the deadline of a statement at which it stops waiting for a slot, so that
# its answer says that it was not sent, in seconds.
RESUME_MARGIN_S = 0.02


class ScheduledConnection:
    """Wraps the connection of a pool; implements `SessionConnection`.

    An open transaction keeps its connection between two statements, but no slot.

    Parameters
    ----------
    connection : sessions.SessionConnection
    slots : scheduler.Scheduler
    ticket : scheduler.Ticket
    """

    def __init__(
        self,
        connection: sessions.SessionConnection,
        slots: scheduler.Scheduler,
        ticket: scheduler.Ticket,
    ):
        self._connection = connection
        self._slots = slots
        self._ticket = ticket

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return self._connection.is_usable

    @property
    def position(self) -> positions.Position | None:
        """Last log position that was read on the connection."""
        return self._connection.position

    async def set_session_values(
        self, values: collections.abc.Mapping[bytes, bytes]
    ) -> sessions.Reply | None:
        """Set session values; see `sessions.SessionConnection`."""
        return await self._connection.set_session_values(values)

    async def run(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> sessions.Reply:
        """Run one statement; see `sessions.SessionConnection.run`.

        Raises
        ------
        steps.FailedError
            ``ABORTED`` if a statement of a transaction got no slot in time. It was not
            sent.
        """
        if self._ticket.state is scheduler.State.PAUSED:
            await self._resume()
        reply = await self._connection.run(statement, shape, floor)
        self._record(reply)
        return reply

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> sessions.Reply:
        """Begin a transaction, which then holds no slot until its next statement."""
        reply = await self._connection.begin(is_read_only, floor)
        self._record(reply)
        if reply.failure is None:
            self._slots.pause(self._ticket, trio.current_time())
        return reply

    async def roll_back(self) -> sessions.Reply:
        """Roll back without waiting for a slot, because it frees a connection."""
        return await self._connection.roll_back()

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    async def _resume(self) -> None:
        now_s = trio.current_time()
        deadline_s = trio.current_effective_deadline() - RESUME_MARGIN_S
        if not await self._slots.resume(self._ticket, deadline_s, now_s):
            raise steps.FailedError(
                sessions.Failure.ABORTED,
                "no slot of the instance was free in time; not sent, the transaction is"
                " rolled back",
            )

    def _record(self, reply: sessions.Reply) -> None:
        if reply.failure is sessions.Failure.OVERLOADED:
            self._slots.record_busy(self._ticket)
        if reply.is_in_transaction:
            self._slots.pause(self._ticket, trio.current_time())
