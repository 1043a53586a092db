"""A small relay fleet in one process, on loopback addresses and in real time.

Three control hosts and one entry host are real; the three instances of the group are
in memory, each in an availability zone of its own.
"""

import pathlib
import random
import tempfile

import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.daemon import relay_control
from sedgeswitch.daemon import relay_entry
from sedgeswitch.daemon import relay_groups
from sedgeswitch.daemon.tests import builders as daemon_builders
from sedgeswitch.evacuations.tests import relay_builders as world_builders
from sedgeswitch.groups import instances
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.observability import metrics
from sedgeswitch.platform import operator_edge
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks

HOST = daemon_builders.HOST
LEASE_S = 4.0
HEARTBEAT_S = 0.5
SETTINGS_ZONE = "zone-without-instances"
GROUP_SETTINGS = groups_settings.GroupSettings(promote_timeout_s=2.0)
REQUEST_TIMEOUT_S = 8.0
POLL_S = 0.02


class Connection(relay_builders.FakeConnection):
    """A connection that also answers probes."""

    async def read_state(self):
        return get_state(self.instance)


class Driver(relay_builders.FakeDriver):
    async def connect(self, target, timeout_s):
        opened = await super().connect(target, timeout_s)
        opened.__class__ = Connection
        return opened


def get_state(instance):
    return instances.InstanceState(not instance.is_primary, instance.position)


class InstanceControl:
    """Reads and promotes the instances of a world."""

    def __init__(self, world):
        self._world = world
        self.promoted = []

    async def read_state(self, target, timeout_s):
        await trio.sleep(0.001)
        return get_state(self._world.instances[target.instance])

    async def fence(self, target, timeline, timeout_s):
        return await self.read_state(target, timeout_s)

    async def promote(self, order, timeout_s):
        self.promoted.append(order.instance)
        await trio.sleep(0.05)
        for instance in self._world.instances.values():
            instance.is_primary = instance.name == order.instance
            instance.term += 1

    async def unfence(self, target, timeout_s):
        """Fences have no effect here."""

    async def follow(self, target, timeline, timeout_s):
        """All replicas follow the newest primary."""


class ControlProcess:
    """One control host, its operator edge and its cancel scope."""

    def __init__(self, control, router, scope):
        self.control = control
        self.router = router
        self.scope = scope


class Fleet:
    """The fleet; use `run_fleet`."""

    def __init__(self, nursery, folder):
        self._nursery = nursery
        self._folder = pathlib.Path(folder)
        self.world = relay_builders.World()
        world_builders.spread_instances(self.world)
        self.instance_control = InstanceControl(self.world)
        self._addresses = {
            f"control-{number}": peer.Address(HOST, daemon_builders.find_port())
            for number in range(3)
        }
        self.controls = {}
        self.entry = None
        self._entry_scope = None

    async def start(self):
        for host_id in self._addresses:
            await self.start_control(host_id)
        await self.start_entry()
        self._nursery.start_soon(self._announce)
        self._nursery.start_soon(self._replicate)
        leader = await self.wait_for_leader()
        await leader.control.replace_document(1, b"x")
        await self.wait_until(lambda: self.entry.is_ready(clocks.get_now_s()))
        await self.wait_until(lambda: self.get_primary() == "a")

    async def start_control(self, host_id):
        address = self._addresses[host_id]
        serving = server.Server()
        voters = tuple(
            agreement_settings.VoterAddress(name, *item)
            for name, item in self._addresses.items()
        )
        options = relay_control.ControlOptions(
            agreement_settings.NodeSettings(host_id, voters),
            str(self._folder / host_id),
            LEASE_S,
            GROUP_SETTINGS,
            relay_groups.Tolerance(),
            address,
            self._addresses,
            3,
            2.0,
            frozenset([SETTINGS_ZONE]),
        )
        control = relay_control.RelayControl(
            options,
            lambda text: relay_builders.build_document(),  # noqa: ARG005
            self.instance_control,
            serving,
            Driver(self.world),
            metrics.Metrics(),
            # Equal election timeouts would split the votes again and again.
            random.Random(host_id),
        )
        router = routes.Router()
        operator_edge.OperatorEdge(control, 1).register_routes(router)
        scope = trio.CancelScope()
        self.controls[host_id] = ControlProcess(control, router, scope)
        await self._nursery.start(self._run, scope, serving, address, control)

    async def start_entry(self):
        address = peer.Address(HOST, daemon_builders.find_port())
        serving = server.Server()
        options = relay_entry.EntryOptions(
            "entry-1",
            "zone-a",
            address,
            self._addresses,
            HEARTBEAT_S,
            GROUP_SETTINGS,
            relay_groups.Tolerance(),
            {},
        )
        self.entry = relay_entry.RelayEntry(
            options,
            lambda text: relay_builders.build_document(),  # noqa: ARG005
            Driver(self.world),
            serving,
            random.Random(2),
        )
        self._entry_scope = trio.CancelScope()
        await self._nursery.start(
            self._run, self._entry_scope, serving, address, self.entry
        )

    async def stop_control(self, host_id):
        self.controls.pop(host_id).scope.cancel()
        await trio.sleep(0.05)

    async def stop_entry(self):
        await self.entry.leave()
        self._entry_scope.cancel()
        await trio.sleep(0.05)

    async def request(self, method, path, host_id=None):
        """Send a request as an operator does: to any host, with retries for 8 s."""
        with trio.fail_after(REQUEST_TIMEOUT_S):
            while True:
                for name in [host_id] if host_id else list(self.controls):
                    response = await self.request_once(method, path, name)
                    if response.status not in (307, 503):
                        return response
                await trio.sleep(POLL_S)

    async def request_once(self, method, path, host_id):
        """Send a request to one host and return its response."""
        request = http.Request(method, path, {}, b"")
        try:
            return await self.controls[host_id].router.handle(request)
        except verdicts.RefusedError as error:
            return http.build_problem(error.refusal)

    async def wait_for_leader(self, other_than=None):
        def find():
            for name, process in self.controls.items():
                if name != other_than and process.control.is_leading():
                    return process
            return None

        return await self.wait_until(find)

    async def wait_until(self, condition, timeout_s=10.0):
        with trio.fail_after(timeout_s):
            while not (result := condition()):
                await trio.sleep(POLL_S)
        return result

    def get_primary(self):
        """Return the primary that the entry host may write to, if any."""
        permit = self.entry.groups.get_write_permit(
            relay_builders.GROUP, clocks.get_now_s()
        )
        return None if permit is None else permit.primary

    async def run_texts(self, *texts, database="primary"):
        session = self.entry.build_session(database, relay_builders.KEY)
        return await relay_builders.run_texts(session, *texts)

    async def _run(self, scope, serving, address, host, task_status):
        with scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(serving.serve, *address)
                nursery.start_soon(host.run)
                task_status.started()

    async def _replicate(self):
        while True:
            self.world.replicate()
            await trio.sleep(0.01)

    async def _announce(self):
        while True:
            for process in self.controls.values():
                if process.control.is_leading():
                    for announced in self.world.servers.servers.values():
                        process.control.directory.record_announcement(
                            announced, clocks.get_now_s()
                        )
            await trio.sleep(0.2)


def run_fleet(body):
    """Run ``await body(fleet)`` with a fleet that serves."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery, folder)
                await fleet.start()
                await body(fleet)
                nursery.cancel_scope.cancel()

    trio.run(main)
