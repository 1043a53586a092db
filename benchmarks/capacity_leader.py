"""Processor time and bytes of heartbeats on the control leader, by fleet size.

Usage: ``python -m benchmarks.capacity_leader --entry-hosts 100,265,530``

The leader's real heartbeat sections run in this process, in virtual time, on the
reports that a fleet of the given size would send. The entry hosts are simulated: only
their reports are built. The processor time of this process is counted while a
heartbeat is decoded, answered and encoded.
"""

import argparse
import random
import statistics
import time
import typing

import trio
import trio.testing

from benchmarks import fleet
from sedgeswitch.agreement import node
from sedgeswitch.configuration import changes
from sedgeswitch.configuration import distributor
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import follower
from sedgeswitch.configuration import machine as configuration_machine
from sedgeswitch.configuration import operations
from sedgeswitch.daemon import control
from sedgeswitch.daemon import section_names
from sedgeswitch.draining import messages as draining_messages
from sedgeswitch.draining import sections as draining_sections
from sedgeswitch.drivers import base
from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section as groups_sections
from sedgeswitch.groups import instances
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import table
from sedgeswitch.groups import watcher
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.membership import member_sections
from sedgeswitch.membership import messages
from sedgeswitch.pools import messages as pool_messages
from sedgeswitch.pools import shares
from sedgeswitch.sessions import placement
from sedgeswitch.transport import catalog

INSTANCES = 3
LEASE_S = 2.0
HEARTBEATS_PER_S = 2.0
# Every second heartbeat carries observations of replicas, so results are means of two.
HEARTBEATS_PER_ROUND = 2
ROUNDS = 3
# Answer of a replica to the query for its state.
STATE = base.Rows(("recovery", "lsn", "timeline"), [("f", "0/100", "1")], "SELECT 1")


class Row(typing.NamedTuple):
    """Results for one size of the fleet.

    Attributes
    ----------
    entry_hosts, groups : int
    used_groups : int
        Groups that the callers of one entry host use.
    first_us, beat_us : float
        Leader's processor time for a host's first heartbeat, and for a later one.
    first_bytes, beat_bytes : float
        Size of the heartbeat and its answer together.
    leader_share : float
        Share of one core for the heartbeats of all hosts.
    placement_ms : float
        Processor time of an entry host to place the replicas of session floors after
        a change of the members.
    """

    entry_hosts: int
    groups: int
    used_groups: int
    first_us: float
    first_bytes: float
    beat_us: float
    beat_bytes: float
    leader_share: float
    placement_ms: float


class _Log:
    """A stub of the replicated log on a host that leads it."""

    leader_id = "c1"
    leader_address = None

    def get_leadership(self, now_s: float) -> node.Leadership:  # noqa: ARG002
        return node.Leadership(1, 0.0)


class _Connection:
    """A stub connection to an instance; each statement takes 1 ms."""

    async def execute(self, sql: str, parameters: typing.Any) -> base.Rows:  # noqa: ARG002
        await trio.sleep(0.001)
        return STATE

    async def close(self) -> None:
        pass


class _Driver:
    """A stub driver whose connections open at once."""

    async def connect(self, target: typing.Any, timeout_s: float) -> _Connection:  # noqa: ARG002
        return _Connection()


class _Instances:
    """A stub list of the instances of each group, one per availability zone."""

    def get_instances(self, group: str) -> list[instances.Instance]:
        return [
            instances.Instance(f"{group}-{number}", None, fleet.ZONES[number])
            for number in range(INSTANCES)
        ]


class Leader:
    """The heartbeat sections of a leader, with the state of a fleet of a given size.

    Parameters
    ----------
    entry_hosts : int
    groups : int
    used_groups : int
        Groups that the callers of one entry host use.
    """

    def __init__(self, entry_hosts: int, groups: int, used_groups: int):
        self._used_groups = used_groups
        self._sequence = 0
        self.group_names = [f"g{number}" for number in range(groups)]
        self.members = members_machine.MembersMachine()
        for number in range(entry_hosts):
            self._add_member(number)
        self.groups = groups_machine.GroupsMachine()
        for name in self.group_names:
            self._add_group(name)
        self.configuration = configuration_machine.ConfigurationMachine()
        self._configure()
        self.follower = follower.Follower()
        self.heartbeat_server = heartbeat_server.HeartbeatServer(
            _Log(), self.members, LEASE_S
        )
        self.directory = directory.ControlDirectory(random.Random(1))
        self.section = groups_sections.ControlSection(
            self.groups, self._get_live_hosts, groups_settings.GroupSettings()
        )
        self._register()
        self.watchers: dict[str, watcher.Watcher] = {}
        self._watched: dict[str, list[str]] = {}

    def start_watchers(self, nursery: trio.Nursery) -> None:
        """Start one watcher for each group; its report serves all assigned hosts."""
        hosts = self._get_live_hosts(trio.current_time())
        group_table = table.GroupTable()
        group_table.apply_changes(self.groups.get_version(), self.groups.get_groups())
        for name in self.group_names:
            group_watcher = watcher.Watcher(
                name,
                group_table,
                _Instances(),
                _Driver(),
                groups_settings.GroupSettings(),
                lambda: None,
            )
            self.watchers[name] = group_watcher
            nursery.start_soon(group_watcher.run)
            for host_id in assignment.assign_watchers(name, hosts):
                self._watched.setdefault(host_id, []).append(name)

    def build_heartbeat(self, host_id: str, number: int, is_first: bool) -> bytes:
        """Return the encoded heartbeat that a host would send now.

        Parameters
        ----------
        host_id : str
        number : int
            Index of the host.
        is_first : bool
            Whether it is the first heartbeat, which requests the full state.
        """
        now_s = trio.current_time()
        sections = {
            control.CONFIGURATION: self._build_configuration_report(is_first),
            section_names.GROUPS: self._build_groups_report(host_id, is_first, now_s),
            section_names.DIRECTORY: self._build_directory_report(number, is_first),
            control.DRAINING: catalog.encode_struct(
                draining_messages.DrainReport(self.configuration.version, {})
            ),
            section_names.MEMBERS: catalog.encode_struct(
                messages.Members(-1 if is_first else self.members.version, [])
            ),
            section_names.SHARES: catalog.encode_struct(
                pool_messages.ShareReport(len(self.members.members))
            ),
        }
        member = self.members.members[host_id]
        self._sequence += 1
        heartbeat = messages.Heartbeat(*member, sections, False, self._sequence)
        return catalog.encode_struct(heartbeat)

    def _build_configuration_report(self, is_first: bool) -> bytes:
        if is_first:
            return follower.Follower().build_report(0.0)
        return self.follower.build_report(trio.current_time())

    def _build_groups_report(self, host_id: str, is_first: bool, now_s: float) -> bytes:
        watched = self._watched.get(host_id, [])
        report = ttypes.Report(
            acknowledged_version=0 if is_first else self.groups.get_version(),
            sent_ms=int(now_s * 1000),
            round_trip_ms=2,
            health=[self.watchers[name].build_health(now_s) for name in watched],
        )
        if is_first:
            report.used_groups = self.group_names[: self._used_groups]
        return catalog.encode_struct(report)

    def _build_directory_report(self, number: int, is_first: bool) -> bytes:
        hosts = len(self.members.members)
        announced = [
            directory.BackendServer(
                f"{name}-{place}",
                name,
                fleet.HOST,
                5432,
                fleet.ZONES[place],
                {"service": "draw-registry", "cleaning": "monday"},
                3,
                20,
            )
            for name in self.group_names[number::hosts]
            for place in range(INSTANCES)
        ]
        if is_first:
            changed = [messages.Announcement(*server) for server in announced]
            report = messages.DirectoryReport(-1, -1, changed, [])
        else:
            renewed = [server.instance for server in announced]
            report = messages.DirectoryReport(self.epoch, self.version, [], renewed)
        return catalog.encode_struct(report)

    def record_answer(self, answer: messages.HeartbeatAnswer) -> None:
        """Record the versions that the simulated hosts state in their next reports."""
        body = answer.sections[control.CONFIGURATION]
        if self.follower.version < self.configuration.version:
            self.follower.build_report(0.0)
            self.follower.receive_answer(body, 0.0)
        directory_answer = catalog.decode_struct(
            messages.DirectoryAnswer, answer.sections[section_names.DIRECTORY]
        )
        self.epoch, self.version = directory_answer.epoch, directory_answer.version

    def _add_member(self, number: int) -> None:
        zone = fleet.ZONES[number % len(fleet.ZONES)]
        member = members_machine.Member(f"e{number}", "1", zone, fleet.HOST, 7000)
        command = members_machine.build_command(member, False)
        self.members.apply(1, catalog.encode_struct(command))

    def _add_group(self, name: str) -> None:
        names = [f"{name}-{number}" for number in range(INSTANCES)]
        command = ttypes.RegisterGroup(name, names[0], 1, names)
        self.groups.apply(1, groups_machine.encode_command(command))

    def _configure(self) -> None:
        set_groups = [
            operations.SetGroup(name, documents.Group("draw"))
            for name in self.group_names or ["g0"]
        ]
        change = changes.Change(0, "first", "benchmark", tuple(set_groups))
        self.configuration.apply(1, changes.encode_change(change))

    def _register(self) -> None:
        register = self.heartbeat_server.register_section
        register(control.CONFIGURATION, distributor.Distributor(self.configuration))
        register(section_names.GROUPS, self.section)
        register(section_names.DIRECTORY, self.directory)
        register(
            control.DRAINING,
            draining_sections.ControlSection(self._get_lease_holder_ids),
        )
        register(section_names.SHARES, shares.ControlShares(self._get_lease_holder_ids))
        register(section_names.MEMBERS, member_sections.ControlSection(self.members))

    def _get_lease_holder_ids(self, now_s: float) -> list[str]:
        return [
            member.host_id for member in self.heartbeat_server.leases.get_holders(now_s)
        ]

    def _get_live_hosts(self, now_s: float) -> list[assignment.EntryHost]:
        return [
            assignment.EntryHost(member.host_id, member.availability_zone)
            for member in self.heartbeat_server.leases.get_holders(now_s)
        ]


async def answer_heartbeats(leader: Leader, is_first: bool) -> tuple[float, float]:
    """Answer a heartbeat of each host; return the mean microseconds and bytes."""
    spent_s = 0.0
    total_bytes = 0
    answer = None
    for number, host_id in enumerate(list(leader.members.members)):
        body = leader.build_heartbeat(host_id, number, is_first)
        started_s = time.process_time()
        heartbeat = catalog.decode_struct(messages.Heartbeat, body)
        answer = await leader.heartbeat_server.answer_heartbeat(heartbeat)
        reply = catalog.encode_struct(answer)
        spent_s += time.process_time() - started_s
        total_bytes += len(body) + len(reply)
    leader.record_answer(answer)
    count = len(leader.members.members)
    return spent_s / count * 1e6, total_bytes / count


async def measure_round(leader: Leader) -> tuple[float, float]:
    """Return the mean microseconds and bytes of a heartbeat in one round."""
    results = []
    for _ in range(HEARTBEATS_PER_ROUND):
        results.append(await answer_heartbeats(leader, False))
        await trio.sleep(1 / HEARTBEATS_PER_S)
    return tuple(statistics.fmean(values) for values in zip(*results, strict=True))


async def measure(entry_hosts: int, groups: int, used_groups: int) -> Row:
    """Return the results for one size; the time is the least of the rounds."""
    leader = Leader(entry_hosts, groups, used_groups)
    async with trio.open_nursery() as nursery:
        leader.start_watchers(nursery)
        await trio.sleep(1.0)
        first_us, first_bytes = await answer_heartbeats(leader, True)
        # One announcement lease after its start the directory changes its epoch and
        # sends all servers again; the rounds start after that.
        await trio.sleep(directory.ANNOUNCEMENT_LEASE_S - 2.5)
        for _ in range(8):
            await answer_heartbeats(leader, False)
            await trio.sleep(1 / HEARTBEATS_PER_S)
        rounds = [await measure_round(leader) for _ in range(ROUNDS)]
        nursery.cancel_scope.cancel()
    beat_us, beat_bytes = min(rounds)
    members = list(leader.members.members.values())
    started_s = time.process_time()
    placement.build_placement(1, members)
    placement_ms = (time.process_time() - started_s) * 1e3
    share = beat_us * HEARTBEATS_PER_S * entry_hosts / 1e6
    return Row(
        entry_hosts,
        groups,
        used_groups,
        first_us,
        first_bytes,
        beat_us,
        beat_bytes,
        share,
        placement_ms,
    )


def main() -> None:
    """Print one line of results for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry-hosts", default="100,265,530")
    parser.add_argument("--groups", default="1,310,930")
    parser.add_argument("--used-groups", default="8")
    options = parser.parse_args()
    print(" ".join(f"{name:>13}" for name in Row._fields))
    for entry_hosts in map(int, options.entry_hosts.split(",")):
        for groups in map(int, options.groups.split(",")):
            for used in map(int, options.used_groups.split(",")):
                clock = trio.testing.MockClock(autojump_threshold=0)
                row = trio.run(measure, entry_hosts, groups, used, clock=clock)
                print(" ".join(f"{value:13.4g}" for value in row), flush=True)


if __name__ == "__main__":
    main()
