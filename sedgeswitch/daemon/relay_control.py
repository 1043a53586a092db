"""The control role of a relay fleet, which is configured by one document.

A new version of the document replaces the earlier one as a whole.
"""

import collections.abc
import random
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.daemon import control_core
from sedgeswitch.daemon import relay_groups
from sedgeswitch.daemon import section_names
from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as database_machine
from sedgeswitch.databases import rollout
from sedgeswitch.databases import sections as database_sections
from sedgeswitch.draining import primary_mover
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import member_sections
from sedgeswitch.membership import server_machine
from sedgeswitch.observability import metrics
from sedgeswitch.pools import shares
from sedgeswitch.routing import eligibility
from sedgeswitch.routing import sections as routing_sections
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils import records
from sedgeswitch.utils import tasks

# Longest wait for a quorum to accept a document, in seconds.
PROPOSE_TIMEOUT_S = 2.0
# Longest wait for a quorum to confirm that this host still leads, in seconds.
CONFIRM_TIMEOUT_S = 1.0
# Interval of comparisons of the versions that entry hosts report, in seconds.
ROLLOUT_INTERVAL_S = 0.1
# Time before a primary outside the allowed regions is moved again after its target did
# not catch up, in seconds. Each attempt stops writes for up to `catch_up_s` (2 s).
REGION_MOVE_RETRY_S = 30.0


_OUTSIDE_REGIONS = "outside allowed regions"


class ControlOptions(typing.NamedTuple):
    """Options of a control host.

    Attributes
    ----------
    node : agreement_settings.NodeSettings
    data_folder : str
    lease_s : float
        Length of the leases of entry hosts, in seconds.
    groups : groups_settings.GroupSettings
    tolerance : relay_groups.Tolerance
        How far organisations may exceed their limits.
    peers : peer.Address
        Address at which this host answers other hosts.
    control_addresses : mapping of str to peer.Address
        Initial addresses of the control hosts, by their ids.
    voter_count : int
        Number of voters up to which control hosts that request to join are added.
    unresponsive_limit_s : float
        Time without contact after which such a host replaces a voter.
    zones : frozenset of str
        Availability zones that the settings name.
    region_by_zone : mapping of str to str
        Region of each availability zone; empty if unknown.
    """

    node: agreement_settings.NodeSettings
    data_folder: str
    lease_s: float
    groups: groups_settings.GroupSettings
    tolerance: relay_groups.Tolerance
    peers: peer.Address
    control_addresses: collections.abc.Mapping[str, peer.Address]
    voter_count: int
    unresponsive_limit_s: float
    zones: frozenset[str] = frozenset()
    region_by_zone: collections.abc.Mapping[str, str] = records.EMPTY_MAPPING


class RelayControl(control_core.ControlCore):
    """A control host whose configuration is a replicated document.

    Parameters
    ----------
    options : ControlOptions
    decode : documents.Decode
        Decodes the text of a configuration document.
    instance_control : instances.InstanceControl
        Reads the state of instances and promotes them.
    peer_server : server.Server
        Answers the calls of other hosts.
    driver : base.Driver
        Connects to backend servers.
    metrics_sender : metrics.Metrics
    rng : random.Random
    """

    def __init__(
        self,
        options: ControlOptions,
        decode: documents.Decode,
        instance_control: instances.InstanceControl,
        peer_server: server.Server,
        driver: base.Driver,
        metrics_sender: metrics.Metrics,
        rng: random.Random,
    ):
        self._options = options
        self._rng = rng
        self._instance_control = instance_control
        self.databases = database_machine.DocumentMachine()
        self.servers = server_machine.ServerMachine()
        self.view = database_machine.DocumentView(self.databases, decode)
        # Allowed regions by group, and the version of the document they are from.
        self._group_regions: tuple[int, dict[str, frozenset[str]]] = (0, {})
        self._document_section = database_sections.ControlSection(self.databases)
        self._rollout = rollout.Rollout()
        super().__init__(
            options.node,
            options.data_folder,
            options.lease_s,
            {
                database_machine.NAME: self.databases,
                server_machine.NAME: self.servers,
            },
            peer_server,
            driver,
            metrics_sender,
            rng,
            # Entry hosts listen for clients before they send heartbeats, so a second
            # process with the same IP address proves that the first has ended.
            is_address_exclusive=True,
            admission_options=relay_groups.ADMISSION,
        )
        self._primary_mover = primary_mover.DrainedPrimaryMover(
            self._find_moves, self.supervisor.move_primary
        )
        self._directory_replicator = server_machine.DirectoryReplicator(
            self.servers, self.directory, self.node.propose, self.is_leading
        )
        self.control_peers = heartbeat_client.ControlPeers(options.control_addresses)
        self._voter_manager = joining.VoterManager(
            self.node, options.voter_count, options.unresponsive_limit_s
        )
        self._join_requester = joining.JoinRequester(
            self.node,
            messages.JoinRequest(options.node.node_id, *options.peers),
            self.control_peers,
        )
        peer_server.register_handler(
            messages.JoinRequest, self._voter_manager.answer_join
        )

    def is_leading(self) -> bool:
        """Return whether a quorum has confirmed that this host leads."""
        return self.node.get_leadership(clocks.get_now_s()) is not None

    def get_leader_address(self) -> peer.Address | None:
        """Return the leader's address for messages, or None if it is unknown."""
        return self.node.leader_address

    def get_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, by name."""
        return {
            "is_leading": float(self.is_leading()),
            "configuration_version": self.databases.version,
            "configuration_hosts_behind": self._rollout.hosts_behind,
            "configuration_rollout_s": self._rollout.duration_s,
            "groups_version": self.groups.get_version(),
            "groups_fenced": len(self.groups.get_fenced()),
            "evacuated_zones": len(self._evacuations.zones),
            "backend_servers": len(self.directory.servers),
            "backend_servers_cold": sum(
                item.is_cold for item in self.directory.servers.values()
            ),
            "groups_outside_regions": self._count_groups_outside_regions(),
            "commit_index": self.node.commit_index,
            "applied_index": self.node.applied_index,
            "heartbeats": self.heartbeat_server.heartbeats,
            "heartbeats_whole": self.heartbeat_server.whole_heartbeats,
            **self.grantor.get_gauges(clocks.get_now_s()),
        }

    async def replace_document(self, version: int, text: bytes) -> int:
        """Replace the document in force if the given version is higher.

        Parameters
        ----------
        version : int
        text : bytes
            The whole document.

        Returns
        -------
        int
            The version that is in force afterwards.

        Raises
        ------
        verdicts.RefusedError
            If this host does not lead, or if the outcome is unknown.
        """
        body = database_machine.build_command(version, text)
        try:
            answer = await self.node.propose(
                database_machine.NAME, body, PROPOSE_TIMEOUT_S
            )
        except errors.NotLeaderError as error:
            raise verdicts.build_not_run(503, "not_leader", str(error), 200) from error
        except errors.AgreementError as error:
            raise verdicts.build_may_have_run(
                503, "outcome_unknown", "send the same document again", 500
            ) from error
        return database_machine.decode_result(answer).version

    async def read_document(self) -> bytes:
        """Return the text of the newest document, or empty bytes if there is none.

        Raises
        ------
        verdicts.RefusedError
            If no quorum confirms that the document is the newest.
        """
        try:
            await self.node.read_barrier(CONFIRM_TIMEOUT_S)
        except errors.AgreementError as error:
            raise verdicts.build_not_run(503, "not_leader", str(error), 200) from error
        return self.databases.get_text()

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        for run in (
            self._primary_mover.run,
            self._directory_replicator.run,
            self._voter_manager.run,
            self._join_requester.run,
            self._watch_rollout,
        ):
            nursery.start_soon(tasks.run_restarting, run)
        # Not restarted, because connections are closed for good when it ends.
        nursery.start_soon(self.control_peers.run)

    def _build_group_options(self) -> control_core.GroupOptions:
        servers = relay_groups.RelayDirectory(
            lambda: self.directory.servers, lambda: self.view.document
        )
        return control_core.GroupOptions(
            servers,
            self._options.groups,
            self._get_promotion_rank,
            self._instance_control,
        )

    def _register_sections(self) -> None:
        super()._register_sections()
        self.heartbeat_server.register_section(
            database_machine.NAME, self._document_section
        )
        self.heartbeat_server.register_section(
            section_names.HEALTH, routing_sections.ControlSection(self._rng)
        )

    async def _watch_rollout(self) -> None:
        while True:
            now_s = clocks.get_now_s()
            leadership = self.node.get_leadership(now_s)
            if leadership is not None:
                self._rollout.update(
                    rollout.Target(self.databases.version, leadership.term),
                    lambda: self._get_holder_ids(clocks.get_now_s()),
                    self._document_section.get_reported_versions(),
                    now_s,
                )
            await trio.sleep(ROLLOUT_INTERVAL_S)

    def _build_directory(self, rng: random.Random) -> directory.ControlDirectory:
        return directory.ControlDirectory(rng, lambda: self.servers.servers)

    def _build_members_section(self) -> member_sections.ControlSection:
        # Not urgent: hosts notice an unreachable holder themselves. If every member
        # that registers made all hosts send a heartbeat, a start of many hosts would
        # take the leader a quadratic number of heartbeats.
        return member_sections.ControlSection(self.members, is_urgent=False)

    def _build_shares(self) -> shares.ControlShares:
        # Not strict: instances themselves refuse connections beyond their limit.
        return shares.ControlShares(self._get_holder_ids, is_strict=False)

    def _list_zones(self) -> set[str]:
        return super()._list_zones() | self._options.zones

    def _get_limits(self) -> dict[str, admission_settings.Limit]:
        return relay_groups.build_limits(self.view.document, self._options.tolerance)

    def _get_configuration_version(self) -> int:
        return self.databases.version

    def _get_promotion_rank(self, group: str, instance: str) -> tuple:
        """Rank instances by whether they may stay primary, then by name.

        Those that have announced their end come last, before them those outside the
        allowed regions of the group's databases. Otherwise, cold ones come last.
        """
        item = self.directory.servers.get(instance)
        is_leaving = item is None or item.is_leaving
        is_outside = item is not None and self._is_outside_regions(group, item)
        is_cold = item is not None and item.is_cold
        return ((is_leaving, is_outside), (is_cold, instance))

    def _get_acknowledged_after(self, group: str) -> positions.Position | None:
        configured = self.view.document.groups.get(group)
        if configured is None or configured.sync_replicas == 0:
            # The primary alone may have the acknowledged commits.
            return None
        return super()._get_acknowledged_after(group)

    def _is_outside_regions(self, group: str, item: directory.BackendServer) -> bool:
        """Return whether a database of the group may not use an instance."""
        document = self.view.document
        if self._group_regions[0] != document.version:
            regions_by_group = documents.build_group_regions(document)
            self._group_regions = (document.version, regions_by_group)
        restrictions = eligibility.Restrictions(
            allowed_regions=self._group_regions[1].get(group),
            region_by_zone=self._options.region_by_zone,
        )
        return eligibility.is_outside_regions(item, restrictions)

    def _count_groups_outside_regions(self) -> int:
        servers = self.directory.servers
        return sum(
            group.primary in servers
            and self._is_outside_regions(group.group, servers[group.primary])
            for group in self.groups.get_groups()
        )

    def _find_moves(self, now_s: float) -> list[primary_mover.PrimaryMove]:
        """Return the moves of primaries that cannot stay where they are.

        These have announced that they will end, are in an evacuated availability zone,
        or are outside the allowed regions of the group's databases while an instance
        inside them is announced.
        """
        if self.node.get_leadership(now_s) is None:
            return []
        servers = self.directory.servers
        moves = []
        for group in self.groups.get_groups():
            primary = servers.get(group.primary)
            if primary is None:
                continue
            reason = self._find_reason_to_move(group.group, primary)
            if reason is None:
                continue
            targets = self._list_targets(group, servers)
            if reason == _OUTSIDE_REGIONS:
                # A move from one instance outside the regions to another gains nothing.
                targets = [
                    target
                    for target in targets
                    if not self._is_outside_regions(group.group, servers[target])
                ]
            if targets:
                moves.append(_build_move(group.group, targets, reason))
        return moves

    def _find_reason_to_move(
        self, group: str, primary: directory.BackendServer
    ) -> str | None:
        """Return why a primary cannot stay, None if it can."""
        if primary.is_leaving:
            return "leaving"
        if not self._may_promote(primary.instance):
            return "availability zone evacuated"
        if self._is_outside_regions(group, primary):
            return _OUTSIDE_REGIONS
        return None

    def _list_targets(
        self, group: ttypes.Group, servers: dict[str, directory.BackendServer]
    ) -> list[str]:
        """Return the instances that may become the primary, best first."""
        candidates = [
            name
            for name in group.instances
            if name != group.primary
            and name in servers
            and not servers[name].is_leaving
            and self._may_promote(name)
        ]
        return sorted(
            candidates,
            key=lambda name: self._get_promotion_rank(group.group, name),
        )


def _build_move(
    group: str, targets: list[str], reason: str
) -> primary_mover.PrimaryMove:
    retry_delay_s = REGION_MOVE_RETRY_S if reason == _OUTSIDE_REGIONS else 0.0
    best, *alternatives = targets
    return primary_mover.PrimaryMove(
        group, best, reason, retry_delay_s, tuple(alternatives)
    )
