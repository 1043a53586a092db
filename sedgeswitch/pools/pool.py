"""Scarce connections to one instance."""

import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions

RESET_SQL = "DISCARD ALL"
RESET_TIMEOUT_S = 2.0
RETRY_AFTER_MS = 500
# How long an instance may take for its next answer while others wait.
PROGRESS_TIMEOUT_S = 0.25
INSTANCE_UNREACHABLE = "instance_unreachable"
# Pauses after a connection was refused, in seconds: the first, which doubles up to
# the last. An instance spends as much on a connection as on a statement.
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.4
# Weight of the newest sample in a moving average.
NEW_SAMPLE_WEIGHT = 0.2


class PoolSettings(typing.NamedTuple):
    """How a pool opens and keeps connections.

    Attributes
    ----------
    connect_timeout_s : float
    idle_timeout_s : float
        How long an unused connection is kept, in seconds.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 300.0


class PooledConnection:
    """A connection of a pool and what is known about it.

    Attributes
    ----------
    connection : base.Connection
    organisation : str
        Organisation that uses the connection, or used it last.
    position : positions.Position or None
        Last log position that the instance told on this connection. It stays
        a lower bound while the connection is open, because an instance must
        restart to go back in its log.
    is_dirty : bool
        Whether session state may be left on it.
    """

    def __init__(self, connection: base.Connection, now_s: float):
        self.connection = connection
        self.organisation = ""
        self.position: positions.Position | None = None
        self.is_dirty = False
        self.ticket: fair_queue.Ticket | None = None
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
    """How busy a pool is.

    Attributes
    ----------
    capacity : int
        Connections that the pool may open.
    in_use : int
        Connections that run something.
    waiting : int
        Requests that wait for a connection.
    idle : int
        Open connections that wait for a request.
    service_s : float
        Moving average of how long a request keeps a connection, in seconds.
    connect_s : float
        Moving average of how long opening one takes, in seconds.
    """

    capacity: int
    in_use: int
    waiting: int
    idle: int
    service_s: float
    connect_s: float


class InstancePool:
    """The connections of this host to one instance.

    Parameters
    ----------
    driver : base.Driver
    target : base.Target
    slots : fair_queue.FairQueue
        Grants as many slots as the pool may open connections.
    capacity : int
    settings : PoolSettings
    """

    def __init__(
        self,
        driver: base.Driver,
        target: base.Target,
        slots: fair_queue.FairQueue,
        capacity: int,
        settings: PoolSettings,
    ):
        self._driver = driver
        self._is_bound_to_user = getattr(driver, "is_bound_to_user", False)
        self._target = target
        self._slots = slots
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

    @property
    def open_count(self) -> int:
        """How many connections are open or being opened."""
        return self._open

    def set_capacity(self, capacity: int) -> None:
        """Change how many connections may be open, from now on.

        Idle ones beyond it stay until `close_surplus`, busy ones until they
        are released.
        """
        self._capacity = capacity
        self._slots.set_slots(capacity, trio.current_time())

    async def close_surplus(self) -> None:
        """Close idle connections beyond the capacity."""
        while self._idle and self._open > self._capacity:
            await self._close(self._idle.pop(0))

    def has_moving_queue(self, now_s: float) -> bool:
        """Return whether requests wait for an instance that gets on with them."""
        is_progressing = now_s - self._last_progress_s < PROGRESS_TIMEOUT_S
        return is_progressing and self._slots.waiting > 0

    @property
    def load(self) -> PoolLoad:
        """How busy the pool is now."""
        return self.get_load()

    def get_load(self, organisation: str | None = None) -> PoolLoad:
        """Return how busy the pool is, for one organisation if it is given."""
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

    async def acquire(self, organisation: str, deadline_s: float) -> PooledConnection:
        """Return a connection for one organisation, clean of earlier state.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Time of trio's clock at which waiting ends.

        Raises
        ------
        verdicts.RefusedError
            Not run, if there is none in time.
        """
        pooled = None
        while pooled is None:
            now_s = trio.current_time()
            ticket = await self._slots.acquire(organisation, deadline_s, now_s)
            try:
                pooled = await self._prepare(organisation, deadline_s)
            finally:
                if pooled is None:
                    self._slots.release(ticket, trio.current_time(), is_observed=False)
        pooled.organisation = organisation
        pooled.ticket = ticket
        return pooled

    async def acquire_idle(self) -> PooledConnection | None:
        """Return an idle connection of any organisation, None without one at hand.

        It is for a question of the system's own, so that it waits for nothing.
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
        """Take a connection back; one in doubt is closed instead of kept.

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
            else:
                await self._close(pooled)
        finally:
            self._slots.release(pooled.ticket, trio.current_time(), is_observed)

    async def close_idle(self, now_s: float, idle_s: float | None = None) -> None:
        """Close the connections that have not been used for long.

        Parameters
        ----------
        now_s : float
        idle_s : float, optional
            How long one is kept; else by the settings.
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

    async def close(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for pooled in idle:
            await self._close(pooled)

    async def _prepare(
        self, organisation: str, deadline_s: float
    ) -> PooledConnection | None:
        """Return a clean connection, None if the pool has shrunk meanwhile."""
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
        """Return a connection of the organisation, for which another may close."""
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].organisation == organisation:
                pooled = self._idle.pop(index)
                if pooled.is_usable:
                    return pooled
                await self._close(pooled)
        if self._open >= self._capacity and self._idle:
            # The one that was used least recently.
            await self._close(self._idle.pop(0))
        if self._open >= self._capacity:
            return None
        return await self._connect(organisation, deadline_s)

    def _pop_idle(self, organisation: str) -> PooledConnection:
        # One that the same organisation used last needs no reset.
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
            loguru.logger.debug("reset failed: {}", error)
        finally:
            if not is_reset:
                await self._close(pooled)
        pooled.is_dirty = False
        return is_reset

    async def _close(self, pooled: PooledConnection) -> None:
        self._open -= 1
        with trio.CancelScope(shield=True):
            await pooled.close()

    async def _connect(self, organisation: str, deadline_s: float) -> PooledConnection:
        target = self._target
        if self._is_bound_to_user:
            target = target._replace(user=organisation)
        started_s = trio.current_time()
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
        self._reconnect_delay_s = RECONNECT_MIN_S
        self._connect_s += NEW_SAMPLE_WEIGHT * (now_s - started_s - self._connect_s)
        return PooledConnection(connection, now_s)

    def _check_reconnect_delay(self, now_s: float) -> None:
        """Let one request a pause try again after a refused connection.

        Raises
        ------
        verdicts.RefusedError
            Not run.
        """
        if not self._connect_error:
            return
        if now_s < self._next_connect_s:
            remaining_ms = max(1, round((self._next_connect_s - now_s) * 1000))
            raise self._build_unreachable(remaining_ms)
        self._next_connect_s = now_s + self._reconnect_delay_s

    def _record_connect_error(self, error: base.DriverError) -> None:
        self._connect_error = str(error)
        self._next_connect_s = trio.current_time() + self._reconnect_delay_s
        self._reconnect_delay_s = min(2 * self._reconnect_delay_s, RECONNECT_MAX_S)

    def _build_unreachable(self, retry_after_ms: int) -> verdicts.RefusedError:
        address = f"{self._target.host}:{self._target.port}"
        return verdicts.build_not_run(
            503,
            INSTANCE_UNREACHABLE,
            f"no connection to {address}: {self._connect_error}",
            retry_after_ms,
        )
