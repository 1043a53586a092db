"""One daemon process on the platform: startup, settings reloads and shutdown."""

import os
import pathlib
import random
import signal
import threading
import time

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.observability import exposition
from sedgeswitch.observability import lines
from sedgeswitch.observability import stages
from sedgeswitch.observability import statistics
from sedgeswitch.platform import documents
from sedgeswitch.platform import settings as platform_settings
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks

READINESS_PATH = "/-/readiness"
# Path and port of the metrics endpoint, as given in the deployment file.
METRICS_PATH = "/metrics"
METRICS_PORT = 9464
MAX_METRICS_CONNECTIONS = 10
# Interval of the log lines with the values of all metrics, in seconds. They are the
# only record of a fleet whose metrics are not collected.
STATISTICS_INTERVAL_S = 10.0
HEARTBEAT_INTERVAL_S = 0.5
# Interval at which the settings file is checked for changes, in seconds.
SETTINGS_INTERVAL_S = 1.0
# Parts of the grace time that are reserved for releasing the lease and for ending
# the process, in seconds, both counted back from SIGKILL.
LEASE_RELEASE_MARGIN_S = 1.0
EXIT_MARGIN_S = 0.4
# Part of the grace time before SIGKILL at which the process ends whatever its tasks do,
# in seconds. Cancelling 1,500 tasks takes up to 0.09 s of processor time, which is
# 0.25 s on 0.36 of a core.
FORCED_EXIT_MARGIN_S = 0.15
EXIT_OK = 0
# A configuration document may hold thousands of databases.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 2000
GROUP_SETTINGS = groups_settings.GroupSettings(
    # A primary acknowledges a write once any replica has it.
    any_replica_confirms=True,
    promote_timeout_s=5.0,
    removal_delay_s=5.0,
    replica_interval_s=1.5,
    # Shorter than the heartbeat interval, so that each heartbeat answer carries a
    # current position for reads with bounded staleness.
    observation_interval_s=0.4,
    observed_groups=8,
    # Relay sessions learn positions of replicas from the replies of these.
    observes_replicas=False,
    # An instance that serves all requests of its group alone is slow to accept a
    # connection.
    read_timeout_s=1.0,
)


async def run(
    path: pathlib.Path,
    settings: platform_settings.PlatformSettings,
    rng: random.Random,
    log: lines.LineBuffer,
) -> None:
    """Run the roles that the settings name until SIGTERM or SIGINT."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(log.run)
            process = Process(path, settings, rng, log)
            await process.start(nursery)
            loguru.logger.info(
                "started",
                serves_control=settings.serves_control,
                seeds=[str(seed) for seed in settings.seeds],
            )
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                process.reload("signal")
            start_exit_timer(process.grace_s, log)
            await process.shut_down()
            nursery.cancel_scope.cancel()
    loguru.logger.info("stopped")


def start_exit_timer(grace_s: float, log: lines.LineBuffer) -> None:
    """End the process shortly before the end of its grace time.

    The timer is a thread of its own, because the tasks may still be busy or shielded
    from cancellation. State that was acknowledged is on disk by then.

    Parameters
    ----------
    grace_s : float
        Time until SIGKILL, in seconds.
    log : lines.LineBuffer
        Flushed before the exit.
    """
    delay_s = max(grace_s - FORCED_EXIT_MARGIN_S, 0.0)
    timer = threading.Timer(delay_s, _force_exit, (log,))
    timer.daemon = True
    timer.start()


def _force_exit(log: lines.LineBuffer) -> None:
    try:
        loguru.logger.warning("stopped at the end of the grace time")
        log.flush()
    finally:
        os._exit(EXIT_OK)


class Process:
    """The roles of one process: entry host, control host or both.

    Parameters
    ----------
    path : pathlib.Path
        The settings file.
    settings : platform_settings.PlatformSettings
        The settings that were loaded from it.
    rng : random.Random
    log : lines.LineBuffer
        Buffer of the log output; its dropped lines are counted in a metric.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: platform_settings.PlatformSettings,
        rng: random.Random,
        log: lines.LineBuffer,
    ):
        self._log = log
        self._path = path
        self._settings = settings
        self._rng = rng
        self._router = routes.Router()
        self._http = routes.HttpServer(
            self._router.handle,
            connections.Limits(max_body_bytes=MAX_BODY_BYTES),
            MAX_CONNECTIONS,
        )
        self._metrics_router = routes.Router()
        self._metrics_http = routes.HttpServer(
            self._metrics_router.handle, connections.Limits(), MAX_METRICS_CONNECTIONS
        )
        self._entry = None
        self._client_server = None
        self._control = None
        self._is_shutting_down = False

    @property
    def grace_s(self) -> float:
        """Time from a stop signal to SIGKILL, in seconds."""
        return self._settings.grace_s

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the roles and their listeners."""
        if self._settings.serves_control:
            await self._start_control(nursery)
        if self._settings.serves_clients:
            await self._start_entry(nursery)
        nursery.start_soon(self._watch_settings)
        nursery.start_soon(tasks.run_restarting, self._log_statistics)
        self._metrics_router.register_route("GET", METRICS_PATH, self._answer_metrics)
        await nursery.start(self._metrics_http.serve, self._settings.ip, METRICS_PORT)

    def reload(self, reason: str) -> None:
        """Reload the settings file; keep the current settings if it is invalid.

        Running roles add the addresses of control hosts from the new settings, and a
        shutdown uses the new grace time. All other settings take effect at the next
        start only.

        Parameters
        ----------
        reason : str
            What caused the reload, for the log.
        """
        try:
            loaded = platform_settings.load_settings(self._path)
        except (checks.CheckError, OSError) as error:
            loguru.logger.warning("settings not reloaded: {}", error)
            return
        if loaded == self._settings:
            return
        self._settings = loaded
        loguru.logger.info(
            "settings reloaded", reason=reason, seeds=[str(x) for x in loaded.seeds]
        )
        if self._entry is not None:
            self._entry.control_peers.add_addresses(loaded.control_peers)
        if self._control is not None:
            self._control.control_peers.add_addresses(loaded.control_peers)

    async def shut_down(self) -> None:
        """Drain connections and release the lease within the grace time."""
        loguru.logger.info("stopping", grace_s=self._settings.grace_s)
        self._is_shutting_down = True
        if self._entry is not None:
            self._entry.stop_holding()
        with trio.move_on_after(self._settings.grace_s - EXIT_MARGIN_S):
            if self._client_server is not None:
                await self._client_server.drain(
                    self._settings.grace_s - LEASE_RELEASE_MARGIN_S
                )
            if self._entry is not None:
                await self._entry.leave()

    async def _start_control(self, nursery: trio.Nursery) -> None:
        # Imported here so that a process without this role does not load the modules.
        from sedgeswitch.daemon import relay_control
        from sedgeswitch.observability import metrics
        from sedgeswitch.platform import instance_driver
        from sedgeswitch.platform import operator_edge
        from sedgeswitch.platform import promotions

        settings = self._settings
        driver = instance_driver.LineDriver()
        client = promotions.PromotionClient(
            settings.promotions, settings.host_name, self._is_leader_in_term
        )
        serving = server.Server()
        port = settings.internal_port + platform_settings.CONTROL_PORT_INDEX
        options = relay_control.ControlOptions(
            _build_node_settings(settings),
            settings.data_folder,
            platform_settings.LEASE_S,
            GROUP_SETTINGS,
            settings.tolerance,
            peer.Address(settings.ip, port),
            settings.control_peers,
            settings.voter_count,
            settings.unresponsive_limit_s,
            frozenset([settings.availability_zone, *settings.region_by_zone]),
            settings.region_by_zone,
        )
        self._control = relay_control.RelayControl(
            options,
            documents.read_document,
            instance_driver.PlatformInstanceControl(driver, client.promote),
            serving,
            driver,
            metrics.Metrics(),
            self._rng,
        )
        edge = operator_edge.OperatorEdge(self._control, settings.control.port)
        edge.register_routes(self._router)
        await nursery.start(serving.serve, settings.ip, port)
        nursery.start_soon(self._control.run)
        await nursery.start(self._http.serve, *settings.control)

    async def _start_entry(self, nursery: trio.Nursery) -> None:
        from sedgeswitch.daemon import relay_entry
        from sedgeswitch.platform import client_server
        from sedgeswitch.platform import instance_driver

        settings = self._settings
        port = settings.internal_port + platform_settings.ENTRY_PORT_INDEX
        options = relay_entry.EntryOptions(
            settings.host_name,
            settings.availability_zone,
            peer.Address(settings.ip, port),
            settings.control_peers,
            HEARTBEAT_INTERVAL_S,
            GROUP_SETTINGS,
            settings.tolerance,
            settings.region_by_zone,
            settings.evacuation_bound_s,
            reads_near_primary=settings.has_several_zones_per_region,
            scheduling=settings.scheduling,
        )
        serving = server.Server()
        self._entry = relay_entry.RelayEntry(
            options,
            documents.read_document,
            instance_driver.LineDriver(),
            serving,
            self._rng,
        )
        await nursery.start(serving.serve, settings.ip, port)
        self._client_server = client_server.ClientServer(self._entry.build_session)
        await nursery.start(self._client_server.serve, *settings.clients)
        nursery.start_soon(self._entry.run)
        self._router.register_route("GET", READINESS_PATH, self._answer_readiness)
        if not settings.serves_control:
            await nursery.start(self._http.serve, *settings.readiness)

    def _is_leader_in_term(self, term: int) -> bool:
        leadership = self._control.node.get_leadership(clocks.get_now_s())
        return leadership is not None and leadership.term == term

    async def _answer_metrics(
        self,
        request: http.Request,  # noqa: ARG002
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        oldest = stages.list_oldest(trio.current_time())
        text = exposition.build_text(self._get_gauges(), oldest)
        return http.Response(200, text, exposition.CONTENT_TYPE)

    def _get_gauges(self) -> dict[str, float]:
        gauges = {
            "log_lines_dropped": float(self._log.dropped),
            "processor_s": time.process_time(),
        }
        for role in (self._entry, self._control):
            if role is not None:
                gauges |= role.get_gauges()
        return gauges

    async def _log_statistics(self) -> None:
        while True:
            await trio.sleep(STATISTICS_INTERVAL_S)
            statistics.log_gauges(self._get_gauges())
            if self._entry is not None:
                statistics.log_stages()

    async def _answer_readiness(
        self,
        request: http.Request,  # noqa: ARG002
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        if self._is_shutting_down or not self._entry.is_ready(clocks.get_now_s()):
            raise verdicts.build_not_run(
                503,
                "not_ready",
                "this host has no lease or no configuration, or is shutting down",
            )
        return http.build_json({"status": "ready"})

    async def _watch_settings(self) -> None:
        last_modified_ns = self._path.stat().st_mtime_ns
        while True:
            await trio.sleep(SETTINGS_INTERVAL_S)
            try:
                modified_ns = self._path.stat().st_mtime_ns
            except OSError as error:
                loguru.logger.warning("settings file not found: {}", error)
                continue
            if modified_ns != last_modified_ns:
                last_modified_ns = modified_ns
                self.reload("file changed")


def _build_node_settings(
    settings: platform_settings.PlatformSettings,
) -> agreement_settings.NodeSettings:
    voters = ()
    if settings.is_bootstrap and settings.control_id in settings.control_peers:
        voters = tuple(
            agreement_settings.VoterAddress(host_id, *address)
            for host_id, address in sorted(settings.control_peers.items())
        )
    return agreement_settings.NodeSettings(settings.control_id, voters)
