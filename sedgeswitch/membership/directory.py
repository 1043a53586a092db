"""The directory of backend servers that announce themselves.

Backend servers announce themselves to any entry host. Entry hosts report the
announcements to the leader with their heartbeats. The leader keeps an announcement
for a limited time, as a lease, and answers with the changes of the directory.
"""

import collections
import collections.abc
import random
import typing

from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog

# Time after which an announcement that was not renewed expires, in seconds.
ANNOUNCEMENT_LEASE_S = 10.0
# Changes kept for incremental answers; a host further behind gets the full directory.
MAX_KEPT_CHANGES = 1000
# Shortest time between two searches for expired announcements, in seconds.
EXPIRE_INTERVAL_S = 0.25
_EPOCH_BITS = 60


class BackendServer(typing.NamedTuple):
    """An instance of a database group, as it announced itself.

    Attributes
    ----------
    instance : str
    group : str
    host : str
        IP address.
    port : int
        TCP port.
    availability_zone : str
    labels : dict of str to str
        Labels that the instance announced.
    slots : int
        Number of statements it runs concurrently.
    max_connections : int
    is_leaving : bool
        Whether the instance has announced that it will stop soon.
    is_cold : bool
        Whether the instance is slow after its start and its group limits the rate of
        statements to such instances.
    """

    instance: str
    group: str
    host: str
    port: int
    availability_zone: str
    labels: dict[str, str]
    slots: int
    max_connections: int
    is_leaving: bool = False
    is_cold: bool = False


def build_message(server: BackendServer) -> messages.Announcement:
    """Return the announcement message of a backend server."""
    # Left out unless true, so that other announcements are as in earlier releases.
    return messages.Announcement(*server._replace(is_cold=server.is_cold or None))


def build_server(message: messages.Announcement) -> BackendServer:
    """Return the backend server that an announcement message describes."""
    return BackendServer(
        message.instance,
        message.group,
        message.host,
        message.port,
        message.availability_zone,
        message.labels,
        message.slots,
        message.max_connections,
        bool(message.is_leaving),
        bool(message.is_cold),
    )


class EntryDirectory:
    """The entry host's copy of the directory.

    Attributes
    ----------
    servers : dict of str to BackendServer
        Every known backend server by instance id.
    """

    def __init__(self):
        self.servers: dict[str, BackendServer] = {}
        self._epoch = -1
        self._version = -1
        self._unreported: dict[str, BackendServer] = {}
        self._by_group: dict[str, list[BackendServer]] = {}
        self._last_reported: dict[str, BackendServer] = {}
        # Instances that the leader asked to have reported in full.
        self._requested_in_full: set[str] = set()
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def register_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called when the directory changes."""
        self._listeners.append(listener)

    def record_announcement(self, server: BackendServer) -> None:
        """Record an announcement for the report of the next heartbeat."""
        self._unreported[server.instance] = server

    def get_group(self, group: str) -> list[BackendServer]:
        """Return the backend servers of a database group."""
        if group not in self._by_group:
            self._by_group[group] = [
                server for server in self.servers.values() if server.group == group
            ]
        return self._by_group[group]

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return a report of the announcements received since the last report."""
        announced, self._unreported = self._unreported, {}
        self._last_reported = announced
        # Compared with the leader's answers, not with earlier reports: a report may
        # have been lost, or another host may have reported a change since.
        renewed = {
            instance: None
            for instance, server in announced.items()
            if self.servers.get(instance) == server
            and instance not in self._requested_in_full
        }
        changed = [announced[name] for name in announced if name not in renewed]
        report = messages.DirectoryReport(
            self._epoch,
            self._version,
            [build_message(server) for server in changed],
            list(renewed),
        )
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Apply the leader's changes to the directory."""
        answer = catalog.decode_struct(messages.DirectoryAnswer, body)
        reported, self._last_reported = self._last_reported, {}
        self._requested_in_full = set(answer.unknown)
        for instance in self._requested_in_full & reported.keys():
            self._unreported.setdefault(instance, reported[instance])
        is_changed = bool(answer.upserts or answer.removals or answer.is_whole)
        if answer.is_whole:
            self.servers = {}
        for message in answer.upserts:
            self.servers[message.instance] = build_server(message)
        for instance in answer.removals:
            self.servers.pop(instance, None)
        self._epoch = answer.epoch
        self._version = answer.version
        if is_changed:
            self._by_group = {}
            for listener in self._listeners:
                listener()


class _Entry(typing.NamedTuple):
    """An announced backend server, and when its announcement expires."""

    server: BackendServer
    until_s: float


def _get_no_servers() -> dict[str, BackendServer]:
    """Return no servers, so that a leader starts from announcements alone."""
    return {}


class ControlDirectory:
    """The leader's directory, kept in memory and updated by announcements.

    Parameters
    ----------
    rng : random.Random
        Source of epochs, which distinguish the directories of two leaders.
    get_replicated : callable, optional
        Returns the backend servers in the replicated state, by instance id.
    """

    def __init__(
        self,
        rng: random.Random,
        get_replicated: collections.abc.Callable[
            [], dict[str, BackendServer]
        ] = _get_no_servers,
    ):
        self._rng = rng
        self._get_replicated = get_replicated
        self._epoch = 0
        self._version = 0
        self._leadership_started_s = 0.0
        self._entries: dict[str, _Entry] = {}
        self._changes: collections.deque[str] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self._next_expire_s = 0.0
        self._cached_full_answer: tuple[int, int, bytes] = (-1, -1, b"")

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Every backend server whose announcement has not expired."""
        return {instance: entry.server for instance, entry in self._entries.items()}

    def start_leadership(self, now_s: float) -> None:
        """Start from the replicated servers; announcements update them."""
        # Even, so that the epoch after the warm-up is the next odd number.
        self._epoch = self._rng.getrandbits(_EPOCH_BITS) * 2
        self._version = 0
        self._leadership_started_s = now_s
        until_s = now_s + ANNOUNCEMENT_LEASE_S
        self._entries = {
            instance: _Entry(server, until_s)
            for instance, server in self._get_replicated().items()
        }
        self._changes.clear()

    def get_version(self) -> int:
        """Return a number that changes with the directory."""
        return self._version

    def expire(self, now_s: float) -> None:
        """Remove the backend servers whose announcement has expired."""
        expired = [
            instance
            for instance, entry in self._entries.items()
            if entry.until_s <= now_s
        ]
        for instance in expired:
            del self._entries[instance]
            self._record_change(instance)

    def record_announcement(self, server: BackendServer, now_s: float) -> None:
        """Record an announcement that a backend server sent directly to this leader."""
        self._renew(server, now_s)

    def remove_server(self, instance: str) -> None:
        """Remove a backend server that has withdrawn its announcement."""
        if self._entries.pop(instance, None) is not None:
            self._record_change(instance)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Record announcements, and return the changes since the host's version."""
        if now_s >= self._next_expire_s:
            self.expire(now_s)
            self._next_expire_s = now_s + EXPIRE_INTERVAL_S
        report = catalog.decode_struct(messages.DirectoryReport, body)
        for message in report.changed:
            self._renew(build_server(message), now_s)
        unknown = []
        for instance in report.renewed:
            entry = self._entries.get(instance)
            if entry is None:
                unknown.append(instance)
            else:
                self._renew(entry.server, now_s)
        return self._encode_answer(report, unknown, now_s)

    def _renew(self, server: BackendServer, now_s: float) -> None:
        known = self._entries.get(server.instance)
        self._entries[server.instance] = _Entry(server, now_s + ANNOUNCEMENT_LEASE_S)
        if known is None or known.server != server:
            self._record_change(server.instance)

    def _record_change(self, instance: str) -> None:
        self._version += 1
        self._changes.append(instance)

    def _encode_answer(
        self, report: messages.DirectoryReport, unknown: list[str], now_s: float
    ) -> bytes:
        # A new leader may not have received every announcement yet, so its answers
        # remove nothing. After one announcement lease it has, and the epoch changes,
        # so that every host gets the full directory.
        is_warm = now_s >= self._leadership_started_s + ANNOUNCEMENT_LEASE_S
        epoch = self._epoch + int(is_warm)
        missed = self._version - report.version
        if report.epoch != epoch or not 0 <= missed <= len(self._changes):
            return self._encode_full(epoch, is_warm, unknown)
        changed_instances = set(list(self._changes)[len(self._changes) - missed :])
        present = sorted(changed_instances & self._entries.keys())
        upserts = [
            build_message(self._entries[instance].server) for instance in present
        ]
        removals = sorted(changed_instances - self._entries.keys()) if is_warm else []
        return catalog.encode_struct(
            messages.DirectoryAnswer(
                epoch, self._version, False, upserts, removals, unknown
            )
        )

    def _encode_full(self, epoch: int, is_warm: bool, unknown: list[str]) -> bytes:
        # All hosts need the same answer after a change of leader, so it is cached.
        if not unknown and self._cached_full_answer[:2] == (epoch, self._version):
            return self._cached_full_answer[2]
        upserts = [build_message(entry.server) for entry in self._entries.values()]
        body = catalog.encode_struct(
            messages.DirectoryAnswer(
                epoch, self._version, is_warm, upserts, [], unknown
            )
        )
        if not unknown:
            self._cached_full_answer = (epoch, self._version, body)
        return body
