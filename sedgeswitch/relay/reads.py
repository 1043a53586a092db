"""Where single reads and read-only transactions go."""

import collections.abc
import typing

import trio

from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import context
from sedgeswitch.relay import links
from sedgeswitch.relay import steps
from sedgeswitch.utils import clocks

# Part of the time left that an instance may take before a read is tried again,
# elsewhere or over another connection.
TRY_TIME_SHARE = 0.45
# Least time for one try, in seconds; most reads take a tenth of it.
LEAST_TRY_S = 0.15
# Time without a primary after which its return is no longer waited for, in
# seconds; most changes of primary are over by then.
OUTAGE_TIMEOUT_S = 3.0

# ``await run(link, floor)`` on a connection that is held.
Run = collections.abc.Callable[
    [links.Link, positions.Position | None],
    collections.abc.Awaitable[sessions.Reply],
]

# Failures after which the same read may succeed elsewhere.
_MOVABLE = frozenset(
    [
        sessions.Failure.OVERLOADED,
        sessions.Failure.BEHIND,
        sessions.Failure.READ_ONLY,
        sessions.Failure.WRONG_INSTANCE,
        sessions.Failure.TOO_MANY_CONNECTIONS,
        sessions.Failure.FAILED,
        sessions.Failure.TIMED_OUT,
    ]
)


class Placement(typing.NamedTuple):
    """Where a read has run.

    Attributes
    ----------
    link : links.Link
        Released already unless the caller asked to keep it.
    reply : sessions.Reply
    permit : table.WritePermit or None
        None on a replica.
    """

    link: links.Link
    reply: sessions.Reply
    permit: table.WritePermit | None


class _Read(typing.NamedTuple):
    """A read that looks for an instance; see `Reader.run`."""

    access: accesses.Access
    session_floor: positions.Position | None
    deadline_s: float
    run: Run
    is_link_kept: bool


class Reader:
    """Runs reads on replicas that are fresh enough, else on the primary.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components

    async def run(
        self,
        access: accesses.Access,
        session_floor: positions.Position | None,
        deadline_s: float,
        run: Run,
        is_link_kept: bool = False,
    ) -> Placement:
        """Run a read.

        Parameters
        ----------
        access : access.Access
        session_floor : positions.Position or None
            What the session has committed.
        deadline_s : float
            On trio's clock.
        run : callable
        is_link_kept : bool
            Whether a link whose run succeeded is left to the caller.

        Raises
        ------
        steps.FailedError
            If no instance gave a result in time.
        """
        read = _Read(access, session_floor, deadline_s, run, is_link_kept)
        placement = await self._run_on_replicas(read)
        return placement or await self._run_on_primary(read)

    async def _run_on_replicas(self, read: _Read) -> Placement | None:
        """Return where a read has run, None if no replica will do."""
        if read.access.database.freshness is documents.Freshness.PRIMARY:
            return None
        tried: set[str] = set()
        while True:
            floor = self._get_floor(read)
            server = self._choose_replica(read.access, floor, tried)
            if server is None:
                return None
            tried.add(server.instance)
            placement = await self._try_replica(read, server, floor)
            if placement is not None:
                return placement

    def _get_floor(self, read: _Read) -> positions.Position | None:
        """Return what a replica must hold, None if it can't be told."""
        database = read.access.database
        required = self._get_required(database)
        if required is None:
            return None
        if database.freshness is documents.Freshness.SESSION:
            return context.merge_floors(required, read.session_floor)
        return required

    def _get_required(self, database: documents.Database) -> positions.Position | None:
        """Return a position that is recent enough, of this host's or the fleet's."""
        now_s = clocks.get_now_s()
        history = self._components.local_observations.get_history(database.group)
        required = history.get_required(now_s, database.max_staleness_s)
        if required is not None:
            return required
        shared = self._components.observations.get_primary_position(
            database.group, now_s
        )
        if shared is None:
            return None
        position, age_s = shared
        return position if age_s <= database.max_staleness_s else None

    def _get_until_s(self, deadline_s: float) -> float:
        now_s = trio.current_time()
        try_s = max((deadline_s - now_s) * TRY_TIME_SHARE, LEAST_TRY_S)
        return min(now_s + try_s, deadline_s)

    def _choose_replica(
        self,
        access: accesses.Access,
        floor: positions.Position | None,
        tried: set[str],
    ) -> directory.BackendServer | None:
        """Return the best replica that has not been tried, None if none will do."""
        group = self._components.groups.get_group(access.database.group)
        if floor is None or group is None:
            return None
        now_s = clocks.get_now_s()
        local_observations = self._components.local_observations
        eligible = [
            server
            for server in self._components.backends.get_servers(group.group)
            if server.instance not in tried
            and not server.is_leaving
            and not local_observations.failure_backoff.is_in_backoff(
                server.instance, now_s
            )
            and not local_observations.replicas.is_behind(server.instance, floor, now_s)
        ]
        ordered = self._components.backends.order_replicas(
            eligible, group.primary, group.group, access.organisation
        )
        return ordered[0] if ordered else None

    async def _try_replica(
        self, read: _Read, server: directory.BackendServer, floor: positions.Position
    ) -> Placement | None:
        """Return where a read has run, None if another place should be tried."""
        reply = None
        until_s = self._get_until_s(read.deadline_s)
        with trio.move_on_at(until_s):
            try:
                return await self._run_once(read, server, floor, until_s)
            except _MovedError as moved:
                reply = moved.reply
            except steps.FailedError:
                return None
        if reply is None:
            self._components.local_observations.record_no_answer(server.instance)
        return None

    async def _run_on_primary(self, read: _Read) -> Placement:
        last = steps.FailedError(
            sessions.Failure.OVERLOADED, "no primary; retry after 500 ms"
        )
        components = self._components
        group, deadline_s = read.access.database.group, read.deadline_s
        refused = context.build_pauses(components)
        with trio.move_on_at(deadline_s):
            while True:
                permit = await wait_permit(components, group, deadline_s)
                try:
                    server = context.get_primary(components, permit)
                    sent_s = clocks.get_now_s()
                    with components.interrupter.interruptible(permit):
                        placement = await self._run_once(read, server, None, deadline_s)
                        components.local_observations.record_primary_reply(
                            permit, sent_s, placement.reply
                        )
                        if components.groups.is_permit_valid(
                            permit, clocks.get_now_s()
                        ):
                            return placement._replace(permit=permit)
                        if read.is_link_kept:
                            await placement.link.discard()
                except _MovedError as moved:
                    # A busy primary tells its position too, and replicas then serve.
                    components.local_observations.record_primary_reply(
                        permit, sent_s, moved.reply
                    )
                    if placement := await self._run_on_replicas(read):
                        return placement
                    last = steps.FailedError(moved.reply.failure, moved.reply.detail)
                except steps.FailedError as error:
                    last = error
                    if not error.is_retryable:
                        raise
                    if placement := await self._run_on_replicas(read):
                        return placement
                pause_s = refused.next_delay_s()
                if trio.current_time() + pause_s >= deadline_s:
                    break
                await trio.sleep(pause_s)
            raise last
        # A read that has run somewhere without an answer keeps nothing either.
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            f"no answer within the timeout; before: {last.detail}",
        )

    async def _run_once(
        self,
        read: _Read,
        server: directory.BackendServer,
        floor: positions.Position | None,
        until_s: float,
    ) -> Placement:
        link = await links.acquire_link(
            self._components.backends, server, read.access.organisation, until_s
        )
        is_left = False
        reply = None
        try:
            # A replica's time is limited already.
            is_limited = floor is not None
            limit_s = until_s if is_limited else self._get_until_s(until_s)
            with trio.move_on_at(limit_s):
                reply = await read.run(link, floor)
            if reply is None:
                self._components.local_observations.record_no_answer(server.instance)
                raise steps.FailedError(
                    sessions.Failure.OVERLOADED,
                    f"no answer of {server.instance}; retry after 100 ms",
                    is_retryable=True,
                )
            self._components.local_observations.record_reply(server.instance, reply)
            if reply.failure in _MOVABLE:
                raise _MovedError(reply)
            is_left = read.is_link_kept and reply.failure is None
            return Placement(link, reply, None)
        except sessions.ConnectionLostError as error:
            self._components.local_observations.record_no_answer(server.instance)
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"the connection to {server.instance} was lost; retry after 100 ms",
                is_retryable=True,
            ) from error
        finally:
            if not is_left:
                await link.release()


class _MovedError(Exception):
    """An instance could not run a read that another one may run."""

    def __init__(self, reply: sessions.Reply):
        super().__init__(reply.detail)
        self.reply = reply


async def wait_permit(
    components: context.Components, group: str, deadline_s: float
) -> table.WritePermit:
    """Return a permit for a group's primary once there is one.

    Raises
    ------
    steps.FailedError
        If there is none in time; nothing has run.
    """
    while True:
        now_s = clocks.get_now_s()
        permit = components.groups.get_write_permit(group, now_s)
        if permit is not None:
            components.local_observations.end_outage(group)
            return permit
        outage_s = components.local_observations.record_outage(group, now_s)
        if outage_s >= OUTAGE_TIMEOUT_S or trio.current_time() >= deadline_s:
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"group {group} has no primary at present; retry after 500 ms",
            )
        with trio.move_on_at(deadline_s):
            await components.groups.wait_changed()
