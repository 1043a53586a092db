"""An example fleet that a benchmark starts through the shell scripts."""

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
HOST = "127.0.0.1"
CONTROL_PORT_OFFSET = 40
CONTROL_HOST_COUNT = 3
SCRIPT_TIMEOUT_S = 60
FORMATION_TIMEOUT_S = 30
FAULT_TIMEOUT_S = 5
POLL_INTERVAL_S = 0.2


class FleetError(Exception):
    """A step of the fleet was not done."""


class FleetSettings(typing.NamedTuple):
    """Which fleet to start.

    Attributes
    ----------
    deployment : str
        Name of the example.
    folder : pathlib.Path
        Where the fleet keeps its files; it is emptied first.
    port_offset : int
        Added to each port of the example.
    changes : dict
        Daemon settings that differ from those of the example.
    """

    deployment: str
    folder: pathlib.Path
    port_offset: int
    changes: dict[str, typing.Any] = {}


class Fleet:
    """A running fleet.

    Parameters
    ----------
    settings : FleetSettings
    """

    def __init__(self, settings: FleetSettings):
        self.folder = settings.folder
        self._settings = settings
        self._instances = self._load_instances()
        self.entry_hosts = self._list_entry_hosts()
        self._variables = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "PYTHON": sys.executable,
            "PORT_OFFSET": str(settings.port_offset),
            "FLEET_SETTINGS": json.dumps(settings.changes),
            "SEDGESWITCH_CONTROL": ",".join(self.entry_hosts[:CONTROL_HOST_COUNT]),
        }

    def start(self) -> None:
        """Start the processes, apply the configuration and wait for primaries."""
        if self.folder.exists():
            self.stop()
            shutil.rmtree(self.folder)
        self._run_script("fleet.sh", self._settings.deployment, str(self.folder))
        self._wait_until(
            lambda: self.operate("in-force", "--wait", "0").returncode == 0
        )
        found = self.operate("apply", str(self.folder / "configuration.json"))
        if found.returncode:
            raise FleetError(found.stderr)
        groups = {item["group"] for item in self._instances}
        self._wait_until(lambda: self._list_serving_groups() == groups)

    def stop(self) -> None:
        """End the processes."""
        self._run_script("fleet_stop.sh", str(self.folder))

    def give_keys(self, busy: str, busy_factor: float) -> None:
        """Give each organisation a key and write what the load tool needs."""
        self._run_script(
            "fleet_keys.sh",
            self._settings.deployment,
            str(self.folder),
            "--busy",
            busy,
            "--busy-factor",
            str(busy_factor),
        )

    def operate(self, *words: str) -> subprocess.CompletedProcess:
        """Run a command of the operators."""
        return self._run([sys.executable, "-m", "sedgeswitch.cli", *words])

    def start_load(
        self, words: list[str], output: typing.IO[str]
    ) -> subprocess.Popen[str]:
        """Start the load tool, which prints JSON to `output`."""
        folder = EXAMPLES / self._settings.deployment
        arguments = [
            f"--entry={','.join(self.entry_hosts)}",
            f"--organisations={self.folder / 'keys' / 'organisations.json'}",
            f"--mix={folder / 'mix.json'}",
            "--json",
            *words,
        ]
        return subprocess.Popen(
            [sys.executable, "-m", "standin.load", *arguments],
            env=self._variables,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def list_replicas(self, suffix: str) -> list[str]:
        """Return the instances whose names end with a suffix."""
        names = [item["instance"] for item in self._instances]
        return [name for name in names if name.endswith(suffix)]

    def get_primary(self, group: str) -> str:
        """Return the primary that the control hosts agree on."""
        rows = json.loads(self.operate("status", "groups", "--json").stdout)["groups"]
        return next(row["primary"] for row in rows if row["group"] == group)

    def change_faults(self, instance: str, **faults: typing.Any) -> None:
        """Set faults of a stand-in instance."""
        item = next(item for item in self._instances if item["instance"] == instance)
        port = item["port"] + self._settings.port_offset + CONTROL_PORT_OFFSET
        connection = http.client.HTTPConnection(HOST, port, timeout=FAULT_TIMEOUT_S)
        try:
            connection.request("POST", "/faults", json.dumps(faults))
            status = connection.getresponse().status
        finally:
            connection.close()
        if status != http.HTTPStatus.OK:
            raise FleetError(f"{instance}: status {status} for the faults {faults}")

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.send_signal(name, signal.SIGKILL)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        send_signal(int((self.folder / "pids" / name).read_text()), number)

    def restart(self, name: str) -> None:
        """Start a process that was killed."""
        self._run_script("fleet_start.sh", str(self.folder), name)

    def _list_serving_groups(self) -> set[str]:
        found = self.operate("status", "groups", "--json")
        if found.returncode:
            return set()
        rows = json.loads(found.stdout)["groups"]
        return {row["group"] for row in rows if row["phase"] == "serving"}

    def _load_instances(self) -> list[dict[str, typing.Any]]:
        path = EXAMPLES / self._settings.deployment / "instances.json"
        return json.loads(path.read_text())["instances"]

    def _list_entry_hosts(self) -> list[str]:
        folder = EXAMPLES / self._settings.deployment / "settings"
        found = [json.loads(path.read_text()) for path in sorted(folder.glob("*"))]
        offset = self._settings.port_offset
        return [f"{HOST}:{item['callers']['port'] + offset}" for item in found]

    def _wait_until(self, condition: typing.Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + FORMATION_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise FleetError(f"the fleet did not form; see {self.folder}/logs")
            time.sleep(POLL_INTERVAL_S)

    def _run_script(self, name: str, *words: str) -> None:
        found = self._run([str(EXAMPLES / name), *words])
        if found.returncode:
            raise FleetError(f"{name}: {found.stderr}")

    def _run(self, words: list[str]) -> subprocess.CompletedProcess:
        return subprocess.run(
            words,
            env=self._variables,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=SCRIPT_TIMEOUT_S,
            check=False,
        )


def send_signal(process_id: int, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(process_id, number)
