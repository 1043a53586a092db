"""Waiting until a committed write is durable and its session floor is recorded."""

import trio

from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.sessions import floors
from sedgeswitch.statements import acknowledgement
from sedgeswitch.statements import context
from sedgeswitch.statements import pooled as pooled_statements

# Timeout of one poll of a replica, in seconds.
POLL_TIMEOUT_S = 0.5
_GROUP_SETTINGS = settings.GroupSettings()


class DurabilityWaiter:
    """Waits until committed writes survive the loss of their primary.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components
        self._waiters: dict[str, acknowledgement.AckWaiter] = {}
        self._nursery: trio.Nursery | None = None

    def set_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that runs the tasks that poll replicas."""
        self._nursery = nursery

    async def wait_durable(
        self,
        work: context.AuthorisedWork,
        key: floors.SessionKey,
        position: positions.Position,
        deadline_s: float,
    ) -> bool:
        """Wait until enough replicas have a write and its floor is recorded.

        Parameters
        ----------
        work : context.AuthorisedWork
        key : floors.SessionKey
            Session whose next read must see the write.
        position : positions.Position
            End of the write in the log.
        deadline_s : float
            Deadline for the floor on trio's clock; it does not limit the wait for
            replicas.

        Returns
        -------
        bool
            False if the floor was not recorded before the deadline.
        """
        is_recorded = False

        async def record_floor() -> None:
            nonlocal is_recorded
            is_recorded = await self._components.floors.record(
                key, position, deadline_s
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_floor)
            # A promotion assumes that each acknowledged write is on at least the
            # default number of instances, so a lower setting of the group is ignored.
            instances = max(work.ack_instances, _GROUP_SETTINGS.ack_instances)
            if instances > 1:
                await self._get_waiter(work).wait(position, instances - 1)
        return is_recorded

    def _get_waiter(self, work: context.AuthorisedWork) -> acknowledgement.AckWaiter:
        group, database = work.group, work.database

        async def read_position(instance: str) -> positions.Position | None:
            server = self._components.backends.get_server(instance)
            if server is None:
                return None
            instance_pool = self._components.backends.get_pool(server, database)
            return await pooled_statements.try_read_position(
                instance_pool, POLL_TIMEOUT_S
            )

        if group not in self._waiters:
            self._waiters[group] = acknowledgement.AckWaiter(
                self._nursery, lambda: self._list_replicas(group), read_position
            )
        return self._waiters[group]

    def _list_replicas(self, group: str) -> list[str]:
        """Return the replicas to poll; drained ones only if too few others are left."""
        state = self._components.groups.get_group(group)
        acknowledging = self._components.groups.get_ack_instances(group)
        replicas = [item for item in acknowledging if item != state.primary]
        undrained = [
            item
            for item in replicas
            if not self._components.backends.is_instance_drained(item)
        ]
        needed = _GROUP_SETTINGS.ack_instances - 1
        return undrained if len(undrained) >= needed else replicas
