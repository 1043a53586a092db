"""A fleet of real daemons with one group of stand-in instances, for benchmarks."""

import json
import os
import pathlib
import time
import typing

from benchmarks import callers
from benchmarks import fleet
from benchmarks import processes
from sedgeswitch.keys import key_format

INSTANCES = 3
CONTROL_HOSTS = 3
ORGANISATION = "lot-desk"
# Limit of the organisation, far above what one machine can send.
RATE_PER_S = 1e6
DATABASE = "lots"
READY_TIMEOUT_S = 60.0
CREATE_SQL = (
    "CREATE TABLE IF NOT EXISTS lots (household TEXT PRIMARY KEY, value TEXT NOT NULL)"
)


class Service:
    """Control hosts, entry hosts and one database group, each in its own process.

    Callers use the first entry host.

    Parameters
    ----------
    folder : pathlib.Path
    first_port : int
    entry_count : int
        With three, session floors have replicas on hosts other than the first, so
        that the remote calls are part of the cost.
    changes : mapping of str to object, optional
        Settings of the entry hosts that differ from the defaults.
    profiled : tuple of str
        Ids of the hosts that run under cProfile.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        first_port: int,
        entry_count: int = 3,
        changes: typing.Mapping[str, typing.Any] | None = None,
        profiled: tuple[str, ...] = (),
    ):
        self._folder = folder
        self._entry_count = entry_count
        self._instance_port = first_port + 200
        self.key = key_format.generate_key(os.urandom)
        self.fleet = fleet.Fleet(folder, first_port, CONTROL_HOSTS, changes, profiled)
        self.instances: list[processes.Process] = []

    @property
    def port(self) -> int:
        """Port of the first entry host for callers."""
        return self.fleet.callers_ports["e1"]

    @property
    def entry(self) -> processes.Process:
        """Process of the first entry host."""
        return self.fleet.get_process("e1")

    def start(self) -> None:
        """Start and configure all processes, and wait until a write succeeds."""
        self.fleet.start_control()
        self.fleet.start_entry(self._entry_count)
        self.fleet.submit_change(self.build_operations(), "setup")
        self.start_instances()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until the statement that creates the table succeeds."""
        processes.wait_until(self._try_create_table, READY_TIMEOUT_S, "a first write")

    def stop(self) -> None:
        """Stop every process, the instances last."""
        self.fleet.stop()
        processes.stop_all(self.instances)

    def start_callers(
        self, name: str, *arguments: str, access: str = "read"
    ) -> processes.Process:
        """Start a process of callers with more arguments of `benchmarks.callers`."""
        return processes.Process(
            name,
            "benchmarks.callers",
            [
                *("--port", str(self.port), "--key", self.key.plain),
                *("--access", access, *arguments),
            ],
            self._folder / "callers",
        )

    def wait_for_outcome(self, process: processes.Process) -> callers.Outcome:
        """Wait until a process of callers has ended and return its counts."""
        while process.is_running:
            time.sleep(0.05)
        text = (self._folder / "callers" / f"{process.name}.log").read_text()
        return callers.Outcome(**json.loads(text.splitlines()[-1]))

    def build_operations(self) -> list[dict]:
        """Return the operations that configure the organisation and the group."""
        return build_operations({ORGANISATION: self.key}, RATE_PER_S)

    def start_instances(self) -> None:
        """Start the stand-in instances; the first is the primary."""
        first = self._instance_port
        peers = [f"{fleet.HOST}:{first + 10 + n}" for n in range(INSTANCES)]
        for number in range(INSTANCES):
            others = [peer for place, peer in enumerate(peers) if place != number]
            arguments = [
                *("--instance", f"i{number}", "--group", callers.GROUP),
                *("--data-folder", str(self._folder / f"i{number}")),
                *("--port", str(first + number)),
                *("--peer-port", str(first + 10 + number)),
                *("--control-port", str(first + 20 + number)),
                *("--peers", ",".join(others)),
                *("--announce-to", f"{fleet.HOST}:{self.port}"),
                *("--availability-zone", fleet.ZONES[number]),
                *("--slots", "64", "--max-connections", "200"),
            ]
            if number == 0:
                arguments.append("--primary")
            self.instances.append(
                processes.Process(
                    f"i{number}", "standin.instance", arguments, self._folder / "logs"
                )
            )

    def _try_create_table(self) -> bool:
        body = {
            "group": callers.GROUP,
            "work": "schema",
            "access": "write",
            "sql": CREATE_SQL,
            "deadline_ms": 2000,
        }
        headers = {"Authorization": f"Bearer {self.key.plain}"}
        try:
            status, _ = fleet.exchange(
                self.port, "POST", "/v1/statements", body, headers
            )
        except OSError:
            return False
        return status == 200


def build_operations(
    keys: typing.Mapping[str, key_format.GeneratedKey], rate_per_s: float
) -> list[dict]:
    """Return the operations that configure organisations and the group of callers.

    Parameters
    ----------
    keys : mapping of str to key_format.GeneratedKey
        Key of each organisation.
    rate_per_s : float
        Rate limit of each organisation; its burst is twice the rate.
    """
    group = {"database": DATABASE, "ack_instances": 2, "replicas_may_serve": True}
    selector = {
        "organisations": "*",
        "work": "*",
        "access": ["read", "write"],
        "groups": "*",
    }
    operations: list[dict] = []
    for name, key in keys.items():
        limit = {"rate_per_s": rate_per_s, "burst": 2 * rate_per_s}
        operations += [
            {"operation": "set_organisation", "name": name, **limit},
            {
                "operation": "set_key",
                "organisation": name,
                "key_id": key.key_id,
                "digest": key.digest,
            },
        ]
    return [
        *operations,
        {"operation": "set_group", "name": callers.GROUP, "group": group},
        {"operation": "set_selector", "name": "all", "selector": selector},
    ]
