"""Connections to instances, as the work of a session uses them."""

import contextlib
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.relay import steps
from sedgeswitch.statements import backends as statement_backends

PUBLIC_ORGANISATION = "public"


class Link:
    """A connection that one piece of work holds.

    Attributes
    ----------
    server : directory.BackendServer
    connection : sessions.SessionConnection
    """

    def __init__(
        self,
        server: directory.BackendServer,
        connections: pool.InstancePool,
        pooled: pool.PooledConnection,
    ):
        self.server = server
        self._pool = connections
        self._pooled = pooled
        self.connection: sessions.SessionConnection = pooled.connection

    async def release(self, is_observed: bool = True) -> None:
        """Give the connection back; one that is not usable is closed."""
        with trio.CancelScope(shield=True):
            await self._pool.release(self._pooled, trio.current_time(), is_observed)

    async def discard(self, is_observed: bool = True) -> None:
        """Close the connection, which undoes what is open on it."""
        with trio.CancelScope(shield=True):
            await self.connection.close()
            await self.release(is_observed)


async def acquire_link(
    backends: statement_backends.Backends,
    server: directory.BackendServer,
    organisation: str,
    deadline_s: float,
) -> Link:
    """Return a connection of an organisation to an instance.

    Raises
    ------
    steps.FailedError
        If there is none in time; nothing has run.
    """
    connections = backends.get_pool(server, server.group)
    try:
        pooled = await connections.acquire(organisation, deadline_s)
    except verdicts.RefusedError as error:
        refusal = error.refusal
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            f"{server.instance}: {refusal.code}, {refusal.detail};"
            f" retry after {refusal.retry_after_ms} ms",
            is_retryable=refusal.code == pool.INSTANCE_UNREACHABLE,
        ) from error
    return Link(server, connections, pooled)


@contextlib.asynccontextmanager
async def hold_link(
    backends: statement_backends.Backends,
    server: directory.BackendServer,
    organisation: str,
    deadline_s: float,
) -> typing.AsyncIterator[Link]:
    """Hold a connection for the body of an ``async with`` statement."""
    link = await acquire_link(backends, server, organisation, deadline_s)
    try:
        yield link
    finally:
        await link.release()
