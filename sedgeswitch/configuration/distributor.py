"""The control side: spreads the configuration and knows where it is in force."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import sections
from sedgeswitch.transport import catalog


class HostVersion(typing.NamedTuple):
    """The version in force on one entry host.

    Attributes
    ----------
    host_id : str
    version : int or None
        None if the host has not reported to this leader yet.
    age_s : float or None
        Time since the report, in seconds.
    """

    host_id: str
    version: int | None
    age_s: float | None


class InForce(typing.NamedTuple):
    """Where the newest version is in force.

    Attributes
    ----------
    version : int
    hosts : tuple of HostVersion
    everywhere : bool
        Whether every host that may hold a lease has this version.
    """

    version: int
    hosts: tuple[HostVersion, ...]
    everywhere: bool

    def list_outdated_hosts(self) -> tuple[str, ...]:
        """Return the hosts where this version is not yet in force."""
        return tuple(
            host.host_id for host in self.hosts if not _has(host, self.version)
        )


class _Reported(typing.NamedTuple):
    version: int
    reported_s: float


class Distributor:
    """The control side of the configuration section of a heartbeat.

    Parameters
    ----------
    machine : machine.ConfigurationMachine
        The agreed state on this control host.

    Notes
    -----
    Keeps one version and one time per entry host.  Answers are empty unless the
    host is behind.
    """

    def __init__(self, machine: machines.ConfigurationMachine):
        self._machine = machine
        self._reported: dict[str, _Reported] = {}
        self._encoded_document = b""
        self._encoded_version = -1

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Forget what hosts reported to an earlier leadership of this host."""
        self._reported.clear()

    def get_version(self) -> int:
        """Return the version in force, a change of which wakes entry hosts."""
        return self._machine.version

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Return what an entry host lacks.

        Parameters
        ----------
        host_id : str
        body : bytes
            From `follower.Follower.build_report`.
        now_s : float

        Raises
        ------
        MessageError
            If the bytes are no report.
        """
        report = catalog.decode_struct(sections.ConfigurationReport, body)
        self._reported[host_id] = _Reported(report.version, now_s)
        answer = sections.ConfigurationAnswer(
            report_id=report.report_id, version=self._machine.version
        )
        if report.version < self._machine.version:
            self._fill(answer, report)
        return catalog.encode_struct(answer)

    def get_in_force(self, host_ids: typing.Collection[str], now_s: float) -> InForce:
        """Return where the newest version is in force.

        Parameters
        ----------
        host_ids : collection of str
            Entry hosts that may hold a lease.  A host whose lease has run out
            serves no keyed request, so it does not count.
        now_s : float
        """
        # Versions of hosts that have left are not needed any more.
        self._reported = {
            host_id: reported
            for host_id, reported in self._reported.items()
            if host_id in host_ids
        }
        hosts = tuple(self._get_host(host_id, now_s) for host_id in sorted(host_ids))
        version = self._machine.version
        return InForce(version, hosts, all(_has(host, version) for host in hosts))

    def _get_host(self, host_id: str, now_s: float) -> HostVersion:
        reported = self._reported.get(host_id)
        if reported is None:
            return HostVersion(host_id, None, None)
        return HostVersion(host_id, reported.version, now_s - reported.reported_s)

    def _fill(self, answer: typing.Any, report: typing.Any) -> None:
        deltas = self._machine.get_deltas(report.version)
        if deltas is None or report.wants_document:
            answer.document = self._get_encoded_document()
            return
        answer.deltas = [
            sections.Delta(
                version=delta.version,
                operations=delta.operations.encode(),
                document_hash=delta.document_hash,
            )
            for delta in deltas
        ]

    def _get_encoded_document(self) -> bytes:
        # All hosts ask at the same time after a change of leader.
        if self._encoded_version != self._machine.version:
            document = self._machine.document
            self._encoded_document = documents.encode_document(document)
            self._encoded_version = self._machine.version
        return self._encoded_document


def _has(host: HostVersion, version: int) -> bool:
    return host.version is not None and host.version >= version
