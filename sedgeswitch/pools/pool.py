"""A pool of the connections of this host to one instance."""

import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.scheduling import scheduler
from sedgeswitch.scheduling import work as works

RESET_SQL = "DISCARD ALL"
RESET_TIMEOUT_S = 2.0
RETRY_AFTER_MS = 500
# Time after the last release of a usable connection for which the queue of the pool
# counts as moving, in seconds.
PROGRESS_TIMEOUT_S = 0.25
INSTANCE_UNREACHABLE = "instance_unreachable"
# Codes of drivers with which an instance refuses a connection beyond its limit.
_FULL_CODES = ("53300", "TOO_MANY_CONNECTIONS")
# Delays before another connection is opened after one was refused, in seconds. The
# delay doubles from the first to the last value, because opening a connection costs
# an instance as much as a statement.
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.4
# Weight of the newest sample in the moving average of connect times.
NEW_SAMPLE_WEIGHT = 0.2


class PoolSettings(typing.NamedTuple):
    """Timeouts of the connections of a pool.

    Attributes
    ----------
    connect_timeout_s : float
        Longest time for opening a connection, in seconds.
    idle_timeout_s : float
        Time after which an unused connection is closed, in seconds.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 300.0


class PooledConnection:
    """A connection of a pool, with its last user and state.

    Attributes
    ----------
    connection : base.Connection
    organisation : str
        Organisation that uses the connection, or used it last.
    position : positions.Position or None
        Last log position that was read on this connection. It stays a lower bound
        while the connection is open, because an instance can go back in its log only
        by a restart, which closes its connections.
    is_dirty : bool
        Whether the connection may have session state, so that it must be reset.
    ticket : fair_queue.Ticket or scheduler.Ticket or None
        Slot of the request that uses the connection.
    opened_s, last_used_s : float
        Times of trio's clock at which the connection was opened, and at which it was
        opened or last released.
    """

    def __init__(self, connection: base.Connection, now_s: float):
        self.connection = connection
        self.organisation = ""
        self.position: positions.Position | None = None
        self.is_dirty = False
        self.ticket: fair_queue.Ticket | scheduler.Ticket | None = None
        self.opened_s = now_s
        self.last_used_s = now_s

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return self.connection.is_usable

    async def execute(
        self, sql: str, parameters: typing.Sequence[str | None] = ()
    ) -> base.Rows:
        """Run one statement; see `base.Connection.execute`."""
        return await self.connection.execute(sql, parameters)

    async def close(self) -> None:
        """Close the connection."""
        await self.connection.close()


class PoolLoad(typing.NamedTuple):
    """The load of a pool.

    Attributes
    ----------
    capacity : int
        Connections that the pool may open.
    in_use : int
        Connections that requests use.
    waiting : int
        Requests that wait for a connection.
    idle : int
        Open connections that no request uses.
    service_s : float
        Moving average of the time for which a request uses a connection, in seconds.
    connect_s : float
        Moving average of the time to open a connection, in seconds.
    """

    capacity: int
    in_use: int
    waiting: int
    idle: int
    service_s: float
    connect_s: float


class InstancePool:
    """Opens, reuses and closes the connections of this host to one instance.

    Parameters
    ----------
    driver : base.Driver
        If its attribute `is_bound_to_user` is true, a connection is opened for one
        organisation and never used for another; otherwise it is reset between
        organisations.
    target : base.Target
    slots : fair_queue.FairQueue or scheduler.Scheduler
        Queue for connections; it has one slot for each connection of the capacity. A
        scheduler also limits the statements that run at the same time.
    capacity : int
        Most connections that may be open.
    settings : PoolSettings
    """

    def __init__(
        self,
        driver: base.Driver,
        target: base.Target,
        slots: fair_queue.FairQueue | scheduler.Scheduler,
        capacity: int,
        settings: PoolSettings,
    ):
        self._driver = driver
        self._is_bound_to_user = getattr(driver, "is_bound_to_user", False)
        self._target = target
        self._slots = slots
        # The queue, if it is a scheduler; only a scheduler takes a description of work.
        self.scheduler = slots if isinstance(slots, scheduler.Scheduler) else None
        self._settings = settings
        self._idle: list[PooledConnection] = []
        self._connect_s = 0.01
        self._capacity = capacity
        self._slots.set_slots(capacity, trio.current_time())
        self._open = 0
        self._last_progress_s = float("-inf")
        self._reconnect_delay_s = RECONNECT_MIN_S
        self._next_connect_s = float("-inf")
        self._connect_error = ""
        # Whether the instance refused the last connection because it has too many.
        self._is_instance_full = False
        # While the instance is full, the queue has a slot for each connection that is
        # open, until this time.
        self._limited_until_s = float("-inf")
        self._idle_limit: int | None = None

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    def set_capacity(self, capacity: int) -> None:
        """Set the most connections that may be open.

        Surplus connections are closed later: idle ones by `close_surplus`, used ones
        when they are released.
        """
        self._capacity = capacity
        self._set_slots(trio.current_time())

    def set_idle_limit(self, limit: int | None) -> None:
        """Set the most idle connections that are kept; None for no further limit.

        If all hosts lose power, an instance counts their connections for some time.
        What idle connections leave free is what the restarted hosts can use then.
        """
        self._idle_limit = limit

    def _set_slots(self, now_s: float) -> None:
        """Set the slots of the queue to the connections that it may use."""
        slots = self._capacity
        if now_s < self._limited_until_s:
            slots = min(slots, max(self._open, 1))
        self._slots.set_slots(slots, now_s)

    def _limit_slots(self, until_s: float) -> None:
        """Let the queue use the open connections only until `until_s`."""
        self._limited_until_s = max(self._limited_until_s, until_s)
        self._set_slots(trio.current_time())

    def _end_limit(self, now_s: float) -> None:
        """Let the queue use the whole capacity again after the instance was full."""
        if self._limited_until_s <= now_s and self._limited_until_s > float("-inf"):
            self._limited_until_s = float("-inf")
            self._set_slots(now_s)

    def set_instance_slots(self, slots: int, holders: int) -> None:
        """Set how many statements the instance runs, and how many hosts share it.

        It has no effect on a pool without a scheduler.
        """
        if self.scheduler is not None:
            self.scheduler.set_instance_slots(slots, holders, trio.current_time())

    async def close_surplus(self) -> None:
        """Close idle connections beyond the capacity and the limit of idle ones."""
        while self._idle and (self._open > self._capacity or self._has_surplus_idle()):
            await self._close(self._idle.pop(0))

    def _has_surplus_idle(self) -> bool:
        return self._idle_limit is not None and len(self._idle) > self._idle_limit

    def has_moving_queue(self, now_s: float) -> bool:
        """Return whether requests are waiting and one has completed recently."""
        is_progressing = now_s - self._last_progress_s < PROGRESS_TIMEOUT_S
        return is_progressing and self._slots.waiting > 0

    @property
    def load(self) -> PoolLoad:
        """Load of the pool now."""
        return self.get_load()

    def get_load(self, organisation: str | None = None) -> PoolLoad:
        """Return the load of the pool.

        If an organisation is given, only connections that it used last count as idle.
        """
        idle = len(self._idle)
        if organisation is not None:
            idle = sum(item.organisation == organisation for item in self._idle)
        return PoolLoad(
            self._capacity,
            self._slots.running,
            self._slots.waiting,
            idle,
            self._slots.service_s,
            self._connect_s,
        )

    async def acquire(
        self, organisation: str, deadline_s: float, work: works.Work | None = None
    ) -> PooledConnection:
        """Return a connection for an organisation, without state of earlier users.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Time of trio's clock at which the wait ends.
        work : work.Work, optional
            Description of the work, for a scheduler.

        Raises
        ------
        verdicts.RefusedError
            Not run, if no connection was available in time.
        """
        pooled = None
        while pooled is None:
            now_s = trio.current_time()
            self._end_limit(now_s)
            if self.scheduler is None:
                ticket = await self._slots.acquire(organisation, deadline_s, now_s)
            else:
                ticket = await self.scheduler.acquire(
                    organisation, deadline_s, now_s, work
                )
            try:
                pooled = await self._prepare(organisation, deadline_s)
            finally:
                if pooled is None:
                    self._slots.release(ticket, trio.current_time(), is_observed=False)
        pooled.organisation = organisation
        pooled.ticket = ticket
        if self.scheduler is not None and pooled.last_used_s > ticket.started_s:
            # The connection was opened for this request.
            self.scheduler.mark_ready(ticket, pooled.last_used_s)
        return pooled

    async def acquire_idle(self) -> PooledConnection | None:
        """Return an idle connection of any organisation, None if there is none.

        It is for queries of the proxy itself, which neither wait for a connection nor
        open one.
        """
        if not self._idle or self._slots.running >= self._capacity:
            return None
        organisation = self._idle[0].organisation
        now_s = trio.current_time()
        ticket = await self._slots.acquire(organisation, now_s + 1.0, now_s)
        usable = [item for item in self._idle if item.is_usable]
        if not usable:
            self._slots.release(ticket, trio.current_time(), is_observed=False)
            return None
        pooled = usable[0]
        self._idle.remove(pooled)
        pooled.ticket = ticket
        return pooled

    async def release(
        self, pooled: PooledConnection, now_s: float, is_observed: bool = True
    ) -> None:
        """Return a connection to the pool; close it if it is not usable or surplus.

        Parameters
        ----------
        pooled : PooledConnection
        now_s : float
        is_observed : bool, optional
            See `fair_queue.FairQueue.release`.
        """
        pooled.last_used_s = now_s
        if pooled.is_usable:
            self._last_progress_s = now_s
        try:
            if pooled.is_usable and self._open <= self._capacity:
                self._idle.append(pooled)
                if self._has_surplus_idle():
                    await self._close(self._idle.pop(0))
            else:
                await self._close(pooled)
        finally:
            self._end_limit(now_s)
            self._slots.release(pooled.ticket, trio.current_time(), is_observed)

    async def close_idle(self, now_s: float, idle_s: float | None = None) -> None:
        """Close the connections that have been idle for longer than a timeout.

        Parameters
        ----------
        now_s : float
        idle_s : float, optional
            Idle timeout in seconds; by default that of the settings.
        """
        expired_before_s = now_s - (idle_s or self._settings.idle_timeout_s)
        expired = [
            pooled for pooled in self._idle if pooled.last_used_s < expired_before_s
        ]
        self._idle = [
            pooled for pooled in self._idle if pooled.last_used_s >= expired_before_s
        ]
        for pooled in expired:
            await self._close(pooled)

    async def close_lost(self) -> list[PooledConnection]:
        """Close the idle connections that the instance has closed, and return them.

        Only connections with an attribute `is_closed_by_peer` can be recognised.
        """
        lost = [
            pooled
            for pooled in self._idle
            if getattr(pooled.connection, "is_closed_by_peer", False)
        ]
        self._idle = [pooled for pooled in self._idle if pooled not in lost]
        for pooled in lost:
            await self._close(pooled)
        return lost

    async def close(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for pooled in idle:
            await self._close(pooled)

    async def _prepare(
        self, organisation: str, deadline_s: float
    ) -> PooledConnection | None:
        """Return a connection without state, None if the capacity was reduced."""
        if self._is_bound_to_user:
            return await self._prepare_bound(organisation, deadline_s)
        while self._idle:
            pooled = self._pop_idle(organisation)
            if not pooled.is_usable:
                await self._close(pooled)
                continue
            is_other_organisation = pooled.organisation != organisation
            if not (is_other_organisation or pooled.is_dirty) or await self._reset(
                pooled
            ):
                return pooled
        if self._open >= self._capacity:
            return None
        return await self._connect(organisation, deadline_s)

    async def _prepare_bound(
        self, organisation: str, deadline_s: float
    ) -> PooledConnection | None:
        """Return a connection of the organisation, None to wait for one in the queue.

        That is, if the capacity was reduced or the instance is full. A connection of
        another organisation may be closed to open it.
        """
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].organisation == organisation:
                pooled = self._idle.pop(index)
                if pooled.is_usable:
                    return pooled
                await self._close(pooled)
        if self._open >= self._capacity and self._idle:
            # The least recently released connection is first in the list.
            await self._close(self._idle.pop(0))
        if self._open >= self._capacity:
            return None
        try:
            return await self._connect(organisation, deadline_s)
        except verdicts.RefusedError:
            if not self._is_instance_full or not self._open:
                raise
        if self._idle:
            return await self._replace_idle(organisation, deadline_s)
        # All connections of this pool are in use; the request waits for one.
        self._limit_slots(self._next_connect_s)
        return None

    async def _replace_idle(
        self, organisation: str, deadline_s: float
    ) -> PooledConnection | None:
        """Open a connection in place of an idle one of another organisation.

        Other hosts have more connections than their share, and may use the room before
        this one; None to wait in the queue then.
        """
        await self._close(self._idle.pop(0))
        try:
            return await self._connect(organisation, deadline_s, is_replacement=True)
        except verdicts.RefusedError:
            if not self._is_instance_full or not self._open:
                raise
        self._limit_slots(self._next_connect_s)
        return None

    def _pop_idle(self, organisation: str) -> PooledConnection:
        # A connection that the same organisation used last needs no reset.
        for index in range(len(self._idle) - 1, -1, -1):
            pooled = self._idle[index]
            if pooled.organisation == organisation and not pooled.is_dirty:
                return self._idle.pop(index)
        return self._idle.pop()

    async def _reset(self, pooled: PooledConnection) -> bool:
        is_reset = False
        try:
            with trio.move_on_after(RESET_TIMEOUT_S):
                await pooled.execute(RESET_SQL)
                is_reset = True
        except base.DriverError as error:
            loguru.logger.debug("resetting a pooled connection failed: {}", error)
        finally:
            if not is_reset:
                await self._close(pooled)
        pooled.is_dirty = False
        return is_reset

    async def _close(self, pooled: PooledConnection) -> None:
        self._open -= 1
        with trio.CancelScope(shield=True):
            await pooled.close()

    async def _connect(
        self, organisation: str, deadline_s: float, is_replacement: bool = False
    ) -> PooledConnection:
        target = self._target
        if self._is_bound_to_user:
            target = target._replace(user=organisation)
        started_s = trio.current_time()
        if not is_replacement:
            self._check_reconnect_delay(started_s)
        timeout_s = min(self._settings.connect_timeout_s, deadline_s - started_s)
        connection = None
        self._open += 1
        try:
            connection = await self._driver.connect(target, max(timeout_s, 0.0))
        except base.DriverError as error:
            self._record_connect_error(error)
            raise self._build_unreachable(RETRY_AFTER_MS) from error
        finally:
            if connection is None:
                self._open -= 1
        now_s = trio.current_time()
        self._connect_error = ""
        self._is_instance_full = False
        self._reconnect_delay_s = RECONNECT_MIN_S
        self._connect_s += NEW_SAMPLE_WEIGHT * (now_s - started_s - self._connect_s)
        return PooledConnection(connection, now_s)

    def _check_reconnect_delay(self, now_s: float) -> None:
        """Let one request per delay open a connection after one was refused.

        Raises
        ------
        verdicts.RefusedError
            Not run, if the delay before the next connection has not passed.
        """
        if not self._connect_error:
            return
        if now_s < self._next_connect_s:
            remaining_ms = max(1, round((self._next_connect_s - now_s) * 1000))
            raise self._build_unreachable(remaining_ms)
        self._next_connect_s = now_s + self._reconnect_delay_s

    def _record_connect_error(self, error: base.DriverError) -> None:
        self._connect_error = str(error)
        self._is_instance_full = error.sqlstate in _FULL_CODES
        now_s = trio.current_time()
        self._next_connect_s = now_s + self._reconnect_delay_s
        if self._is_instance_full and self._is_bound_to_user:
            self._limit_slots(self._next_connect_s)
        self._reconnect_delay_s = min(2 * self._reconnect_delay_s, RECONNECT_MAX_S)

    def _build_unreachable(self, retry_after_ms: int) -> verdicts.RefusedError:
        address = f"{self._target.host}:{self._target.port}"
        return verdicts.build_not_run(
            503,
            INSTANCE_UNREACHABLE,
            f"no connection to {address}: {self._connect_error}",
            retry_after_ms,
        )
