"""Probes of instances that reuse the results of the host's own statements.

A primary's recent reply to a statement shows its state as well as a probe does, so
that no probe is sent. Otherwise a probe uses an idle connection of the host's pools,
and opens its own connection only if none is idle.
"""

import collections.abc
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import instances
from sedgeswitch.relay import context
from sedgeswitch.statements import backends as statement_backends

# Greatest age at which a reply to a statement replaces a probe, in seconds.
MAX_STATE_AGE_S = 0.45

RecordLoss = collections.abc.Callable[[str, float], None]


def _ignore_loss(instance: str, last_used_s: float) -> None:
    """Ignore the loss of a connection."""


class ProbeDriver:
    """Opens probe connections for `groups.watcher.Watcher`.

    Parameters
    ----------
    driver : object
        Opens connections that can read an instance's state.
    backends : backends.Backends
    local_observations : context.LocalObservations
    record_loss : callable, optional
        ``record_loss(instance, last_used_s)`` is called for an idle connection that is
        found to be lost; see `admission.cold_start.record_loss`.
    """

    def __init__(
        self,
        driver: typing.Any,
        backends: statement_backends.Backends,
        local_observations: context.LocalObservations,
        record_loss: RecordLoss = _ignore_loss,
    ):
        self._driver = driver
        self._backends = backends
        self._local_observations = local_observations
        self._record_loss = record_loss

    async def connect(self, target: base.Target, timeout_s: float) -> "ProbeConnection":
        """Return a probe connection, which is opened only when a probe needs it."""
        await trio.lowlevel.checkpoint()
        return ProbeConnection(
            self._driver,
            self._backends,
            self._local_observations,
            target,
            timeout_s,
            self._record_loss,
        )


class ProbeConnection:
    """Probes one instance; see `ProbeDriver`."""

    def __init__(
        self,
        driver: typing.Any,
        backends: statement_backends.Backends,
        local_observations: context.LocalObservations,
        target: base.Target,
        timeout_s: float,
        record_loss: RecordLoss = _ignore_loss,
    ):
        self._record_loss = record_loss
        self._driver = driver
        self._backends = backends
        self._local_observations = local_observations
        self._target = target
        self._timeout_s = timeout_s
        self._own_connection: typing.Any | None = None

    async def read_state(self) -> instances.InstanceState:
        """Return the state of the instance.

        Raises
        ------
        base.DriverError
            If the instance does not answer.
        """
        recorded = self._local_observations.get_primary_state(
            self._target.instance, MAX_STATE_AGE_S
        )
        if recorded is not None:
            await trio.lowlevel.checkpoint()
            return recorded
        try:
            state = await self._probe_over_idle_connection()
            if state is None:
                state = await self._probe_over_own_connection()
            return state
        except sessions.ConnectionLostError as error:
            raise base.DriverError(
                "", str(error), verdicts.Verdict.NOT_RUN, is_lost=True
            ) from error

    async def close(self) -> None:
        """Close the connection that a probe opened, if any."""
        own, self._own_connection = self._own_connection, None
        if own is not None:
            await own.close()

    async def _probe_over_idle_connection(self) -> instances.InstanceState | None:
        """Read the state over an idle pooled connection, None if there is none."""
        server = self._backends.get_server(self._target.instance)
        if server is None:
            return None
        instance_pool = self._backends.get_pool(server, server.group)
        pooled = await instance_pool.acquire_idle()
        if pooled is None:
            return None
        try:
            return await pooled.connection.read_state()
        except sessions.ConnectionLostError:
            self._record_loss(server.instance, pooled.last_used_s)
            raise
        finally:
            with trio.CancelScope(shield=True):
                now_s = trio.current_time()
                await instance_pool.release(pooled, now_s, is_observed=False)

    async def _probe_over_own_connection(self) -> instances.InstanceState:
        if self._own_connection is None or not self._own_connection.is_usable:
            self._own_connection = await self._driver.connect(
                self._target, self._timeout_s
            )
        return await self._own_connection.read_state()
