"""Host leases and a directory of backend servers in one program, without the daemon.

    python -m examples.membership_embedded

Runs one leader and two entry hosts. A program on several hosts passes
`heartbeat_client.ControlPeers` as the connection and the replicated log of
`sedgeswitch.agreement` as the log.
"""

import random
import typing

import trio

from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine

LEASE_S = 1.0
HEARTBEAT_INTERVAL_S = 0.2
SECTION = "directory"


class Leadership(typing.NamedTuple):
    """The leadership of this program, which never changes."""

    term: int = 1


class LocalLog:
    """Applies commands immediately: this program is its only voter."""

    leader_id = "control-1"

    def __init__(self, members: machine.MembersMachine):
        self._members = members

    def get_leadership(self, now_s: float) -> Leadership:  # noqa: ARG002
        """Return the leadership, which never ends."""
        return Leadership()

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:  # noqa: ARG002
        """Apply a command."""
        await trio.lowlevel.checkpoint()
        return self._members.apply(0, body)


class LocalControl:
    """The connection of an entry host to the leader."""

    def __init__(self, leader: heartbeat_server.HeartbeatServer):
        self._leader = leader

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:  # noqa: ARG002
        """Pass a heartbeat or a watch request to the leader and return its answer."""
        if isinstance(message, heartbeat_client.messages.Heartbeat):
            return await self._leader.answer_heartbeat(message)
        return await self._leader.answer_watch(message)


def build_host(
    host_id: str, leader: heartbeat_server.HeartbeatServer
) -> tuple[heartbeat_client.HeartbeatClient, directory.EntryDirectory]:
    """Return the heartbeat client of an entry host and its copy of the directory."""
    identity = machine.Member(host_id, "run-1", "bagmati", "10.0.0.1", 7000)
    client = heartbeat_client.HeartbeatClient(
        identity, LocalControl(leader), HEARTBEAT_INTERVAL_S
    )
    servers = directory.EntryDirectory()
    client.register_section(SECTION, servers)
    return client, servers


def print_holders(leader: heartbeat_server.HeartbeatServer) -> None:
    """Print the hosts that may hold a lease."""
    holders = leader.get_holders(trio.current_time())
    print("lease holders:", ", ".join(member.host_id for member in holders))


async def main() -> None:
    """Announce a backend server, then stop a host and wait until its lease expires."""
    members = machine.MembersMachine()
    leader = heartbeat_server.HeartbeatServer(LocalLog(members), members, LEASE_S)
    leader.register_section(SECTION, directory.ControlDirectory(random.Random()))
    first, first_servers = build_host("entry-1", leader)
    second, second_servers = build_host("entry-2", leader)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.run)
        nursery.start_soon(first.run)
        stopping = await nursery.start(run_until_stopped, second)
        first_servers.record_announcement(
            directory.BackendServer(
                "lots-0", "lots", "10.0.1.1", 5432, "bagmati", {}, 3, 20
            )
        )
        await trio.sleep(2 * HEARTBEAT_INTERVAL_S)
        print("directory of entry-2:", ", ".join(second_servers.servers))
        print_holders(leader)
        stopping.cancel()
        await trio.sleep(1.2 * LEASE_S)
        print_holders(leader)
        nursery.cancel_scope.cancel()


async def run_until_stopped(
    client: heartbeat_client.HeartbeatClient,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a heartbeat client; pass the scope that cancels it to the starter."""
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await client.run()


if __name__ == "__main__":
    trio.run(main)
