"""The control role: the agreed state, leases, grants and changes of primary."""

import pathlib
import random
import typing

import trio

from sedgeswitch import settings as daemon_settings
from sedgeswitch import verdicts
from sedgeswitch.admission import grantor
from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import machines
from sedgeswitch.agreement import network
from sedgeswitch.agreement import node
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.configuration import distributor
from sedgeswitch.configuration import machine as configuration_machine
from sedgeswitch.configuration import operator_routes
from sedgeswitch.configuration import operators
from sedgeswitch.daemon import adapters
from sedgeswitch.daemon import status
from sedgeswitch.draining import mover
from sedgeswitch.draining import sections as draining_sections
from sedgeswitch.drivers import base
from sedgeswitch.groups import assignment
from sedgeswitch.groups import control as groups_control
from sedgeswitch.groups import control_section as groups_sections
from sedgeswitch.groups import failover
from sedgeswitch.groups import leases as groups_leases
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import supervisor
from sedgeswitch.membership import directory
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.membership import member_sections
from sedgeswitch.membership import messages as membership_messages
from sedgeswitch.membership import registrar
from sedgeswitch.observability import metrics
from sedgeswitch.pools import shares
from sedgeswitch.transport import peer
from sedgeswitch.transport import server

CONFIGURATION = configuration_machine.NAME
GROUPS = "groups"
DIRECTORY = "directory"
DRAINING = "draining"
MEMBERS = "members"
SHARES = "shares"
LOG_FOLDER = "agreement"
REPLACE_TIMEOUT_S = 30.0


class ControlHost:
    """Everything that a control host runs.

    Parameters
    ----------
    settings : daemon_settings.Settings
    serving : server.Server
        Answers the calls of other hosts.
    driver : base.Driver
    gauges : metrics.Metrics
    rng : random.Random
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        serving: server.Server,
        driver: base.Driver,
        gauges: metrics.Metrics,
        rng: random.Random,
    ):
        self._settings = settings
        self._metrics = gauges
        self.configuration = configuration_machine.ConfigurationMachine()
        self.groups = groups_machine.GroupsMachine()
        self.members = members_machine.MembersMachine()
        self.network = network.TransportNetwork(serving)
        self.node = self._build_node(rng)
        self.registrar = registrar.Registrar(self.node, self.members, settings.lease_s)
        self.directory = directory.ControlDirectory(rng)
        self.distributor = distributor.Distributor(self.configuration)
        self.draining = draining_sections.ControlSection(self._get_holder_ids)
        self.grantor = grantor.Grantor(lambda: self.members.members.keys())
        self._limits_version = -1
        self._build_groups(driver)
        self._register_sections()
        self._register_handlers(serving)
        self._mover = mover.Mover(self._find_moves, self.supervisor.move_primary)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.node.run)
            nursery.start_soon(self.registrar.run)
            nursery.start_soon(self.supervisor.run)
            nursery.start_soon(self._mover.run)

    def register_routes(self, router: routes.Router) -> None:
        """Register the operators' endpoints."""
        self._services = operators.Services(
            machine=self.configuration,
            distributor=self.distributor,
            propose=self._propose_change,
            is_leader=lambda now_s: self.node.get_leadership(now_s) is not None,
            get_leader_address=self._get_leader_address,
            list_entry_hosts=self._get_holder_ids,
            status_providers=status.build_providers(self),
            move_primary=self._move_primary,
            replace_voter=self._replace_voter,
            operator_token_digest=self._settings.operator_token_digest,
        )
        router.register_fallback(self._answer_operator)

    async def _answer_operator(self, request: http.Request) -> http.Response:
        response = await operator_routes.handle(
            self._services,
            operator_routes.OperatorRequest(
                request.method,
                request.path,
                request.headers.get("authorization"),
                request.body,
            ),
            trio.current_time(),
        )
        return http.Response(response.status, response.body, response.content_type)

    def _build_node(self, rng: random.Random) -> node.Node:
        registry = machines.Registry()
        registry.register_machine(CONFIGURATION, self.configuration)
        registry.register_machine(GROUPS, self.groups)
        registry.register_machine(registrar.SLICE_NAME, self.members)
        folder = pathlib.Path(self._settings.data_folder) / LOG_FOLDER
        folder.mkdir(parents=True, exist_ok=True)
        storage = sqlite_storage.SqliteStorage(folder)
        given = self._settings.agreement
        voters = tuple(
            agreement_settings.VoterAddress(host.host_id, host.host, host.port)
            for host in self._settings.control_hosts
        )
        return node.Node(
            agreement_settings.NodeSettings(
                node_id=self._settings.host_id,
                bootstrap_voters=voters,
                heartbeat_interval_s=given.append_interval_s,
                election_timeout_min_s=given.election_timeout_s,
                election_timeout_max_s=2 * given.election_timeout_s,
                snapshot_every_entries=given.snapshot_entries,
            ),
            storage,
            self.network,
            registry,
            rng,
        )

    def _build_groups(self, driver: base.Driver) -> None:
        given = groups_settings.GroupSettings()
        self.groups_section = groups_sections.ControlSection(
            self.groups, self._get_live_hosts, given
        )
        given_control = groups_control.Control(
            machine=self.groups,
            propose=self.node.propose,
            get_leadership=self.node.get_leadership,
            leases=self,
            directory=adapters.GroupDirectory(
                lambda: self.directory.servers,
                lambda: self.configuration.document,
                adapters.hide_none,
            ),
            driver=driver,
            settings=given,
            get_rank=self._get_rank,
            record_report=self._record_failover,
        )
        self.supervisor = supervisor.Supervisor(given_control, self.groups_section)

    def _register_sections(self) -> None:
        register = self.registrar.register_section
        register(CONFIGURATION, self.distributor)
        register(GROUPS, self.groups_section)
        register(DIRECTORY, self.directory)
        register(DRAINING, self.draining)
        register(SHARES, shares.ControlShares(self._get_holder_ids))
        register(MEMBERS, member_sections.ControlSection(self.members))
        self.registrar.register_leadership_listener(self._start_grants)

    def _register_handlers(self, serving: server.Server) -> None:
        register = serving.register_handler
        register(membership_messages.Heartbeat, self.registrar.answer_heartbeat)
        register(membership_messages.Watch, self.registrar.answer_watch)
        register(admission_messages.Draw, self._answer_draw)

    def get_holders(self, now_s: float) -> dict[str, groups_leases.HolderView]:
        """Return the leases as a change of primary looks at them."""
        return {
            member.host_id: groups_leases.HolderView(
                self.registrar.leases.get_until(member.host_id),
                self.groups_section.get_acknowledged_version(member.host_id),
            )
            for member in self.registrar.get_holders(now_s)
        }

    def _get_holder_ids(self, now_s: float) -> list[str]:
        holders = self.registrar.get_holders(now_s)
        return [member.host_id for member in holders]

    def _get_live_hosts(self, now_s: float) -> list[assignment.EntryHost]:
        return [
            assignment.EntryHost(member.host_id, member.availability_zone)
            for member in self.registrar.get_holders(now_s)
        ]

    def _get_rank(self, group: str, instance: str) -> tuple:  # noqa: ARG002
        """Prefer instances that no drain covers, then a fixed order."""
        server_ = self.directory.servers.get(instance)
        document = self.configuration.document
        is_bad = server_ is None or adapters.is_drained(document, server_)
        return (is_bad, instance)

    def _record_failover(self, report: failover.FailoverReport) -> None:
        self._metrics.count("groups.failovers")
        for name, value in report._asdict().items():
            if name.endswith("_s"):
                self._metrics.record_duration(f"groups.failover.{name}", value)

    def _start_grants(self, now_s: float, term: int) -> None:
        self._follow_limits(now_s)
        self.grantor.start_leadership(now_s, term)

    def _follow_limits(self, now_s: float) -> None:
        if self._limits_version == self.configuration.version:
            return
        limits = adapters.build_limits(self.configuration.document)
        self.grantor.set_limits(limits, now_s)
        self._limits_version = self.configuration.version

    async def _answer_draw(
        self, request: admission_messages.Draw
    ) -> admission_messages.DrawReply:
        self.registrar.check_leading()
        now_s = trio.current_time()
        self._follow_limits(now_s)
        return self.grantor.draw(request, now_s)

    async def _propose_change(self, body: bytes) -> bytes:
        timeout_s = self._settings.agreement.propose_timeout_s
        try:
            return await self.node.propose(CONFIGURATION, body, timeout_s)
        except errors.NotLeaderError as error:
            raise verdicts.build_not_run(
                operators.NOT_LEADER_STATUS, operators.NOT_LEADER_CODE, str(error)
            ) from error
        except errors.AgreementError as error:
            raise verdicts.build_may_have_run(
                503, "outcome_unknown", "send the same change again", 500
            ) from error

    def _get_leader_address(self) -> str | None:
        for host in self._settings.control_hosts:
            if host.host_id == self.node.leader_id:
                return f"{host.host}:{host.http_port}"
        return None

    async def _move_primary(self, group: str, instance: str) -> None:
        await self.supervisor.move_primary(group, instance)

    async def _replace_voter(self, old: str, new: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        timeout_s = REPLACE_TIMEOUT_S
        try:
            await self.node.replace_voter(
                old, new, peer.Address(host, int(port)), timeout_s
            )
        except (errors.AgreementError, ValueError) as error:
            raise verdicts.build_not_run(409, "not_replaced", str(error)) from error

    def _find_moves(self, now_s: float) -> list[mover.Move]:
        if self.node.get_leadership(now_s) is None:
            return []
        moves = []
        for group in list(self.groups.get_groups()):
            target = self._find_target(group)
            if target is not None:
                moves.append(mover.Move(group.group, target))
        return moves

    def _find_target(self, group: typing.Any) -> str | None:
        """Return where a drained primary should move, None if it may stay."""
        servers = self.directory.servers
        document = self.configuration.document
        primary = servers.get(group.primary)
        if primary is None or not adapters.is_drained(document, primary):
            return None
        others = [
            servers[instance]
            for instance in group.instances
            if instance in servers and instance != group.primary
        ]
        eligible = [item for item in others if not adapters.is_drained(document, item)]
        if not eligible:
            return None
        return min(item.instance for item in eligible)
