"""Acquires connections to instances and releases them after use."""

import contextlib
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.membership import directory
from sedgeswitch.observability import stages
from sedgeswitch.pools import pool
from sedgeswitch.relay import steps
from sedgeswitch.scheduling import connections as scheduled_connections
from sedgeswitch.scheduling import work as works
from sedgeswitch.statements import backends as statement_backends

PUBLIC_ORGANISATION = "public"


class AcquiredConnection(typing.Protocol):
    """A connection in exclusive use by one statement or transaction.

    Attributes
    ----------
    server : directory.BackendServer
        Backend server that the connection leads to.
    connection : sessions.SessionConnection
    is_forwarded : bool
        Whether another host holds the connection to the instance.
    """

    server: directory.BackendServer
    connection: sessions.SessionConnection
    is_forwarded: bool

    async def release(self, is_observed: bool = True) -> None:
        """Return the connection, which is closed if it is not usable.

        Parameters
        ----------
        is_observed : bool
            See `admission.fair_queue.FairQueue.release`.
        """

    async def discard(self, is_observed: bool = True) -> None:
        """Close the connection, which rolls back a transaction open on it.

        Parameters
        ----------
        is_observed : bool
            See `admission.fair_queue.FairQueue.release`.
        """


class Connector(typing.Protocol):
    """Acquires connections to instances."""

    async def acquire(
        self,
        server: directory.BackendServer,
        organisation: str,
        deadline_s: float,
        allowed_regions: frozenset[str] | None = None,
        work: works.Work | None = None,
    ) -> AcquiredConnection:
        """Acquire a connection to an instance on behalf of an organisation.

        Statements are forwarded only to hosts in `allowed_regions`; None for all.
        `work` describes what it is for; None if statements are not scheduled.

        Raises
        ------
        steps.FailedError
            ``OVERLOADED`` if none is available by `deadline_s`, on trio's clock. No
            statement has run. Retryable if the instance was unreachable.
        """

    def get_load(
        self,
        server: directory.BackendServer,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> pool.PoolLoad:
        """Return the load that an organisation's statement for an instance meets."""


class PooledAcquiredConnection:
    """A connection of this host's pool; implements `AcquiredConnection`.

    Attributes
    ----------
    opened_s, last_used_s : float
        Times of trio's clock at which it was opened, and at which it was opened or
        last released before.
    """

    is_forwarded = False

    def __init__(
        self,
        server: directory.BackendServer,
        instance_pool: pool.InstancePool,
        pooled: pool.PooledConnection,
    ):
        self.server = server
        self._pool = instance_pool
        self._pooled = pooled
        self.opened_s = pooled.opened_s
        self.last_used_s = pooled.last_used_s
        self.connection: sessions.SessionConnection = pooled.connection
        if instance_pool.scheduler is not None:
            self.connection = scheduled_connections.ScheduledConnection(
                pooled.connection, instance_pool.scheduler, pooled.ticket
            )

    async def release(self, is_observed: bool = True) -> None:
        """Return the connection to its pool, which closes it if it is not usable."""
        with trio.CancelScope(shield=True):
            await self._pool.release(self._pooled, trio.current_time(), is_observed)

    async def discard(self, is_observed: bool = True) -> None:
        """Close the connection, which rolls back a transaction open on it."""
        with trio.CancelScope(shield=True):
            await self.connection.close()
            await self.release(is_observed)


class PoolConnector:
    """Acquires connections of this host's own pools; implements `Connector`.

    Parameters
    ----------
    backends : backends.Backends
    """

    def __init__(self, backends: statement_backends.Backends):
        self._backends = backends

    async def acquire(
        self,
        server: directory.BackendServer,
        organisation: str,
        deadline_s: float,
        allowed_regions: frozenset[str] | None = None,  # noqa: ARG002
        work: works.Work | None = None,
    ) -> PooledAcquiredConnection:
        """Acquire a pooled connection; see `Connector.acquire`."""
        instance_pool = self._backends.get_pool(server, server.group)
        try:
            with stages.measure(stages.CONNECTION):
                pooled = await instance_pool.acquire(organisation, deadline_s, work)
        except verdicts.RefusedError as error:
            refusal = error.refusal
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"{server.instance}: {refusal.code}, {refusal.detail};"
                f" retry after {refusal.retry_after_ms} ms",
                is_retryable=refusal.code == pool.INSTANCE_UNREACHABLE,
            ) from error
        return PooledAcquiredConnection(server, instance_pool, pooled)

    async def close_lost(self, server: directory.BackendServer) -> list[float]:
        """Close the idle connections that an instance has closed.

        Returns
        -------
        list of float
            When each was opened or last released, on trio's clock.
        """
        instance_pool = self._backends.get_pool(server, server.group)
        return [pooled.last_used_s for pooled in await instance_pool.close_lost()]

    def get_load(
        self,
        server: directory.BackendServer,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,  # noqa: ARG002
    ) -> pool.PoolLoad:
        """Return the load of this host's pool; see `Connector.get_load`."""
        return self._backends.get_pool(server, server.group).get_load(organisation)


def measure_exchange(
    acquired: AcquiredConnection,
) -> contextlib.AbstractContextManager[None]:
    """Count the time of a ``with`` block as that of the instance.

    The time of a forwarded statement is counted by the call to its holder.
    """
    if acquired.is_forwarded:
        return contextlib.nullcontext()
    return stages.measure(stages.INSTANCE)


@contextlib.asynccontextmanager
async def hold_connection(
    connector: Connector,
    server: directory.BackendServer,
    organisation: str,
    deadline_s: float,
    allowed_regions: frozenset[str] | None = None,
    work: works.Work | None = None,
) -> typing.AsyncIterator[AcquiredConnection]:
    """Acquire a connection and release it at the end of an ``async with`` block."""
    acquired = await connector.acquire(
        server, organisation, deadline_s, allowed_regions, work
    )
    try:
        yield acquired
    finally:
        await acquired.release()
