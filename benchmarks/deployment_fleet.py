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
START_TIMEOUT_S = 30
FAULT_TIMEOUT_S = 5
POLL_INTERVAL_S = 0.2


class FleetError(Exception):
    """A script, a command or a request to the fleet failed."""


class FleetSettings(typing.NamedTuple):
    """Settings of the fleet to start.

    Attributes
    ----------
    deployment : str
        Name of the folder in examples/.
    folder : pathlib.Path
        For logs, data and process ids; removed first if it exists.
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
    """The processes of one example.

    Parameters
    ----------
    settings : FleetSettings

    Attributes
    ----------
    folder : pathlib.Path
    entry_hosts : list of str
        Address and port for callers of each host.
    """

    def __init__(self, settings: FleetSettings):
        self.folder = settings.folder
        self._settings = settings
        self._instances = self._load_instances()
        self.entry_hosts = self._list_entry_hosts()
        self._environment = {
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
            lambda: self.run_operator_command("in-force", "--wait", "0").returncode == 0
        )
        completed = self.run_operator_command(
            "apply", str(self.folder / "configuration.json")
        )
        if completed.returncode:
            raise FleetError(completed.stderr)
        groups = {item["group"] for item in self._instances}
        self._wait_until(lambda: self._list_serving_groups() == groups)

    def stop(self) -> None:
        """End the processes."""
        self._run_script("fleet_stop.sh", str(self.folder))

    def create_keys(self, busy: str, busy_factor: float) -> None:
        """Create a key for each organisation and write the load tool's input files.

        Parameters
        ----------
        busy : str
            Organisation that sends more than the others.
        busy_factor : float
            Its demand in relation to its rate, as a multiple of that of the others.
        """
        self._run_script(
            "fleet_keys.sh",
            self._settings.deployment,
            str(self.folder),
            "--busy",
            busy,
            "--busy-factor",
            str(busy_factor),
        )

    def run_operator_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run an operator command of the ``sedgeswitch`` program."""
        return self._run([sys.executable, "-m", "sedgeswitch.cli", *arguments])

    def start_load(
        self, extra_arguments: list[str], output: typing.IO[str]
    ) -> subprocess.Popen[str]:
        """Start the load tool with more arguments; it writes JSON to `output`."""
        folder = EXAMPLES / self._settings.deployment
        arguments = [
            f"--entry={','.join(self.entry_hosts)}",
            f"--organisations={self.folder / 'keys' / 'organisations.json'}",
            f"--mix={folder / 'mix.json'}",
            "--json",
            *extra_arguments,
        ]
        return subprocess.Popen(
            [sys.executable, "-m", "standin.load", *arguments],
            env=self._environment,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def list_instances(self, suffix: str) -> list[str]:
        """Return the instances whose names end with a suffix, such as "-b"."""
        names = [item["instance"] for item in self._instances]
        return [name for name in names if name.endswith(suffix)]

    def get_primary(self, group: str) -> str:
        """Return the primary of a group that the control hosts have agreed."""
        rows = json.loads(
            self.run_operator_command("status", "groups", "--json").stdout
        )["groups"]
        return next(row["primary"] for row in rows if row["group"] == group)

    def set_faults(self, instance: str, **faults: typing.Any) -> None:
        """Set the faults of a stand-in instance, as fields of its fault settings."""
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
        """Kill a process of the fleet by its name."""
        self.send_signal(name, signal.SIGKILL)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet by its name."""
        send_signal(int((self.folder / "pids" / name).read_text()), number)

    def restart(self, name: str) -> None:
        """Start a killed process again."""
        self._run_script("fleet_start.sh", str(self.folder), name)

    def _list_serving_groups(self) -> set[str]:
        completed = self.run_operator_command("status", "groups", "--json")
        if completed.returncode:
            return set()
        rows = json.loads(completed.stdout)["groups"]
        return {row["group"] for row in rows if row["phase"] == "serving"}

    def _load_instances(self) -> list[dict[str, typing.Any]]:
        path = EXAMPLES / self._settings.deployment / "instances.json"
        return json.loads(path.read_text())["instances"]

    def _list_entry_hosts(self) -> list[str]:
        folder = EXAMPLES / self._settings.deployment / "settings"
        settings = [json.loads(path.read_text()) for path in sorted(folder.glob("*"))]
        offset = self._settings.port_offset
        return [f"{HOST}:{item['callers']['port'] + offset}" for item in settings]

    def _wait_until(self, condition: typing.Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise FleetError(f"the fleet did not start; see {self.folder}/logs")
            time.sleep(POLL_INTERVAL_S)

    def _run_script(self, name: str, *arguments: str) -> None:
        completed = self._run([str(EXAMPLES / name), *arguments])
        if completed.returncode:
            raise FleetError(f"{name}: {completed.stderr}")

    def _run(self, command: list[str]) -> subprocess.CompletedProcess:
        return subprocess.run(
            command,
            env=self._environment,
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
