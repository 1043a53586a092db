"""The section of the heartbeat that sends the document to entry hosts."""

import collections.abc
import types

import loguru
import trio

from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as machines
from sedgeswitch.databases import messages
from sedgeswitch.transport import catalog


class ControlSection:
    """Leader side: sends the document to hosts with an older version.

    Parameters
    ----------
    machine : machine.DocumentMachine
    """

    def __init__(self, machine: machines.DocumentMachine):
        self._machine = machine
        self._reported_versions: dict[str, int] = {}

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Remove the reports received in an earlier leadership of this host."""
        self._reported_versions.clear()

    def get_version(self) -> int:
        """Return the version in force; a change of it triggers heartbeats."""
        return self._machine.version

    def get_reported_versions(self) -> collections.abc.Mapping[str, int]:
        """Return a view of the versions that entry hosts last reported, by host id."""
        return types.MappingProxyType(self._reported_versions)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Record a host's version; include the document if the version is outdated."""
        report = catalog.decode_struct(messages.Report, body)
        self._reported_versions[host_id] = report.version
        answer = messages.Answer(self._machine.version)
        if report.version < self._machine.version:
            answer.source = self._machine.source
        return catalog.encode_struct(answer)


class EntrySection:
    """Entry side: the host's copy of the document, whose version never decreases.

    Parameters
    ----------
    decode : documents.Decode
        Decodes the text of a document.

    Attributes
    ----------
    document : documents.Document
    confirmed_s : float
        Time at which the leader had no newer document, at the latest.
    """

    def __init__(self, decode: documents.Decode):
        self._decode = decode
        self.document = documents.Document()
        self.confirmed_s = float("-inf")
        self._organisation_by_key: dict[str, str] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._document_received = trio.Event()
        self._confirmed = trio.Event()

    def register_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called after each change of the document."""
        self._listeners.append(listener)

    async def wait_for_document(self) -> None:
        """Wait until the first document is in force."""
        await self._document_received.wait()

    def confirm(self, sent_s: float) -> None:
        """Record that the leader has answered a heartbeat sent at `sent_s`."""
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self._confirmed.set()
        self._confirmed = trio.Event()

    async def wait_for_confirmation(self) -> None:
        """Wait until the leader answers the next heartbeat."""
        await self._confirmed.wait()

    def get_age_s(self, now_s: float) -> float:
        """Return for how long the leader may have had a newer document."""
        return now_s - self.confirmed_s

    def get_organisation(self, key: str) -> documents.Organisation | None:
        """Return the organisation of a key, None if the key is unknown."""
        name = self._organisation_by_key.get(key)
        return None if name is None else self.document.organisations[name]

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the section of the next heartbeat."""
        return catalog.encode_struct(messages.Report(self.document.version))

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Put the document of the answer in force, if it is newer."""
        answer = catalog.decode_struct(messages.Answer, body)
        if answer.version <= self.document.version or answer.source is None:
            return
        document = self._decode(machines.decompress_source(answer.source))
        self._organisation_by_key = documents.index_keys(document)
        self.document = document
        self._document_received.set()
        loguru.logger.info(
            "configuration in force",
            version=document.version,
            databases=len(document.databases),
            organisations=len(document.organisations),
        )
        for listener in self._listeners:
            listener()
