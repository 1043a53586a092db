"""HTTP endpoints for the platform's operators and for heartbeats of instances."""

import collections.abc

import loguru

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.daemon import relay_control
from sedgeswitch.platform import announcements
from sedgeswitch.platform import documents
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks

CONFIGURATION_PATH = "/-/config"
INSTANCE_PATH = "/-/instances/{id}"
EVACUATIONS_PATH = "/-/evacuations"
EVACUATION_PATH = EVACUATIONS_PATH + "/{zone}"
# Retry delay suggested to clients while there is no leader or no configuration, in
# milliseconds.
RETRY_AFTER_MS = 200

Endpoint = collections.abc.Callable[..., collections.abc.Awaitable[http.Response]]


class OperatorEdge:
    """Handles requests of operators and instances on the leader.

    Other control hosts redirect to the leader.

    Parameters
    ----------
    control : relay_control.RelayControl
    control_port : int
        Port of these endpoints, the same on every control host.
    """

    def __init__(self, control: relay_control.RelayControl, control_port: int):
        self._control = control
        self._control_port = control_port
        self._heartbeat_filter = announcements.HeartbeatFilter()

    def register_routes(self, router: routes.Router) -> None:
        """Register the endpoints with a router."""
        register = router.register_route
        register("PUT", CONFIGURATION_PATH, self._put_configuration)
        register("GET", CONFIGURATION_PATH, self._get_configuration)
        register("PUT", INSTANCE_PATH, self._put_instance)
        register("DELETE", INSTANCE_PATH, self._delete_instance)
        register("GET", EVACUATIONS_PATH, self._get_evacuations)
        register("POST", EVACUATION_PATH, self._post_evacuation)
        register("DELETE", EVACUATION_PATH, self._delete_evacuation)

    async def _put_configuration(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        try:
            document = documents.decode_document(request.body)
        except checks.CheckError as error:
            loguru.logger.info("configuration refused", reason=str(error))
            raise verdicts.build_not_run(400, "invalid", str(error)) from error
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        in_force = await self._control.replace_document(document.version, request.body)
        loguru.logger.info(
            "configuration acknowledged", version=document.version, in_force=in_force
        )
        return http.build_json({"version": in_force})

    async def _get_configuration(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        text = await self._control.read_document()
        if not text:
            raise verdicts.build_not_run(
                503,
                "no_configuration",
                "no configuration has been received yet",
                RETRY_AFTER_MS,
            )
        return http.Response(200, text)

    async def _put_instance(
        self, request: http.Request, values: tuple[str, ...]
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        groups = self._control.view.document.groups
        if not groups:
            raise verdicts.build_not_run(
                503,
                "no_configuration",
                "no configuration has been received yet",
                RETRY_AFTER_MS,
            )
        limits = {name: group.max_connections for name, group in groups.items()}
        limited = {name for name, group in groups.items() if group.cold_rate_per_s}
        try:
            announcement = announcements.decode_heartbeat(
                values[0], request.body, limits, limited
            )
        except checks.CheckError as error:
            raise verdicts.build_not_run(400, "invalid", str(error)) from error
        if self._heartbeat_filter.accept(announcement):
            self._record_announcement(announcement)
        return http.build_json({})

    def _record_announcement(self, announcement: announcements.Announcement) -> None:
        servers = self._control.directory
        for instance in self._heartbeat_filter.find_replaced(announcement):
            servers.remove_server(instance)
        recorded = servers.servers.get(announcement.server.instance)
        if recorded != announcement.server:
            loguru.logger.info(
                "instance announced",
                instance=announcement.server.instance,
                group=announcement.server.group,
                is_leaving=announcement.server.is_leaving,
                is_cold=announcement.server.is_cold,
                born_ms=announcement.born_ms,
            )
        servers.record_announcement(announcement.server, clocks.get_now_s())

    async def _delete_instance(
        self, request: http.Request, values: tuple[str, ...]
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        loguru.logger.info("instance withdrawn", instance=values[0])
        self._control.directory.remove_server(values[0])
        return http.build_json({})

    async def _get_evacuations(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        zones = await self._control.evacuations.list_evacuated()
        return http.build_json({"evacuations": zones})

    async def _post_evacuation(
        self, request: http.Request, values: tuple[str, ...]
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        await self._control.evacuations.start(values[0])
        return http.build_json({"zone": values[0]})

    async def _delete_evacuation(
        self, request: http.Request, values: tuple[str, ...]
    ) -> http.Response:
        redirect = self._find_redirect(request)
        if redirect is not None:
            return redirect
        await self._control.evacuations.end(values[0])
        return http.build_json({"zone": values[0]})

    def _find_redirect(self, request: http.Request) -> http.Response | None:
        """Return a redirect to the leader, None if this host is the leader.

        Raises
        ------
        verdicts.RefusedError
            503 if no leader is known, or if this host is the leader but no quorum has
            confirmed it.
        """
        if self._control.is_leading():
            return None
        address = self._control.get_leader_address()
        if address is None or self._control.node.is_leader:
            raise verdicts.build_not_run(
                503,
                "no_leader",
                "no control host is the leader at present",
                RETRY_AFTER_MS,
            )
        location = f"http://{address.host}:{self._control_port}{request.path}"
        return http.Response(307, b"{}", headers=(("Location", location),))
