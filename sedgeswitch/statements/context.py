"""Data and components that the modules of this package share."""

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
    """The backend servers on which a statement may run now.

    The result may change while the statement waits, because operators change
    selectors, drains and keys. Each method raises `verdicts.RefusedError` (401, not
    run) if the caller's key is no longer valid.
    """

    def list_servers(self) -> list[directory.BackendServer]:
        """Return the servers that a selector allows and that are not drained."""

    def may_run_on(self, instance: str) -> bool:
        """Return whether `list_servers` contains an instance."""


class AuthorisedWork(typing.NamedTuple):
    """Where and under which settings an authorised statement may run.

    Attributes
    ----------
    organisation : str
        Empty for a request without a key, which a selector allows.
    group : str
    database : str
    eligibility : Eligibility
    replicas_may_serve : bool
        Whether reads may run on replicas.
    ack_instances : int
        Instances, including the primary, that must have a write before it is
        acknowledged to the caller.
    max_wait_s : float
        Longest wait for a connection, in seconds.
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
    """Return a connection from a pool within the longest wait of the work.

    The wait is limited because a long wait could end on an instance that was drained
    in the meantime.

    Raises
    ------
    verdicts.RefusedError
        Not run, if no connection was available in time.
    """
    until_s = min(deadline_s, trio.current_time() + work.max_wait_s)
    return await instance_pool.acquire(work.organisation, until_s)


class Components(typing.NamedTuple):
    """Components of an entry host that run statements and transactions.

    Attributes
    ----------
    groups : table.GroupTable
    observations : entry_section.EntrySection
        Positions and ages of data of the instances, as the leader distributes them;
        records the groups that callers use.
    backends : backends.Backends
    floors : floors.FloorStore
    metrics : metrics.Metrics
    """

    groups: table.GroupTable
    observations: entry_section.EntrySection
    backends: backends.Backends
    floors: floors.FloorStore
    metrics: metrics.Metrics
