"""Configuration changes sent during a fault soak, and a check that none is lost."""

import threading
import typing

from soak import fleet as fleets

CHANGE_INTERVAL_S = 0.7
CHANGES_PATH = "/v1/configuration/changes"
CONFIGURATION_PATH = "/v1/configuration"
OK_STATUS = 200
# Statuses of changes that were not applied: another base version, or invalid.
REJECTED_STATUSES = frozenset([409, 422])


class Acknowledged(typing.NamedTuple):
    """A configuration change that was acknowledged.

    Attributes
    ----------
    version : int
        Version of the configuration that the change created.
    organisation : str
        Name of the organisation that it added.
    """

    version: int
    organisation: str


class Operators:
    """Sends configuration changes from a thread and records the acknowledged ones.

    Parameters
    ----------
    fleet : fleet.Fleet

    Attributes
    ----------
    acknowledged : list of Acknowledged
    violations : list of str
        Descriptions of lost changes and of versions that did not increase.
    """

    def __init__(self, fleet: fleets.Fleet):
        self._fleet = fleet
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.acknowledged: list[Acknowledged] = []
        self.violations: list[str] = []
        # Changes that may have been applied, by the request ids of their callers.
        self._unanswered: dict[str, dict[str, typing.Any]] = {}

    def start(self) -> None:
        """Start sending changes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending changes and wait for the thread to end."""
        self._is_stopped.set()
        self._thread.join()

    def send(self, operations: list[dict], request_id: str) -> int | None:
        """Send a change to the control hosts in turn until one acknowledges it.

        A change without an answer is repeated unchanged by the next call with its id.

        Returns
        -------
        int or None
            Version of the configuration that the change created; None if no control
            host acknowledged it.
        """
        for host_id in self._fleet.control:
            try:
                version = self._send_to(host_id, operations, request_id)
            except OSError:
                continue
            if version is not None:
                return version
        return None

    def check(self) -> None:
        """Record a violation for each acknowledged change that is not in force."""
        leader = self._fleet.find_leader()
        status, configuration = self._fleet.exchange_control(
            leader, "GET", CONFIGURATION_PATH
        )
        if status != OK_STATUS:
            self.violations.append(f"reading the configuration failed: status {status}")
            return
        newest = max((item.version for item in self.acknowledged), default=0)
        if configuration["version"] < newest:
            self.violations.append(
                f"version {configuration['version']} in force, {newest} acknowledged"
            )
        names = configuration["document"]["organisations"]
        for item in self.acknowledged:
            if item.organisation not in names:
                detail = f"{item.organisation} of version {item.version} is missing"
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
                self._record(Acknowledged(version, name))

    def _record(self, item: Acknowledged) -> None:
        for earlier in self.acknowledged:
            if earlier.version >= item.version:
                detail = f"version {item.version} acknowledged after {earlier.version}"
                self.violations.append(detail)
        self.acknowledged.append(item)

    def _send_to(
        self, host_id: str, operations: list[dict], request_id: str
    ) -> int | None:
        if request_id not in self._unanswered:
            status, configuration = self._fleet.exchange_control(
                host_id, "GET", CONFIGURATION_PATH
            )
            if status != OK_STATUS:
                return None
            version = configuration["version"]
            self._unanswered[request_id] = {
                "base_version": version,
                "request_id": f"{request_id}-{version}",
                "author": "soak",
                "operations": operations,
            }
        status, answer = self._fleet.exchange_control(
            host_id, "POST", CHANGES_PATH, self._unanswered[request_id]
        )
        if status == OK_STATUS or status in REJECTED_STATUSES:
            del self._unanswered[request_id]
        return answer["version"] if status == OK_STATUS else None
