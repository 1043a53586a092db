"""Probes of instances that spend little: the host's own traffic comes first.

What a primary has answered lately to a statement tells as much as a probe. A
probe that is sent takes an idle connection of the host's pools, and opens one of
its own only where none is idle.
"""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import instances
from sedgeswitch.relay import context
from sedgeswitch.statements import backends as statement_backends

# Age up to which an answer to a statement stands for a probe, in seconds.
EVIDENCE_AGE_S = 0.45


class ProbeDriver:
    """Opens probe connections for `groups.watcher.Watcher`.

    Parameters
    ----------
    driver : object
        Opens connections that can tell an instance's state.
    backends : backends.Backends
    local_observations : context.LocalObservations
    """

    def __init__(
        self,
        driver: typing.Any,
        backends: statement_backends.Backends,
        local_observations: context.LocalObservations,
    ):
        self._driver = driver
        self._backends = backends
        self._local_observations = local_observations

    async def connect(self, target: base.Target, timeout_s: float) -> "ProbeConnection":
        """Return a connection, which is opened when a probe needs it."""
        await trio.lowlevel.checkpoint()
        return ProbeConnection(
            self._driver, self._backends, self._local_observations, target, timeout_s
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
    ):
        self._driver = driver
        self._backends = backends
        self._local_observations = local_observations
        self._target = target
        self._timeout_s = timeout_s
        self._own: typing.Any | None = None

    async def read_state(self) -> instances.InstanceState:
        """Return the state of the instance.

        Raises
        ------
        base.DriverError
            If there is no answer.
        """
        evidence = self._local_observations.get_primary_state(
            self._target.instance, EVIDENCE_AGE_S
        )
        if evidence is not None:
            await trio.lowlevel.checkpoint()
            return evidence
        try:
            state = await self._probe_idle()
            if state is None:
                state = await self._probe_own()
            return state
        except sessions.ConnectionLostError as error:
            raise base.DriverError(
                "", str(error), verdicts.Verdict.NOT_RUN, is_lost=True
            ) from error

    async def close(self) -> None:
        """Close the connection that the probes opened, if any."""
        own, self._own = self._own, None
        if own is not None:
            await own.close()

    async def _probe_idle(self) -> instances.InstanceState | None:
        """Return the state over an idle connection, None if there is none."""
        server = self._backends.get_server(self._target.instance)
        if server is None:
            return None
        connections = self._backends.get_pool(server, server.group)
        pooled = await connections.acquire_idle()
        if pooled is None:
            return None
        try:
            return await pooled.connection.read_state()
        finally:
            with trio.CancelScope(shield=True):
                now_s = trio.current_time()
                await connections.release(pooled, now_s, is_observed=False)

    async def _probe_own(self) -> instances.InstanceState:
        if self._own is None or not self._own.is_usable:
            self._own = await self._driver.connect(self._target, self._timeout_s)
        return await self._own.read_state()
