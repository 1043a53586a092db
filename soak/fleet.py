"""Processes of a fault soak: control hosts, entry hosts and one database group."""

import json
import os
import pathlib
import signal
import typing

from benchmarks import callers
from benchmarks import fleet as benchmark_fleet
from benchmarks import processes
from benchmarks import service
from sedgeswitch import settings as daemon_settings
from sedgeswitch.keys import key_format
from sedgeswitch.utils import records
from soak import proxy

CONTROL_HOSTS = 3
ENTRY_HOSTS = 3
INSTANCES = 3
ORGANISATIONS = ("lot-desk", "depots")
RATE_PER_S = 400.0
# Number of consecutive ports that a fleet may use.
PORTS = 100
START_TIMEOUT_S = 60.0
# Offset of each range of ports from the first port of the fleet.
_PEER_PORTS = 0
_HTTP_PORTS = 10
_CALLER_PORTS = 20
_INSTANCE_PORTS = 30
_REPLICATION_PORTS = 40
_INSTANCE_CONTROL_PORTS = 50
_PROXY_PORTS = 60
# Appended to a log; not a valid record of it.
_INVALID_BYTES = b"\x00torn"


class Fleet:
    """Runs the processes of a soak, each reached through a link of a proxy.

    Parameters
    ----------
    folder : pathlib.Path
        Empty folder for settings, logs and data.
    first_port : int
        First of `PORTS` free ports.
    """

    def __init__(self, folder: pathlib.Path, first_port: int):
        self.folder = folder
        self._first_port = first_port
        self._keys = {
            name: key_format.generate_key(os.urandom) for name in ORGANISATIONS
        }
        self._commands: dict[str, tuple[str, list[str]]] = {}
        self._running: dict[str, processes.Process] = {}
        self._tools: list[processes.Process] = []
        self.control = [f"c{number}" for number in range(1, CONTROL_HOSTS + 1)]
        self.entry = [f"e{number}" for number in range(1, ENTRY_HOSTS + 1)]
        self.instances = [f"i{number}" for number in range(1, INSTANCES + 1)]
        self.proxy = proxy.Proxy(self._build_links())

    @property
    def names(self) -> list[str]:
        """Names of all processes."""
        return self.control + self.entry + self.instances

    def start(self) -> None:
        """Start the proxy and all processes; wait for a leader before entry hosts."""
        self.proxy.start()
        for name in self.control:
            self._start_daemon(name, "control")
        processes.wait_until(self.has_leader, START_TIMEOUT_S, "a leader")
        for name in self.entry:
            self._start_daemon(name, "entry")
        for number, name in enumerate(self.instances):
            self._start_instance(name, number)

    def stop(self) -> None:
        """Stop every process and the proxy; paused processes are resumed first."""
        for name, process in self._running.items():
            if process.is_running:
                self.send_signal(name, signal.SIGCONT)
        processes.stop_all([*self._running.values(), *self._tools])
        self.proxy.stop()

    def start_process(self, name: str) -> None:
        """Start or restart a process with the arguments of its first start."""
        module, arguments = self._commands[name]
        logs = self.folder / "logs"
        self._running[name] = processes.Process(name, module, arguments, logs)

    def start_tool(
        self, name: str, module: str, arguments: typing.Sequence[str]
    ) -> processes.Process:
        """Start a process that faults leave alone; `stop` ends it with the fleet."""
        logs = self.folder / "logs"
        self._tools.append(processes.Process(name, module, arguments, logs))
        return self._tools[-1]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet if it is running."""
        if self._running[name].is_running:
            os.kill(self._running[name].pid, number)

    def wait_ended(self, name: str) -> None:
        """Wait until a process has ended; kill it after `processes.STOP_TIMEOUT_S`."""
        self._running[name].wait()

    def list_ended(self) -> list[str]:
        """Return the names of the processes that are not running."""
        return [name for name, item in self._running.items() if not item.is_running]

    def tear_log(self, host_id: str) -> None:
        """Append invalid bytes to the write-ahead logs of a killed control host.

        This simulates a write after the last sync that a crash left incomplete.
        """
        for path in (self.folder / host_id).rglob("*-wal"):
            with path.open("ab") as log:
                log.write(_INVALID_BYTES)

    def change_instance(self, name: str, **faults: typing.Any) -> None:
        """Set faults of a stand-in instance.

        Raises
        ------
        OSError
            If the instance does not answer.
        """
        port = self._get_port(_INSTANCE_CONTROL_PORTS, self.instances.index(name))
        benchmark_fleet.exchange(port, "POST", "/faults", faults)

    def exchange_control(
        self, host_id: str, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Return the status and body of a request to a control host.

        Raises
        ------
        OSError
            If the control host does not answer.
        """
        port = self._get_port(_HTTP_PORTS, self.control.index(host_id))
        return benchmark_fleet.exchange(port, method, path, body)

    def has_leader(self) -> bool:
        """Return whether a control host answers as the leader."""
        return self.find_leader() is not None

    def find_leader(self) -> str | None:
        """Return the id of the control host that answers as the leader, or None."""
        for host_id in self.control:
            try:
                status, _ = self.exchange_control(host_id, "GET", "/v1/configuration")
            except OSError:
                continue
            if status == 200:
                return host_id
        return None

    def build_operations(self) -> list[dict]:
        """Return the operations that configure the organisations and the group."""
        return service.build_operations(self._keys, RATE_PER_S)

    def build_load_arguments(self) -> list[str]:
        """Write the organisations' keys and return the arguments of the load tool."""
        organisations = [
            {
                "organisation": name,
                "key": key.plain,
                "groups": [callers.GROUP],
                "rate_per_s": RATE_PER_S,
                "burst": 2 * RATE_PER_S,
            }
            for name, key in self._keys.items()
        ]
        path = self.folder / "organisations.json"
        path.write_text(json.dumps(organisations))
        entry = [f"{proxy.HOST}:{self._get_link(name).port}" for name in self.entry]
        mix = processes.ROOT / "examples" / "daura-lots" / "mix.json"
        return [
            *("--entry", ",".join(entry)),
            *("--organisations", str(path)),
            *("--mix", str(mix)),
        ]

    def _get_port(self, offset: int, number: int) -> int:
        return self._first_port + offset + number

    def _get_link(self, name: str) -> proxy.Link:
        return self.proxy.links[name]

    def _build_links(self) -> dict[str, proxy.Link]:
        targets = {
            **{
                name: self._get_port(_PEER_PORTS, n)
                for n, name in enumerate(self.control)
            },
            **{
                name: self._get_port(_CALLER_PORTS, n)
                for n, name in enumerate(self.entry)
            },
            **{
                name: self._get_port(_INSTANCE_PORTS, n)
                for n, name in enumerate(self.instances)
            },
        }
        return {
            name: proxy.Link(self._get_port(_PROXY_PORTS, n), target)
            for n, (name, target) in enumerate(targets.items())
        }

    def _start_daemon(self, host_id: str, role: str) -> None:
        is_control = role == "control"
        number = (self.control if is_control else self.entry).index(host_id)
        settings = daemon_settings.Settings(
            host_id=host_id,
            roles=(role,),
            availability_zone=benchmark_fleet.ZONES[number],
            region="region-1",
            data_folder=str(self.folder / host_id),
            callers=daemon_settings.Listen(
                proxy.HOST,
                self._get_port(_HTTP_PORTS if is_control else _CALLER_PORTS, number),
            ),
            peers=daemon_settings.Listen(
                proxy.HOST,
                self._get_port(
                    _PEER_PORTS, number if is_control else number + len(self.control)
                ),
            ),
            control_hosts=tuple(
                daemon_settings.ControlHost(
                    name,
                    proxy.HOST,
                    self._get_link(name).port,
                    self._get_port(_HTTP_PORTS, index),
                )
                for index, name in enumerate(self.control)
            ),
        )
        path = self.folder / f"{host_id}.json"
        path.write_text(json.dumps(records.to_plain(settings)))
        self._commands[host_id] = ("sedgeswitch.daemon", ["--settings", str(path)])
        self.start_process(host_id)

    def _start_instance(self, name: str, number: int) -> None:
        others = [n for n in range(INSTANCES) if n != number]
        peers = [
            f"{proxy.HOST}:{self._get_port(_REPLICATION_PORTS, n)}" for n in others
        ]
        announcement_addresses = [
            f"{proxy.HOST}:{self._get_port(_CALLER_PORTS, n)}"
            for n in range(ENTRY_HOSTS)
        ]
        arguments = [
            *("--instance", name, "--group", callers.GROUP),
            *("--data-folder", str(self.folder / name)),
            *("--port", str(self._get_port(_INSTANCE_PORTS, number))),
            *("--announced-port", str(self._get_link(name).port)),
            *("--peer-port", str(self._get_port(_REPLICATION_PORTS, number))),
            *("--control-port", str(self._get_port(_INSTANCE_CONTROL_PORTS, number))),
            *("--peers", ",".join(peers)),
            *("--announce-to", ",".join(announcement_addresses)),
            *("--availability-zone", benchmark_fleet.ZONES[number]),
        ]
        if number == 0:
            arguments.append("--primary")
        self._commands[name] = ("standin.instance", arguments)
        self.start_process(name)
