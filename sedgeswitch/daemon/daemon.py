"""A daemon process: its listeners, its roles and its shutdown."""

import pathlib
import random
import signal

import loguru
import trio

from sedgeswitch import settings as daemon_settings
from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.daemon import control
from sedgeswitch.daemon import entry
from sedgeswitch.drivers import base
from sedgeswitch.drivers import postgres
from sedgeswitch.keys import key_format
from sedgeswitch.observability import metrics
from sedgeswitch.observability import traces
from sedgeswitch.transport import server
from sedgeswitch.transport import traffic

HEALTH_PATH = "/v1/health"
TRAFFIC_PATH = "/v1/traffic"
DRIVER = "postgres"
TRACE_FILE = "traces.jsonl"
# Time in which the load balancer can detect the failing health check, before the
# connections of callers are drained.
LINGER_S = 1.0
DRAIN_TIMEOUT_S = 60.0

# The import registers the driver.
_ = postgres


class Daemon:
    """A daemon that runs the entry role, the control role or both.

    Parameters
    ----------
    settings : daemon_settings.Settings
        Include the roles that this process runs.
    rng : random.Random
    """

    def __init__(self, settings: daemon_settings.Settings, rng: random.Random):
        self._settings = settings
        self._is_leaving = False
        self._peer_server = server.Server()
        self._router = routes.Router()
        self._router.register_route("GET", HEALTH_PATH, self._answer_health)
        self._router.register_route("GET", TRAFFIC_PATH, _answer_traffic)
        self._metrics = _build_metrics(settings)
        driver = base.build_driver(DRIVER)
        self._control: control.ControlHost | None = None
        self._entry: entry.EntryHost | None = None
        if daemon_settings.CONTROL_ROLE in settings.roles:
            self._control = control.ControlHost(
                settings, self._peer_server, driver, self._metrics, rng
            )
            self._control.register_routes(self._router)
        if daemon_settings.ENTRY_ROLE in settings.roles:
            tracer = _build_tracer(settings, rng)
            self._entry = entry.EntryHost(
                settings, self._peer_server, driver, self._metrics, tracer, rng
            )
            self._entry.register_routes(self._router)
        self._http = routes.HttpServer(
            self._router.handle,
            _build_limits(settings.requests),
            settings.requests.max_connections,
        )

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                loguru.logger.info("serving as {}", ", ".join(self._settings.roles))
                task_status.started()
                async for _signal in signals:
                    break
                await self._shut_down()
                nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self._peer_server.serve, *self._settings.peers)
        if self._control is not None:
            nursery.start_soon(self._control.run)
        if self._entry is not None:
            nursery.start_soon(self._entry.run)
        await nursery.start(self._http.serve, *self._settings.callers)

    async def _shut_down(self) -> None:
        loguru.logger.info(
            "shutting down: health checks fail and connections are drained"
        )
        self._is_leaving = True
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            await self._http.drain(LINGER_S)
        if self._entry is not None:
            await self._entry.leave()
        loguru.logger.info("shut down")

    async def _answer_health(
        self,
        request: http.Request,  # noqa: ARG002
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        """Answer the health check of the load balancer.

        Raises
        ------
        verdicts.RefusedError
            503 if the host is shutting down or not ready for callers.
        """
        if self._is_leaving:
            raise entry.build_not_ready()
        now_s = trio.current_time()
        if self._entry is not None and not self._entry.is_ready(now_s):
            raise entry.build_not_ready()
        return http.build_json({"status": "ready"})


async def _answer_traffic(
    request: http.Request,  # noqa: ARG001
    values: tuple[str, ...],  # noqa: ARG001
) -> http.Response:
    """Answer with the traffic between this process and other hosts, by message."""
    process_traffic = traffic.PROCESS_TRAFFIC
    return http.build_json(
        {"sent": process_traffic.sent, "received": process_traffic.received}
    )


def _build_limits(requests: daemon_settings.Requests) -> connections.Limits:
    return connections.Limits(
        max_body_bytes=requests.max_body_bytes,
        request_timeout_s=requests.header_timeout_s,
        idle_timeout_s=requests.idle_timeout_s,
    )


def _build_metrics(settings: daemon_settings.Settings) -> metrics.Metrics:
    if settings.statsd is None:
        return metrics.Metrics()
    return metrics.build_metrics(*settings.statsd)


def _build_tracer(
    settings: daemon_settings.Settings, rng: random.Random
) -> traces.Tracer:
    path = None
    if settings.trace_sample_share > 0:
        folder = pathlib.Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / TRACE_FILE
    return traces.Tracer(
        settings.host_id, path, settings.trace_sample_share, rng, key_format.redact
    )
