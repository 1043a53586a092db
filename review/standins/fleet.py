"""Starts the project's own programs as processes, as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

from standins import databases
from standins import platform
from standins import records
from standins import requests

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"bagmati-a": "bagmati", "gandaki-a": "gandaki", "koshi-a": "koshi"}
FRONT_PORT, READY_PORT, CONTROL_PORT, DATABASE_PORT = 8465, 8460, 8462, 8080
PLATFORM_PORT = 8466
INTERNAL_PORTS = [7560, 7575]
# The bounds of the small deployment.
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
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "txIdleMs": 3000,
}
TENANT = "nypu920"
KEY = "u6wsjnbanfqasnmgkcuy"


class Process:
    """A process of the project, which is restarted by nobody."""

    def __init__(self, name: str, role: str, command: list[str], folder: pathlib.Path):
        self.name = name
        self.role = role
        self._command = command
        self._folder = folder
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with its settings file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SEDGESWITCH_NODE_FILE"] = str(self._folder / "boot.json")
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def clear_bootstrap(self) -> None:
        """Say in the settings file that it isn't the first start of the system."""
        path = self._folder / "boot.json"
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, "bootstrap": False}))

    @property
    def log_path(self) -> pathlib.Path:
        """File with what the process writes."""
        return self._folder / "log.txt"

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while it runs."""
        return self._process.poll()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Fleet:
    """Control hosts, entry hosts, database groups and the platform on loopback.

    Parameters
    ----------
    record : records.Record
    control_count, entry_count : int
    services : tuple of str

    Attributes
    ----------
    processes : dict of str to Process
    groups : dict of str to databases.Group
    """

    def __init__(
        self,
        record: records.Record,
        control_count: int = 5,
        entry_count: int = 3,
        services: tuple[str, ...] = ("huvo11a",),
        latency_s: float = 0.012,
    ):
        generator = random.SystemRandom()
        second, third = generator.randint(16, 250), generator.randint(1, 250)
        self._network = f"127.{second}.{third}"
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        control_names = [f"core-{number + 1}" for number in range(control_count)]
        entry_names = [f"front-{number + 1}" for number in range(entry_count)]
        self._ips = {
            name: f"{self._network}.{11 + index}"
            for index, name in enumerate([*control_names, *entry_names])
        }
        self.control_addresses = [
            (self._ips[name], CONTROL_PORT) for name in control_names
        ]
        self.entry_addresses = {
            name: (self._ips[name], FRONT_PORT) for name in entry_names
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.processes = {
            name: self._build_process(name, role, deploy["roles"][role]["run"])
            for names, role in ((control_names, "control"), (entry_names, "entry"))
            for name in names
        }
        self.groups = {
            service: databases.Group(service, record, self.control_addresses, latency_s)
            for service in services
        }
        self.platform = platform.Platform(
            (f"{self._network}.2", PLATFORM_PORT), self.groups, record
        )
        self._instances = 0

    def _build_process(self, name: str, role: str, command: str) -> Process:
        folder = self._folder / name
        (folder / "data").mkdir(parents=True)
        settings = self._build_settings(name, role, folder)
        (folder / "boot.json").write_text(json.dumps(settings))
        return Process(name, role, command.split(), folder)

    def _build_settings(self, name: str, role: str, folder: pathlib.Path) -> dict:
        ip = self._ips[name]
        zones = list(ZONES)
        zone = zones[int(name.rpartition("-")[2]) % len(zones)]
        is_entry = role == "entry"
        listen = {"control": f"{ip}:{CONTROL_PORT}"}
        if is_entry:
            listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
        return {
            "nodeName": f"{name}-{zone}",
            "role": role,
            "machineClass": "front" if is_entry else "core",
            "serves": ["front" if is_entry else "control"],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "bindAddrs": listen,
            "internalPorts": INTERNAL_PORTS,
            "seeds": [f"{host}:{port}" for host, port in self.control_addresses[:3]],
            "bootstrap": True,
            "countsAsLoss": not is_entry,
            "limits": {"memoryMb": 300, "maxFds": 4300},
            "dataDir": None if is_entry else str(folder / "data"),
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloudApi": {
                "address": f"{self._network}.2:{PLATFORM_PORT}",
                "ratePerS": 50.0,
                "duties": ["promote"],
                "dutyPerS": 50.0,
            },
        }

    def build_configuration(self, version: int) -> dict:
        """Return a configuration with three routes for each service."""
        routes = []
        for service in self.groups:
            for kind in ("primary", "bounded", "read_your_writes"):
                routes.append(
                    {
                        "name": f"r-{kind}-{service}",
                        "host": f"{kind}-{service}",
                        "pathPrefix": "/",
                        "kind": kind,
                        "timeoutMs": 2000 if kind == "bounded" else 800,
                        "targetLatencyMs": 800,
                        "priority": 1,
                        "service": service,
                        "maxAttempts": 2,
                        "maxStalenessMs": 1500 if kind == "bounded" else 2500,
                        "public": False,
                    }
                )
        return {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConns": group.max_connections,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": 1,
                }
                for service, group in self.groups.items()
            ],
            "limits": dict(LIMITS),
            "tenants": [
                {
                    "name": TENANT,
                    "apiKeys": [KEY],
                    "priority": 1,
                    "ratePerS": 400,
                    "burst": 400,
                }
            ],
        }

    async def start(self) -> None:
        """Start everything, send the configuration and wait until hosts are ready."""
        self.platform.start()
        for process in self.processes.values():
            process.start()
        for group in self.groups.values():
            group.start()
        await requests.send_until_done(
            self.control_addresses,
            "PUT",
            "/-/config",
            self.build_configuration(7),
        )
        for service in self.groups:
            for zone in ZONES:
                await self.add_instance(service, zone)
        for ip, _ in self.entry_addresses.values():
            await requests.send_until_done(
                [(ip, READY_PORT)], "GET", "/-/readiness", limit_s=20.0
            )
        self._record.note("the fleet is ready")

    async def restart_entry_host(self, name: str) -> None:
        """Stop an entry host by SIGTERM, start it again and wait until it is ready."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        if not await wait_until(lambda: process.exit_code is not None, 8.0):
            process.end()
        process.clear_bootstrap()
        process.start()
        ip, _ = self.entry_addresses[name]
        await requests.send_until_done(
            [(ip, READY_PORT)], "GET", "/-/readiness", limit_s=20.0
        )
        self._record.note(f"{name} was stopped and started")

    async def add_instance(self, service: str, zone: str) -> databases.Instance:
        """Start an instance; the first of a service is its primary."""
        group = self.groups[service]
        self._instances += 1
        name = f"i-{service}-{self._instances:02d}"
        address = (f"{self._network}.{100 + self._instances}", DATABASE_PORT)
        instance = databases.Instance(group, name, address, zone, not group.instances)
        if group.newest_primary is not None:
            instance.term = group.newest_primary.term
        group.instances[name] = instance
        await instance.start(int(time.time() * 1000))
        return instance

    async def restart_instance(self, instance: databases.Instance) -> None:
        """Start a crashed instance again, with its log."""
        instance.group.restart(instance)
        await instance.start(int(time.time() * 1000))

    def find_leader(self) -> Process | None:
        """Return the control host whose log says last that it leads."""
        found = None
        for process in self.processes.values():
            if process.role != "control":
                continue
            for line in process.log_path.read_text(errors="replace").splitlines():
                if " leads in term " in line:
                    found = max(found or ("", process), (_get_time(line), process))
        return found and found[1]

    def stop(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for process in self.processes.values():
            process.end()
        for group in self.groups.values():
            group.stop()
        self.platform.stop()
        if os.environ.get("KEEP_LOGS"):
            self._record.note(f"logs are kept in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def _get_time(line: str) -> str:
    return str(json.loads(line).get("time", ""))


def freeze(process: Process) -> None:
    """Freeze a process."""
    process.send_signal(signal.SIGSTOP)


def thaw(process: Process) -> None:
    """Let a frozen process continue."""
    process.send_signal(signal.SIGCONT)


async def wait_until(condition, limit_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while loop.time() < deadline_s:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False
