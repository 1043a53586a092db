"""A fleet of real daemons on loopback, for benchmarks."""

import http.client
import json
import pathlib
import typing

from benchmarks import processes
from sedgeswitch import settings as daemon_settings
from sedgeswitch.utils import records

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 5.0
START_TIMEOUT_S = 120.0
ZONES = tuple(f"zone-{number}" for number in range(1, 8))


class Fleet:
    """Control hosts and entry hosts, each in its own process.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, logs and data.
    first_port : int
        Ports are assigned from this one upwards.
    control_count : int
    changes : mapping of str to object, optional
        Settings of the entry hosts that differ from the defaults.
    profiled : tuple of str
        Ids of the hosts that run under cProfile.

    Attributes
    ----------
    version : int
        Version of the configuration after the last change.
    control, entry : list of processes.Process
    control_hosts : tuple of settings.ControlHost
    callers_ports : dict of str to int
        Port for callers of each entry host, by id.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        first_port: int,
        control_count: int,
        changes: typing.Mapping[str, typing.Any] | None = None,
        profiled: tuple[str, ...] = (),
    ):
        self._folder = folder
        self._profiled = profiled
        self._next_port = first_port
        self._changes = changes or {}
        self.version = 0
        self.control: list[processes.Process] = []
        self.entry: list[processes.Process] = []
        self.control_hosts = tuple(
            daemon_settings.ControlHost(
                f"c{number}", HOST, self._take_port(), self._take_port()
            )
            for number in range(1, control_count + 1)
        )
        self.callers_ports: dict[str, int] = {}

    def start_control(self) -> None:
        """Start the control hosts and wait for a leader."""
        processes.exit_on_sigterm()
        for host in self.control_hosts:
            document = self._build_settings(host.host_id, ("control",), ZONES[0])
            document["callers"]["port"] = host.http_port
            document["peers"]["port"] = host.port
            self.control.append(self._start(document))
        processes.wait_until(self._has_leader, START_TIMEOUT_S, "a leader")

    def start_entry(self, count: int) -> None:
        """Start entry hosts until `count` are running, and wait for their leases."""
        for number in range(len(self.entry) + 1, count + 1):
            zone = ZONES[number % len(ZONES)]
            document = self._build_settings(f"e{number}", ("entry",), zone)
            document |= self._changes
            document["callers"]["port"] = self._take_port()
            document["peers"]["port"] = self._take_port()
            self.callers_ports[document["host_id"]] = document["callers"]["port"]
            self.entry.append(self._start(document))
        processes.wait_until(
            lambda: self._count_leases() >= count, START_TIMEOUT_S, "leases"
        )

    def stop(self) -> None:
        """Stop every process, entry hosts first."""
        processes.stop_all(self.entry)
        processes.stop_all(self.control)

    def find_leader(self) -> daemon_settings.ControlHost:
        """Return the control host that leads.

        Raises
        ------
        OSError
            If none answers as the leader, or a host contacted before the leader
            does not answer.
        """
        for host in self.control_hosts:
            status, _ = exchange(host.http_port, "GET", "/v1/configuration")
            if status == 200:
                return host
        raise OSError("no control host leads")

    def get_process(self, host_id: str) -> processes.Process:
        """Return the process of a host."""
        process_by_id = {process.name: process for process in self.control + self.entry}
        return process_by_id[host_id]

    def submit_change(self, operations: list[dict], request_id: str) -> int:
        """Submit a configuration change to the leader and return its version.

        Raises
        ------
        OSError
            If the leader rejects the change.
        """
        leader = self.find_leader()
        body = {
            "base_version": self.version,
            "request_id": request_id,
            "author": "benchmark",
            "operations": operations,
        }
        path = "/v1/configuration/changes"
        status, answer = exchange(leader.http_port, "POST", path, body)
        if status != 200:
            raise OSError(f"change refused: {answer}")
        self.version = answer["version"]
        return self.version

    def is_in_force(self) -> bool:
        """Return whether the newest version is in force on all hosts."""
        leader = self.find_leader()
        path = "/v1/configuration/in-force"
        status, answer = exchange(leader.http_port, "GET", path)
        return status == 200 and answer["everywhere"]

    def get_profile_path(self, host_id: str) -> pathlib.Path:
        """Return the path of the profile that a host writes when it ends."""
        return self._folder / f"{host_id}.profile"

    def read_traffic(self, host_id: str) -> dict:
        """Return the traffic counts of a host, by direction."""
        ports = {host.host_id: host.http_port for host in self.control_hosts}
        port = ports.get(host_id) or self.callers_ports[host_id]
        return exchange(port, "GET", "/v1/traffic")[1]

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port - 1

    def _build_settings(self, host_id: str, roles: tuple, zone: str) -> dict:
        settings = daemon_settings.Settings(
            host_id=host_id,
            roles=roles,
            availability_zone=zone,
            region="region-1",
            data_folder=str(self._folder / host_id),
            callers=daemon_settings.Listen(HOST, 1),
            peers=daemon_settings.Listen(HOST, 1),
            control_hosts=self.control_hosts,
        )
        return records.to_plain(settings)

    def _start(self, document: dict) -> processes.Process:
        name = document["host_id"]
        path = self._folder / f"{name}.json"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(document))
        arguments = ["--settings", str(path)]
        module = "sedgeswitch.daemon"
        if name in self._profiled:
            profile = str(self.get_profile_path(name))
            arguments = ["-o", profile, "-m", module, *arguments]
            module = "cProfile"
        return processes.Process(name, module, arguments, self._folder / "logs")

    def _has_leader(self) -> bool:
        exited = [process.name for process in self.control if not process.is_running]
        if exited:
            raise RuntimeError(f"control hosts exited: {exited}; see their logs")
        try:
            self.find_leader()
        except OSError:
            return False
        return True

    def _count_leases(self) -> int:
        try:
            leader = self.find_leader()
            status, answer = exchange(leader.http_port, "GET", "/v1/status/entry")
        except OSError:
            return 0
        return len(answer["rows"]) if status == 200 else 0


def exchange(
    port: int,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: typing.Mapping[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Return the status and decoded body of one HTTP request.

    Raises
    ------
    OSError
        If there was no complete answer.
    """
    connection = http.client.HTTPConnection(HOST, port, timeout=CALL_TIMEOUT_S)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, dict(headers or {}))
        response = connection.getresponse()
        received = response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
    return response.status, json.loads(received) if received else None
