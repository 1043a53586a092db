"""Limits the statements of this host to instances that are slow after their start.

The decisions are in `admission.cold_start`. All times are on trio's clock.
"""

import collections.abc
import math
import typing

import loguru
import trio

from sedgeswitch.admission import cold_start
from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.observability import exposition
from sedgeswitch.pools import pool
from sedgeswitch.relay import connections
from sedgeswitch.relay import steps
from sedgeswitch.scheduling import work as works
from sedgeswitch.statements import backends

# Time for which a token stays valid while its statement waits for a connection, in
# seconds; several times the time that opening one takes (12 ms). It bounds how many
# statements can be sent together after such a wait.
TOKEN_VALID_S = 0.1
# Part of the remaining time that a waiting statement keeps for running, as a share and
# in seconds at least. A statement sent just before its deadline would be in doubt.
RUN_SHARE = 0.1
MIN_RUN_S = 0.02
# Longest wait of a statement without a deadline, in seconds; that of a forwarded call.
MAX_WAIT_S = 30.0
# Interval at which a waiting statement checks whether the instance is still cold, in
# seconds.
POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000
# Reply to a rollback by closing the connection.
_ROLLED_BACK = sessions.Reply((), b"", None, "", False, False, None)

_Result = typing.TypeVar("_Result")


# Shortest time left in which a write is tried again, in seconds. A forwarded attempt
# takes a round trip between regions and the margins of both hosts; one that ends after
# the deadline would be in doubt.
MIN_RETRY_LEFT_S = 0.3


class ColdInstanceError(steps.FailedError):
    """Raised when a cold instance has no token for a statement, which has not run."""


class _State:
    """What this host knows of one announced instance.

    Attributes
    ----------
    server : directory.BackendServer
        As last announced.
    evidence : cold_start.Evidence
    bucket : cold_start.Bucket
    queue : trio.StrictFIFOLock
        Held by the statement that waits for the next token.
    is_cold : bool
        Whether it was cold when this was last logged.
    """

    def __init__(self, server: directory.BackendServer):
        self.server = server
        self.evidence = cold_start.Evidence()
        self.bucket = cold_start.Bucket()
        self.queue = trio.StrictFIFOLock()
        self.is_cold = False


class ColdInstances:
    """The instances that are cold for this host, and its tokens for them.

    Parameters
    ----------
    servers : directory.EntryDirectory
    groups : table.GroupTable
    get_groups : callable
        Returns the groups of the configuration document in force, by name.
    get_holding : callable
        ``get_holding(instance)`` returns this host's part of the connections to an
        instance.
    """

    def __init__(
        self,
        servers: directory.EntryDirectory,
        groups: table.GroupTable,
        get_groups: collections.abc.Callable[
            [], collections.abc.Mapping[str, documents.Group]
        ],
        get_holding: backends.GetHolding,
    ):
        self._servers = servers
        self._groups = groups
        self._get_groups = get_groups
        self._get_holding = get_holding
        self._states: dict[str, _State] = {}
        self._is_leaving = False
        servers.register_listener(self._update)
        self._update()

    def leave(self) -> None:
        """Refuse all statements to cold instances, except those of transactions."""
        self._is_leaving = True

    def has_limit(self, group: str) -> bool:
        """Return whether a group limits the rate of statements to cold instances."""
        return self._get_rate_per_s(group) > 0.0

    def is_cold(self, instance: str, now_s: float) -> bool:
        """Return whether the statements to an instance are limited now."""
        state = self._states.get(instance)
        if state is None or not self.has_limit(state.server.group):
            return False
        cold_start_s = self._get_groups()[state.server.group].cold_start_s
        is_suspected = cold_start.is_restart_suspected(
            state.evidence, cold_start_s, now_s
        )
        is_cold = state.server.is_cold or is_suspected
        if is_cold != state.is_cold:
            state.is_cold = is_cold
            self._log_change(state)
        return is_cold

    def is_primary(self, server: directory.BackendServer) -> bool:
        """Return whether an instance is the primary of its group."""
        group = self._groups.get_group(server.group)
        return group is not None and group.primary == server.instance

    def count(self, now_s: float) -> int:
        """Return how many instances are cold."""
        return sum(self.is_cold(instance, now_s) for instance in self._states)

    async def take(
        self, instance: str, deadline_s: float, is_waiting: bool, is_bound: bool = False
    ) -> None:
        """Take a token for one statement to an instance, if it is cold.

        Parameters
        ----------
        instance : str
        deadline_s : float
            Deadline of the statement.
        is_waiting : bool
            Whether the statement waits for a token, in the order of arrival, rather
            than being refused at once.
        is_bound : bool
            Whether the statement is in an open transaction.

        Raises
        ------
        ColdInstanceError
            If there is no token in time, or this host is not a holder of the instance.
            ``ABORTED`` in an open transaction, otherwise ``OVERLOADED``, retryable.
        """
        state = self._states.get(instance)
        started_s = trio.current_time()
        if state is None or not self.is_cold(instance, started_s):
            return
        if is_waiting:
            until_s = started_s + _get_wait_limit_s(deadline_s - started_s)
            is_taken = await self._wait_for_token(state, until_s, is_bound)
        else:
            is_taken = not state.queue.locked() and self._try_take(state, is_bound)
        waited_s = trio.current_time() - started_s
        exposition.COLD_STATEMENTS.labels("sent" if is_taken else "refused").inc()
        exposition.COLD_WAIT_SECONDS.observe(waited_s)
        if not is_taken:
            raise self._build_refusal(state, is_bound)

    def record_loss(self, instance: str, last_used_s: float) -> None:
        """Record that a connection was lost; see `cold_start.record_loss`."""
        state = self._states.get(instance)
        if state is not None:
            now_s = trio.current_time()
            state.evidence = cold_start.record_loss(state.evidence, last_used_s, now_s)
            self.is_cold(instance, now_s)

    def record_reply(self, instance: str, opened_s: float, sent_s: float) -> None:
        """Record a reply on a connection; see `cold_start.record_reply`."""
        state = self._states.get(instance)
        if state is not None:
            state.evidence = cold_start.record_reply(state.evidence, opened_s, sent_s)

    def _update(self) -> None:
        """Apply the announcements that the directory now holds."""
        now_s = trio.current_time()
        for instance in self._states.keys() - self._servers.servers.keys():
            del self._states[instance]
        for instance, server in self._servers.servers.items():
            state = self._states.get(instance)
            if state is None:
                state = self._states[instance] = _State(server)
            elif state.server == server:
                continue
            state.server = server
            state.evidence = cold_start.record_announcement(
                state.evidence, server.is_cold, now_s
            )
            self.is_cold(instance, now_s)

    async def _wait_for_token(
        self, state: _State, until_s: float, is_bound: bool
    ) -> bool:
        """Return whether a token was taken, or none is needed any more, in time."""
        with trio.move_on_at(until_s):
            async with state.queue:
                while self._get_share_per_s(state, is_bound) > 0.0:
                    if self._try_take(state, is_bound):
                        return True
                    wait_s = cold_start.get_wait_s(
                        state.bucket,
                        self._get_share_per_s(state, is_bound),
                        trio.current_time(),
                    )
                    await trio.sleep(min(wait_s, POLL_INTERVAL_S))
        return False

    def _try_take(self, state: _State, is_bound: bool) -> bool:
        """Take a token now; return whether there was one, or none is needed."""
        now_s = trio.current_time()
        if not self.is_cold(state.server.instance, now_s):
            return True
        share_per_s = self._get_share_per_s(state, is_bound)
        bucket = cold_start.take(state.bucket, share_per_s, now_s)
        if bucket is None:
            return False
        state.bucket = bucket
        return True

    def _get_rate_per_s(self, group: str) -> float:
        configured = self._get_groups().get(group)
        return 0.0 if configured is None else configured.cold_rate_per_s

    def _get_share_per_s(self, state: _State, is_bound: bool) -> float:
        """Return this host's share of the rate; 0 for hosts that are not holders."""
        holding = self._get_holding(state.server.instance)
        if holding.is_substitute or (self._is_leaving and not is_bound):
            return 0.0
        return cold_start.get_share_per_s(
            self._get_rate_per_s(state.server.group), holding.divisor
        )

    def _build_refusal(self, state: _State, is_bound: bool) -> ColdInstanceError:
        instance = state.server.instance
        share_per_s = self._get_share_per_s(state, is_bound)
        if share_per_s <= 0.0:
            detail = (
                f"{instance} is cold after its start, and this host no holder of it"
            )
        else:
            wait_s = cold_start.get_wait_s(
                state.bucket, share_per_s, trio.current_time()
            )
            wait_s = documents.clip_time_s(wait_s)
            detail = (
                f"{instance} is cold after its start and had no token in time;"
                f" retry after {max(math.ceil(wait_s * _MS_PER_S), 1)} ms"
            )
        if is_bound:
            return ColdInstanceError(
                sessions.Failure.ABORTED, f"{detail}; transaction rolled back"
            )
        return ColdInstanceError(sessions.Failure.OVERLOADED, detail, is_retryable=True)

    def _log_change(self, state: _State) -> None:
        """Log a change at an instance that this host holds connections to."""
        if self._get_holding(state.server.instance).divisor == 0:
            return
        if not state.is_cold:
            loguru.logger.info("instance is warm", instance=state.server.instance)
            return
        loguru.logger.info(
            "instance is cold",
            instance=state.server.instance,
            reason="announced" if state.server.is_cold else "connections lost",
            share_per_s=self._get_share_per_s(state, is_bound=True),
        )


def _get_wait_limit_s(left_s: float) -> float:
    """Return for how long a statement may wait of the time that it has left."""
    limited_s = min(left_s, MAX_WAIT_S)
    return limited_s - max(RUN_SHARE * limited_s, MIN_RUN_S)


class LimitedConnector:
    """Acquires pooled connections, at cold instances with a token; a `Connector`.

    A statement for a primary waits for a token until shortly before its deadline, since
    no other instance can run it. Statements for replicas are refused instead.

    Parameters
    ----------
    local : connections.PoolConnector
    cold : ColdInstances
    """

    def __init__(self, local: connections.PoolConnector, cold: ColdInstances):
        self._local = local
        self._cold = cold

    async def acquire(
        self,
        server: directory.BackendServer,
        organisation: str,
        deadline_s: float,
        allowed_regions: frozenset[str] | None = None,  # noqa: ARG002
        work: works.Work | None = None,
    ) -> connections.AcquiredConnection:
        """Acquire a pooled connection; see `Connector.acquire`.

        Raises
        ------
        steps.FailedError
            As there, and `ColdInstanceError` if there is no token.
        """
        if not self._cold.has_limit(server.group):
            return await self._local.acquire(
                server, organisation, deadline_s, work=work
            )
        started_s = trio.current_time()
        token_s = -math.inf
        if self._cold.is_cold(server.instance, started_s):
            # Before the connection, so that none is opened without a token.
            is_waiting = self._cold.is_primary(server)
            await self._cold.take(server.instance, deadline_s, is_waiting)
            token_s = trio.current_time()
            # A restart has closed the idle connections; each would waste a token.
            await self._close_lost(server)
        acquired = await self._local.acquire(
            server, organisation, deadline_s, work=work
        )
        is_done = False
        try:
            # A new connection works after a restart, so that only the idle ones of
            # other organisations show that there was one.
            if acquired.opened_s >= started_s:
                await self._close_lost(server)
            is_done = True
        finally:
            if not is_done:
                await acquired.release()
        return LimitedConnection(acquired, self._cold, token_s)

    def get_load(
        self,
        server: directory.BackendServer,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,  # noqa: ARG002
    ) -> pool.PoolLoad:
        """Return the load of this host's pool; see `Connector.get_load`."""
        return self._local.get_load(server, organisation)

    async def _close_lost(self, server: directory.BackendServer) -> None:
        for last_used_s in await self._local.close_lost(server):
            self._cold.record_loss(server.instance, last_used_s)


class LimitedConnection:
    """A connection whose statements take a token while its instance is cold.

    Implements `AcquiredConnection` and `SessionConnection`.

    Parameters
    ----------
    acquired : connections.PooledAcquiredConnection
    cold : ColdInstances
    token_s : float
        When a token was taken for the first statement; minus infinity for none.
    """

    is_forwarded = False

    def __init__(
        self,
        acquired: connections.PooledAcquiredConnection,
        cold: ColdInstances,
        token_s: float,
    ):
        self.server = acquired.server
        self.connection = self
        self._acquired = acquired
        self._cold = cold
        self._token_s = token_s
        # When the connection was opened or last known to work.
        self._last_used_s = acquired.last_used_s

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return self._acquired.connection.is_usable

    @property
    def position(self) -> positions.Position | None:
        """Last log position that the instance sent on this connection."""
        return self._acquired.connection.position

    async def run(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> sessions.Reply:
        """Run one statement; see `sessions.SessionConnection.run`.

        Raises
        ------
        ColdInstanceError
            If there is no token for it, so that it was not sent.
        """
        await self._take_token()
        return await self._observe(
            self._acquired.connection.run(statement, shape, floor)
        )

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> sessions.Reply:
        """Begin a transaction; see `run` for the errors."""
        await self._take_token()
        return await self._observe(self._acquired.connection.begin(is_read_only, floor))

    async def roll_back(self) -> sessions.Reply:
        """Roll back the open transaction, without waiting for a token.

        Without a token the connection is closed, which rolls back too and is no
        statement.
        """
        try:
            await self._cold.take(self.server.instance, 0.0, False, is_bound=True)
        except ColdInstanceError:
            await self.close()
            return _ROLLED_BACK
        return await self._observe(self._acquired.connection.roll_back())

    async def set_session_values(
        self, values: collections.abc.Mapping[bytes, bytes]
    ) -> sessions.Reply | None:
        """Set the session values; see `sessions.SessionConnection`."""
        return await self._observe(self._acquired.connection.set_session_values(values))

    async def release(self, is_observed: bool = True) -> None:
        """Return the connection to its pool."""
        await self._acquired.release(is_observed)

    async def discard(self, is_observed: bool = True) -> None:
        """Close the connection, which rolls back a transaction open on it."""
        await self._acquired.discard(is_observed)

    async def close(self) -> None:
        """Close the connection."""
        await self._acquired.connection.close()

    async def _take_token(self) -> None:
        instance = self.server.instance
        now_s = trio.current_time()
        if not self._cold.is_cold(instance, now_s):
            return
        token_s, self._token_s = self._token_s, -math.inf
        if now_s - token_s <= TOKEN_VALID_S:
            return
        is_bound = not self.is_usable
        await self._cold.take(
            instance,
            trio.current_effective_deadline(),
            is_bound or self._cold.is_primary(self.server),
            is_bound,
        )

    async def _observe(self, exchange: collections.abc.Awaitable[_Result]) -> _Result:
        """Return the result of an exchange, and record what it shows of restarts."""
        sent_s = trio.current_time()
        try:
            result = await exchange
        except sessions.ConnectionLostError:
            self._cold.record_loss(self.server.instance, self._last_used_s)
            raise
        # Unchanged session values need no exchange, so that None shows nothing.
        if result is not None:
            self._cold.record_reply(
                self.server.instance, self._acquired.opened_s, sent_s
            )
            self._last_used_s = sent_s
        return result
