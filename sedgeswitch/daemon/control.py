"""The control role of a fleet that operators configure by changes."""

import random
import typing

import trio

from sedgeswitch import settings as daemon_settings
from sedgeswitch import verdicts
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.configuration import distributor
from sedgeswitch.configuration import machine as configuration_machine
from sedgeswitch.configuration import operator_routes
from sedgeswitch.configuration import operators
from sedgeswitch.daemon import adapters
from sedgeswitch.daemon import control_core
from sedgeswitch.daemon import status
from sedgeswitch.draining import primary_mover
from sedgeswitch.draining import sections as draining_sections
from sedgeswitch.drivers import base
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.observability import metrics
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks

CONFIGURATION = configuration_machine.NAME
DRAINING = "draining"
REPLACE_TIMEOUT_S = 30.0


class ControlHost(control_core.ControlCore):
    """A control host whose configuration is a replicated set of records.

    Parameters
    ----------
    settings : daemon_settings.Settings
    peer_server : server.Server
        Answers the calls of other hosts.
    driver : base.Driver
        Connects to backend servers.
    metrics_sender : metrics.Metrics
    rng : random.Random
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        peer_server: server.Server,
        driver: base.Driver,
        metrics_sender: metrics.Metrics,
        rng: random.Random,
    ):
        self._settings = settings
        self.configuration = configuration_machine.ConfigurationMachine()
        self.distributor = distributor.Distributor(self.configuration)
        self.draining = draining_sections.ControlSection(self._get_holder_ids)
        super().__init__(
            _build_node_settings(settings),
            settings.data_folder,
            settings.lease_s,
            {CONFIGURATION: self.configuration},
            peer_server,
            driver,
            metrics_sender,
            rng,
        )
        self._primary_mover = primary_mover.DrainedPrimaryMover(
            self._find_moves, self.supervisor.move_primary
        )

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(tasks.run_restarting, self._primary_mover.run)

    def register_routes(self, router: routes.Router) -> None:
        """Register the HTTP endpoints for operators."""
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
            evacuations=self.evacuations,
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
            clocks.get_now_s(),
        )
        return http.Response(response.status, response.body, response.content_type)

    def _build_group_options(self) -> control_core.GroupOptions:
        servers = adapters.GroupDirectory(
            lambda: self.directory.servers,
            lambda: self.configuration.document,
            adapters.exclude_none,
        )
        return control_core.GroupOptions(
            servers, groups_settings.GroupSettings(), self._get_promotion_rank
        )

    def _register_sections(self) -> None:
        super()._register_sections()
        self.heartbeat_server.register_section(CONFIGURATION, self.distributor)
        self.heartbeat_server.register_section(DRAINING, self.draining)

    def _list_zones(self) -> set[str]:
        return super()._list_zones() | {self._settings.availability_zone}

    def _get_limits(self) -> dict[str, admission_settings.Limit]:
        return adapters.build_limits(self.configuration.document)

    def _get_configuration_version(self) -> int:
        return self.configuration.version

    def _get_promotion_rank(self, group: str, instance: str) -> tuple:  # noqa: ARG002
        """Rank instances that are not drained first, then by name."""
        backend_server = self.directory.servers.get(instance)
        document = self.configuration.document
        is_unsuitable = backend_server is None or adapters.is_drained(
            document, backend_server
        )
        return (is_unsuitable, instance)

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

    def _find_moves(self, now_s: float) -> list[primary_mover.PrimaryMove]:
        if self.node.get_leadership(now_s) is None:
            return []
        moves = []
        for group in list(self.groups.get_groups()):
            targets = self._list_targets(group)
            if targets:
                best, *others = targets
                moves.append(
                    primary_mover.PrimaryMove(
                        group.group, best, alternatives=tuple(others)
                    )
                )
        return moves

    def _list_targets(self, group: typing.Any) -> list[str]:
        """Return the instances to which a drained or evacuated primary may move.

        Best first; empty if the primary is neither, or no other one is available.
        """
        servers = self.directory.servers
        document = self.configuration.document
        primary = servers.get(group.primary)
        if primary is None:
            return []
        may_stay = self._may_promote(primary.instance)
        if may_stay and not adapters.is_drained(document, primary):
            return []
        others = [
            servers[instance]
            for instance in group.instances
            if instance in servers and instance != group.primary
        ]
        return sorted(
            item.instance
            for item in others
            if self._may_promote(item.instance)
            and not adapters.is_drained(document, item)
        )


def _build_node_settings(
    settings: daemon_settings.Settings,
) -> agreement_settings.NodeSettings:
    agreement = settings.agreement
    voters = tuple(
        agreement_settings.VoterAddress(host.host_id, host.host, host.port)
        for host in settings.control_hosts
    )
    return agreement_settings.NodeSettings(
        node_id=settings.host_id,
        bootstrap_voters=voters,
        heartbeat_interval_s=agreement.append_interval_s,
        election_timeout_min_s=agreement.election_timeout_s,
        election_timeout_max_s=2 * agreement.election_timeout_s,
        snapshot_every_entries=agreement.snapshot_entries,
    )
