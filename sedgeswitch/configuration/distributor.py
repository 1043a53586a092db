"""Sends the configuration to entry hosts and records which version each one uses."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import sections
from sedgeswitch.transport import catalog


class HostVersion(typing.NamedTuple):
    """The configuration version in force on one entry host.

    Attributes
    ----------
    host_id : str
    version : int or None
        None if the host has not reported to this leader yet.
    age_s : float or None
        Time since the last report, in seconds; None if there is none.
    """

    host_id: str
    version: int | None
    age_s: float | None


class InForce(typing.NamedTuple):
    """On which entry hosts the newest version is in force.

    Attributes
    ----------
    version : int
        The newest version.
    hosts : tuple of HostVersion
        All entry hosts that may hold a lease, sorted by id.
    everywhere : bool
        Whether all these hosts have the newest version.
    """

    version: int
    hosts: tuple[HostVersion, ...]
    everywhere: bool

    def list_outdated_hosts(self) -> tuple[str, ...]:
        """Return the ids of the hosts that do not have the newest version yet."""
        return tuple(
            host.host_id for host in self.hosts if not _has_version(host, self.version)
        )


class _HostReport(typing.NamedTuple):
    """The last version that a host reported, and when."""

    version: int
    reported_s: float


class Distributor:
    """Handles the configuration section of heartbeats on a control host.

    Parameters
    ----------
    machine : machine.ConfigurationMachine
        The replicated configuration on this control host.

    Notes
    -----
    It keeps the last reported version of each entry host and the time of that report.
    An answer contains deltas or a document only if the version of the entry host is
    outdated.
    """

    def __init__(self, machine: machines.ConfigurationMachine):
        self._machine = machine
        self._reports_by_host: dict[str, _HostReport] = {}
        self._encoded_document = b""
        self._encoded_version = -1

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Discard the reports received in an earlier leadership of this host."""
        self._reports_by_host.clear()

    def get_version(self) -> int:
        """Return the newest version; entry hosts are notified when it changes."""
        return self._machine.version

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Record the report of an entry host and return the update that it needs.

        Parameters
        ----------
        host_id : str
        body : bytes
            A report from `follower.Follower.build_report`.
        now_s : float

        Returns
        -------
        bytes
            An answer for `follower.Follower.receive_answer`.

        Raises
        ------
        MessageError
            If the report cannot be decoded.
        """
        report = catalog.decode_struct(sections.ConfigurationReport, body)
        self._reports_by_host[host_id] = _HostReport(report.version, now_s)
        answer = sections.ConfigurationAnswer(
            report_id=report.report_id, version=self._machine.version
        )
        if report.version < self._machine.version:
            self._add_update(answer, report)
        return catalog.encode_struct(answer)

    def get_in_force(self, host_ids: typing.Collection[str], now_s: float) -> InForce:
        """Return on which entry hosts the newest version is in force.

        Parameters
        ----------
        host_ids : collection of str
            Entry hosts that may hold a lease. Others need not be counted: a host
            whose lease has expired serves no requests with a key.
        now_s : float
        """
        # Remove the reports of hosts that can no longer hold a lease.
        self._reports_by_host = {
            host_id: report
            for host_id, report in self._reports_by_host.items()
            if host_id in host_ids
        }
        hosts = tuple(self._get_host(host_id, now_s) for host_id in sorted(host_ids))
        version = self._machine.version
        return InForce(
            version, hosts, all(_has_version(host, version) for host in hosts)
        )

    def _get_host(self, host_id: str, now_s: float) -> HostVersion:
        report = self._reports_by_host.get(host_id)
        if report is None:
            return HostVersion(host_id, None, None)
        return HostVersion(host_id, report.version, now_s - report.reported_s)

    def _add_update(self, answer: typing.Any, report: typing.Any) -> None:
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
        # Encoded once per version, because after a change of leader all hosts may
        # need the document at the same time.
        if self._encoded_version != self._machine.version:
            document = self._machine.document
            self._encoded_document = documents.encode_document(document)
            self._encoded_version = self._machine.version
        return self._encoded_document


def _has_version(host: HostVersion, version: int) -> bool:
    return host.version is not None and host.version >= version
