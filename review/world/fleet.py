"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing

from world import http1
from world import instances
from world import record as records

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"bagmati-a": "bagmati", "gandaki-a": "gandaki", "koshi-a": "koshi"}
FRONT_PORT = 8465
READY_PORT = 8460
CONTROL_PORT = 8462
INTERNAL_PORTS = (7560, 7575)
PLATFORM_PORT = 8466
INSTANCE_PORT = 8080
METRICS_PORT = 9464
DATABASES = ("dbprim", "dbbound", "dbown")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 5000,
    "ackMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 15000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "recoveryS": 12,
    "requireFencing": False,
    "thawMs": 300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota"]


class NotRunError(Exception):
    """The case could not run."""


class Promotion(typing.NamedTuple):
    """An order that the platform has received."""

    token: int
    holder: str
    service: str
    instance: str
    status: int


class Process:
    """One process of the system on a machine of its own.

    Parameters
    ----------
    command : list of str
    settings : dict
    folder : pathlib.Path
        For its settings, its data and what it writes.
    """

    def __init__(self, command: list[str], settings: dict, folder: pathlib.Path):
        self.name = settings["nodeName"]
        self.host = settings["ip"]
        self.zone = settings["zone"]
        self.settings = settings
        self._command = command
        self._folder = folder
        self._child: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def get_exit_code(self) -> int | None:
        """Return the exit code, None while it runs."""
        return None if self._child is None else self._child.poll()

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["SEDGESWITCH_NODE_FILE"] = str(self._folder / f"{self.name}.json")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._child = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.is_running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        if self._child is not None:
            with contextlib.suppress(ProcessLookupError):
                self._child.kill()
            self._child.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """A small deployment: control hosts, entry hosts, one service and the platform.

    Parameters
    ----------
    record : records.Record
    controls, fronts : int
        Number of machines of each kind.
    """

    def __init__(self, record: records.Record, controls: int = 3, fronts: int = 2):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self._network = _choose_network()
        self._counts = controls, fronts
        self.controls: list[Process] = []
        self.fronts: list[Process] = []
        self.promotions: list[Promotion] = []
        self.platform_host = f"{self._network}.200"
        self.group = instances.Group("huvo11a", record)
        self._ready: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []
        self._platform_socket: socket.socket | None = None
        self._platform_server: asyncio.Server | None = None
        self._fillers: list[socket.socket] = []
        self._rng = random.Random()

    async def start(self) -> None:
        """Start the platform, the instances and all processes."""
        self._open_platform()
        await self.serve_platform()
        zones = list(ZONES)
        for index, zone in enumerate(zones):
            host = f"{self._network}.{100 + index}"
            name = f"i-7f3a91c{index}"
            self.group.add(name, host, INSTANCE_PORT, zone)
        self._build_processes(zones)
        self.group.set_controls([f"{p.host}:{CONTROL_PORT}" for p in self.controls])
        for process in self.controls + self.fronts:
            process.start()
        for instance in self.group.instances:
            await instance.start()
        self._tasks.append(asyncio.create_task(self._check_readiness()))

    def _build_processes(self, zones: list[str]) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        controls, fronts = self._counts
        seeds = [f"{self._network}.{10 + i}:{CONTROL_PORT}" for i in range(controls)]
        for role, item in deploy["roles"].items():
            is_control = "control" in item["serves"]
            for index in range(controls if is_control else fronts):
                zone = zones[index % len(zones)]
                kind = "core" if is_control else "front"
                host = f"{self._network}.{(10 if is_control else 50) + index}"
                name = f"{kind}-{zone}-{index // len(zones) + 1}"
                settings = self._build_settings(name, role, host, zone, is_control)
                settings["seeds"] = seeds[:3]
                process = Process(item["run"].split(" "), settings, self.folder)
                (self.controls if is_control else self.fronts).append(process)

    def _build_settings(
        self, name: str, role: str, host: str, zone: str, is_control: bool
    ) -> dict:
        data = None
        if is_control:
            data = str(self.folder / f"{name}-data")
            pathlib.Path(data).mkdir()
        addresses = (
            {"control": f"{host}:{CONTROL_PORT}"}
            if is_control
            else {"front": f"{host}:{FRONT_PORT}", "ready": f"{host}:{READY_PORT}"}
        )
        return {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if is_control else "front",
            "serves": ["control"] if is_control else ["front"],
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "bindAddrs": addresses,
            "internalPorts": list(INTERNAL_PORTS),
            "bootstrap": True,
            "countsAsLoss": is_control,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4300,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_control else 0,
            },
            "dataDir": data,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloudApi": {
                "address": f"{self.platform_host}:{PLATFORM_PORT}",
                "ratePerS": 50.0,
                "duties": ["promote"],
                "dutyPerS": 50.0,
            },
        }

    def set_later_starts(self) -> None:
        """Clear `bootstrap` in all settings, as after the first start."""
        for process in self.controls + self.fronts:
            process.settings["bootstrap"] = False

    def build_document(self, version: int, tenants: list[dict]) -> dict:
        """Return a configuration with one route of each kind."""
        kinds = ("primary", "bounded", "read_your_writes")
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "pathPrefix": "/",
                "kind": kind,
                "timeoutMs": 2000,
                "targetLatencyMs": 800,
                "priority": 1,
                "service": self.group.name,
                "maxAttempts": 2,
                "maxStalenessMs": 1500,
                "public": False,
            }
            for database, kind in zip(DATABASES, kinds, strict=True)
        ]
        service = {
            "name": self.group.name,
            "healthPath": "/health",
            "maxConns": self.group.max_connections,
            "protocol": "h1",
            "tls": False,
            "syncReplicas": 1,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        }
        return {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": limits,
            "tenants": tenants,
        }

    async def send_document(self, document: dict, limit_s: float = 20.0) -> bool:
        """Send a configuration until it is acknowledged; return whether it was."""
        body = json.dumps(document).encode()
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            process = self._rng.choice(self.controls)
            response = await http1.call_following(
                f"{process.host}:{CONTROL_PORT}", "PUT", "/-/config", body, 2.0
            )
            self.record.note(
                f"operator PUT version {document['version']} at {process.name}:"
                f" {response.status}"
            )
            if response.status == 200:
                return True
            if 400 <= response.status < 500:
                return False
            await asyncio.sleep(0.2)
        return False

    async def find_leader(self) -> Process | None:
        """Return the control host that answers without a redirect."""
        for process in self.controls:
            if not process.is_running:
                continue
            address = f"{process.host}:{CONTROL_PORT}"
            response = await http1.call(address, "GET", "/-/config", timeout_s=0.5)
            if response.status == 200:
                return process
        return None

    def list_ready(self) -> list[Process]:
        """Return the entry hosts in rotation."""
        ready = [p for p in self.fronts if self._ready.get(p.name, 2) < 2]
        return ready or self.fronts

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Wait until all entry hosts are ready."""
        deadline_s = time.monotonic() + limit_s
        while any(self._ready.get(p.name, 2) for p in self.fronts):
            if time.monotonic() > deadline_s:
                raise NotRunError("the entry hosts did not become ready")
            await asyncio.sleep(0.1)

    async def _check_readiness(self) -> None:
        while True:
            for process in self.fronts:
                address = f"{process.host}:{READY_PORT}"
                response = await http1.call(address, "GET", "/-/readiness")
                missed = self._ready.get(process.name, 2)
                self._ready[process.name] = 0 if response.status == 200 else missed + 1
            await asyncio.sleep(1.0)

    def _open_platform(self) -> None:
        self._platform_socket = socket.socket()
        self._platform_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._platform_socket.bind((self.platform_host, PLATFORM_PORT))
        self._platform_socket.setblocking(False)

    async def serve_platform(self) -> None:
        """Accept calls to the platform, with an empty queue of new connections."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._platform_server = await asyncio.start_server(
            self._serve_platform_connection,
            sock=self._platform_socket.dup(),
            backlog=100,
        )

    async def stall_platform(self) -> None:
        """Accept no calls: the queue of new connections is full."""
        self._platform_server.close()
        await asyncio.sleep(0)
        self._platform_socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.platform_host, PLATFORM_PORT))
            self._fillers.append(filler)
        await asyncio.sleep(0.05)

    async def _serve_platform_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await http1.serve_connection(reader, writer, self._answer_platform)

    async def _answer_platform(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        if (method, path) != ("POST", "/promotion"):
            return 404, {}
        order = json.loads(body)
        instance = self.group.get(order["id"])
        status = 409 if instance is None else 200
        token = int(headers["x-sedgeswitch-fencing-token"])
        holder = headers["x-sedgeswitch-duty-holder"]
        order = Promotion(token, holder, order["service"], order["id"], status)
        self.record.note(f"platform receives {order}")
        self.promotions.append(order)
        if instance is not None and instance is not self.group.get_primary():
            task = asyncio.create_task(self.group.promote(instance.name))
            self._tasks.append(task)
        return status, {}

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.controls + self.fronts:
            process.send(signal.SIGCONT)
            process.kill()
        for task in self._tasks:
            task.cancel()
        for instance in self.group.instances:
            await instance.stop()
        for filler in self._fillers:
            filler.close()
        if self._platform_server is not None:
            self._platform_server.close()
        if self._platform_socket is not None:
            self._platform_socket.close()
        if "REVIEW_KEEP" in os.environ:
            target = pathlib.Path(os.environ["REVIEW_KEEP"])
            for path in self.folder.glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def _choose_network() -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    rng = random.Random()
    for _ in range(50):
        network = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        if all(_is_free(f"{network}.{last}") for last in (10, 50, 100, 200)):
            return network
    raise NotRunError("no free addresses")


def _is_free(host: str) -> bool:
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, INSTANCE_PORT, PLATFORM_PORT)
    for port in (*ports, METRICS_PORT, *INTERNAL_PORTS):
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
