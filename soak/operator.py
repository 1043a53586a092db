"""Operators who change the configuration during a soak, and what they were told."""

import threading
import typing

from soak import fleet as fleets

CHANGE_INTERVAL_S = 0.7
CHANGES_PATH = "/v1/configuration/changes"
CONFIGURATION_PATH = "/v1/configuration"
OK_STATUS = 200
CONFLICT_STATUS = 409


class Acknowledged(typing.NamedTuple):
    """A change that was acknowledged."""

    version: int
    organisation: str


class Operators:
    """Change the configuration in a thread, and keep what was acknowledged.

    Parameters
    ----------
    fleet : fleet.Fleet
    """

    def __init__(self, fleet: fleets.Fleet):
        self._fleet = fleet
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.acknowledged: list[Acknowledged] = []
        self.violations: list[str] = []

    def start(self) -> None:
        """Begin to send changes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending changes."""
        self._is_stopped.set()
        self._thread.join()

    def send(self, operations: list[dict], request_id: str) -> int | None:
        """Return the version that a change got, None without a clear answer."""
        for host_id in self._fleet.control:
            try:
                version = self._send_to(host_id, operations, request_id)
            except OSError:
                continue
            if version is not None:
                return version
        return None

    def check(self) -> None:
        """Compare the configuration at the end with what was acknowledged."""
        leader = self._fleet.find_leader()
        status, found = self._fleet.exchange_control(leader, "GET", CONFIGURATION_PATH)
        if status != OK_STATUS:
            self.violations.append(f"the configuration was not read: {status}")
            return
        newest = max((item.version for item in self.acknowledged), default=0)
        if found["version"] < newest:
            self.violations.append(f"version {found['version']} after {newest}")
        names = found["document"]["organisations"]
        for item in self.acknowledged:
            if item.organisation not in names:
                detail = f"{item.organisation} of version {item.version} is gone"
                self.violations.append(detail)

    def _run(self) -> None:
        number = 0
        while not self._is_stopped.wait(CHANGE_INTERVAL_S):
            number += 1
            name = f"added-{number}"
            operation = {
                "operation": "set_organisation",
                "name": name,
                "rate_per_s": 10.0,
                "burst": 10.0,
            }
            version = self.send([operation], f"change-{number}")
            if version is not None:
                self._note(Acknowledged(version, name))

    def _note(self, item: Acknowledged) -> None:
        for earlier in self.acknowledged:
            if earlier.version >= item.version:
                detail = f"version {item.version} after {earlier.version}"
                self.violations.append(detail)
        self.acknowledged.append(item)

    def _send_to(
        self, host_id: str, operations: list[dict], request_id: str
    ) -> int | None:
        status, found = self._fleet.exchange_control(host_id, "GET", CONFIGURATION_PATH)
        if status != OK_STATUS:
            return None
        body = {
            "base_version": found["version"],
            "request_id": request_id,
            "author": "soak",
            "operations": operations,
        }
        status, answer = self._fleet.exchange_control(
            host_id, "POST", CHANGES_PATH, body
        )
        return answer["version"] if status == OK_STATUS else None
