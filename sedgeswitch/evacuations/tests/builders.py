"""Builders of evacuations: machines, sections and clusters that replicate them."""

import random
import tempfile

import loguru
import trio

from sedgeswitch.agreement import errors
from sedgeswitch.agreement.tests import builders as agreement_builders
from sedgeswitch.evacuations import machine
from sedgeswitch.evacuations import operations
from sedgeswitch.evacuations import sections
from sedgeswitch.utils.tests import virtual_time

ZONE = "bagmati-a"
ZONES = frozenset([ZONE, "bagmati-b", "koshi-a"])


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now_s = 100.0

    def get_now_s(self):
        return self.now_s


def apply(target, zone, is_start):
    """Apply a command to a machine and return its decoded result."""
    return machine.decode_result(target.apply(1, machine.build_command(zone, is_start)))


class Exchange:
    """The leader's and one entry host's side of the section."""

    def __init__(self, bound_s=sections.DEFAULT_BOUND_S):
        self.clock = Clock()
        self.machine = machine.EvacuationsMachine(self.clock.get_now_s)
        self.control = sections.ControlSection(self.machine)
        self.entry = sections.EntrySection(bound_s)

    def heartbeat(self):
        now_s = self.clock.now_s
        report = self.entry.build_report(now_s)
        answer = self.control.answer_report("e1", report, now_s)
        self.entry.receive_answer(answer, now_s)
        return answer


class Cluster(agreement_builders.Cluster):
    """Control hosts on a fake network with real files that replicate evacuations."""

    def register_machines(self, node_id, registry):
        built = machine.EvacuationsMachine(trio.current_time)
        self.__dict__.setdefault("machines", {})[node_id] = built
        registry.register_machine(machine.NAME, built)

    def get_operations(self, node_id):
        """Return the operations of one control host."""
        return operations.Operations(
            self.machines[node_id], self.hosts[node_id].node, lambda: ZONES
        )

    async def list_evacuated(self):
        """Return the evacuated zones as the current leader confirms them."""
        leader = await self.wait_for_leader()
        return await self.get_operations(leader).list_evacuated()

    async def propose_evacuation(self, zone, is_start):
        """Commit a command directly on the leader."""
        leader = await self.wait_for_leader()
        body = machine.build_command(zone, is_start)
        node = self.hosts[leader].node
        return machine.decode_result(await node.propose(machine.NAME, body, 1.0))


def run_cluster(body, seed=1, **overrides):
    """Run ``await body(cluster)`` in virtual time; see `agreement.tests.builders`."""

    async def main():
        folder_root = agreement_builders.MEMORY_FOLDER
        with tempfile.TemporaryDirectory(dir=folder_root) as folder:
            async with trio.open_nursery() as nursery:
                cluster = Cluster(random.Random(seed), folder, nursery, **overrides)
                await body(cluster)
                nursery.cancel_scope.cancel()

    loguru.logger.disable("sedgeswitch.agreement")
    try:
        virtual_time.run(main, seed=seed)
    finally:
        loguru.logger.enable("sedgeswitch.agreement")


class FailingLog:
    """A log that commits a command and then loses the response."""

    def __init__(self, target):
        self.target = target
        self.loses_responses = False

    async def propose(self, machine_name, body, timeout_s):  # noqa: ARG002
        answer = self.target.apply(1, body)
        if self.loses_responses:
            raise errors.OutcomeUnknownError("no response")
        return answer

    async def read_barrier(self, timeout_s):
        """All commands have been applied."""
