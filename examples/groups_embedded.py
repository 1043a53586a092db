"""Failover of a database group in one program, without the daemon.

The program acts as the leader and as one entry host. Its three database servers are
objects in memory; a real program passes a driver that connects to PostgreSQL, and
proposes commands to the replicated log of `sedgeswitch.agreement`.

Run as ``python examples/groups_embedded.py``.
"""

import typing

import trio

from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import leases
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import supervisor
from sedgeswitch.groups import table

HEARTBEAT_INTERVAL_S = 0.2
LEASE_S = 2.0
HOST_ID = "entry-1"
GROUP = "lots"


class Leadership(typing.NamedTuple):
    """The leadership of this program, which never changes."""

    term: int = 1
    started_s: float = 0.0


class Rows(typing.NamedTuple):
    """Result rows of a statement."""

    rows: list


class MemoryServer:
    """A database server, which also serves as driver target and as connection."""

    def __init__(self, in_recovery: bool):
        self.in_recovery = in_recovery
        self.timeline = 1
        self.is_stopped = False

    async def execute(self, sql: str, parameters: typing.Sequence) -> Rows:  # noqa: ARG002
        """Answer the statements of `sedgeswitch.groups`: state and promotion."""
        await trio.lowlevel.checkpoint()
        if self.is_stopped:
            raise ConnectionRefusedError
        if sql == instances.DEADLINE_QUERY:
            return Rows([("2026-12-04 12:00:01+00",)])
        if sql == instances.PROMOTE_QUERY:
            self.in_recovery = False
            self.timeline += 1
        lsn = positions.format_lsn(4096)
        return Rows([(str(self.in_recovery), lsn, self.timeline)])

    async def close(self) -> None:
        """Close the connection."""
        await trio.lowlevel.checkpoint()


class MemoryDriver:
    """Connects to `MemoryServer`."""

    async def connect(self, target: MemoryServer, timeout_s: float) -> MemoryServer:  # noqa: ARG002
        """Return the server as a connection to itself."""
        await trio.lowlevel.checkpoint()
        return target


class Program:
    """Connects the objects of the leader and of the entry host."""

    def __init__(self):
        self.servers = {f"{GROUP}-{i}": MemoryServer(i > 0) for i in range(3)}
        self.machine = machine.GroupsMachine()
        self.table = table.GroupTable()
        group_settings = settings.check_settings(settings.GroupSettings())
        self.entry = entry_section.EntrySection(
            self.table, self, MemoryDriver(), group_settings
        )
        self.leader = control_section.ControlSection(
            self.machine, self.get_live_hosts, group_settings
        )
        self.supervisor = supervisor.Supervisor(
            leader_context.LeaderContext(
                machine=self.machine,
                propose=self.propose,
                get_leadership=lambda now_s: Leadership(),  # noqa: ARG005
                leases=self,
                directory=self,
                driver=MemoryDriver(),
                settings=group_settings,
                get_promotion_rank=lambda group, instance: (),  # noqa: ARG005
                record_report=print,
            ),
            self.leader,
        )

    def get_groups(self) -> list[str]:
        """Return the announced groups."""
        return [GROUP]

    def get_instances(self, group: str) -> list[instances.Instance]:  # noqa: ARG002
        """Return the announced instances."""
        return [
            instances.Instance(name, server, "bagmati")
            for name, server in self.servers.items()
        ]

    def get_live_hosts(self, now_s: float) -> list[assignment.EntryHost]:  # noqa: ARG002
        """Return the entry hosts that hold a lease."""
        return [assignment.EntryHost(HOST_ID, "bagmati")]

    def get_holders(self, now_s: float) -> dict[str, leases.EntryHostLease]:
        """Return the leases of the entry hosts."""
        version = self.leader.get_acknowledged_version(HOST_ID)
        return {HOST_ID: leases.EntryHostLease(now_s + LEASE_S, version)}

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:  # noqa: ARG002
        """Apply a command immediately: this program is its only voter."""
        await trio.lowlevel.checkpoint()
        return self.machine.apply(0, body)

    async def send_heartbeats(self) -> None:
        """Pass heartbeat sections between the entry host and the leader."""
        while True:
            sent_s = trio.current_time()
            report = self.entry.build_report(sent_s)
            answer = self.leader.answer_report(HOST_ID, report, sent_s)
            self.entry.receive_answer(answer, trio.current_time())
            self.table.set_lease(sent_s + LEASE_S)
            with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self.entry.wait_urgent()


async def main() -> None:
    """Stop the primary and print the write permits before and after the failover."""
    program = Program()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(program.supervisor.run)
        nursery.start_soon(program.entry.run)
        nursery.start_soon(program.send_heartbeats)
        print(await program.table.wait_serving(GROUP, trio.current_time() + 5.0))
        await trio.sleep(1.0)
        program.servers[f"{GROUP}-0"].is_stopped = True
        while program.table.get_group(GROUP).term == 1:
            await trio.sleep(0.05)
        print(await program.table.wait_serving(GROUP, trio.current_time() + 5.0))
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
