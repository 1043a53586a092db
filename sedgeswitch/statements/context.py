"""What the parts of the statement path share on one entry host."""

import typing

import trio

from sedgeswitch.groups import entry_section
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.observability import metrics
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.statements import backends


class Eligibility(typing.Protocol):
    """Where a statement may run at the moment.

    Operators change it while the statement waits. Each function raises
    `verdicts.RefusedError` (401, not run) if the caller's key no longer works.
    """

    def list_servers(self) -> list[directory.BackendServer]:
        """Return the servers that a selector allows and no drain covers."""

    def may_run_on(self, instance: str) -> bool:
        """Return whether an instance is one of them."""


class AuthorisedWork(typing.NamedTuple):
    """An authorised statement's place to run.

    Attributes
    ----------
    organisation : str
        Empty on a route that is open to all.
    group : str
    database : str
    eligibility : Eligibility
    replicas_may_serve : bool
    ack_instances : int
        Instances, the primary among them, that must hold a write before it is
        answered as done.
    max_wait_s : float
        Longest wait for a slot, in seconds.
    """

    organisation: str
    group: str
    database: str
    eligibility: Eligibility
    replicas_may_serve: bool
    ack_instances: int
    max_wait_s: float


async def acquire(
    instance_pool: pool.InstancePool, work: AuthorisedWork, deadline_s: float
) -> pool.PooledConnection:
    """Return a connection for some work, within its longest wait.

    A wait that lasts long could end on an instance that is drained meanwhile.

    Raises
    ------
    verdicts.RefusedError
        Not run, if there is none in time.
    """
    until_s = min(deadline_s, trio.current_time() + work.max_wait_s)
    return await instance_pool.acquire(work.organisation, until_s)


class Components(typing.NamedTuple):
    """The collaborators of the statement path.

    Attributes
    ----------
    groups : table.GroupTable
    observations : entry_section.EntrySection
        What is known of the instances' positions and ages.
    backends : backends.Backends
    floors : floors.FloorStore
    metrics : metrics.Metrics
    """

    groups: table.GroupTable
    observations: entry_section.EntrySection
    backends: backends.Backends
    floors: floors.FloorStore
    metrics: metrics.Metrics
