"""The section of the heartbeat that sends the document to entry hosts."""

import collections
import collections.abc
import types
import zlib

import loguru
import trio

from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as machines
from sedgeswitch.databases import messages
from sedgeswitch.transport import catalog

# Earlier versions from which differences are sent. More than changes usually arrive
# between two heartbeats of a host.
MAX_BASE_VERSIONS = 8
# Largest part of a document in one answer, in bytes. On a link of 2 Mbit/s it takes a
# quarter of a second, half of the time after which a connection counts as broken.
MAX_PART_BYTES = 64 * 1024


class ControlSection:
    """Leader side: sends the document to hosts with an older version.

    A host that has one of the last versions gets the difference from it. A document
    that is larger than `MAX_PART_BYTES` is sent in parts, with one heartbeat each.

    Parameters
    ----------
    machine : machine.DocumentMachine
    """

    def __init__(self, machine: machines.DocumentMachine):
        self._machine = machine
        self._reported_versions: dict[str, int] = {}
        # Compressed texts of the last versions, and the differences between them and
        # the one in force.
        self._sources: collections.OrderedDict[int, bytes] = collections.OrderedDict()
        self._differences: dict[int, bytes | None] = {}

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Remove the reports received in an earlier leadership of this host."""
        self._reported_versions.clear()

    def get_version(self) -> int:
        """Return the version in force; a change of it triggers heartbeats."""
        self._record_version()
        return self._machine.version

    def get_reported_versions(self) -> collections.abc.Mapping[str, int]:
        """Return a view of the versions that entry hosts last reported, by host id."""
        return types.MappingProxyType(self._reported_versions)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Record a host's version; include the document if the version is outdated."""
        self._record_version()
        report = catalog.decode_struct(messages.Report, body)
        self._reported_versions[host_id] = report.version
        answer = messages.Answer(self._machine.version)
        if report.version < self._machine.version:
            self._add_document(answer, report)
        return catalog.encode_struct(answer)

    def _add_document(self, answer: messages.Answer, report: messages.Report) -> None:
        """Add the document, its difference from the host's, or a part of it."""
        accepts_parts = report.part_version is not None
        difference = None
        if report.accepts_difference:
            difference = self._get_difference(report.version)
        source = self._machine.source
        if difference is not None and (
            len(difference) <= MAX_PART_BYTES or not accepts_parts
        ):
            answer.base_version = report.version
            answer.difference = difference
        elif len(source) <= MAX_PART_BYTES or not accepts_parts:
            answer.source = source
        else:
            offset = 0
            if report.part_version == self._machine.version:
                offset = min(max(report.part_offset or 0, 0), len(source))
            answer.part = source[offset : offset + MAX_PART_BYTES]
            answer.part_offset = offset
            answer.source_bytes = len(source)

    def _record_version(self) -> None:
        """Keep the text of the version in force, as a base of later differences."""
        if self._machine.version in self._sources or not self._machine.version:
            return
        self._sources[self._machine.version] = self._machine.source
        self._differences.clear()
        if len(self._sources) > MAX_BASE_VERSIONS:
            self._sources.popitem(last=False)

    def _get_difference(self, base_version: int) -> bytes | None:
        """Return the difference from a version, None if the text itself is shorter."""
        if base_version not in self._differences:
            base = self._sources.get(base_version)
            difference = None
            if base is not None:
                difference = machines.build_difference(
                    machines.decompress_source(base), self._machine.get_text()
                )
            if difference is not None and len(difference) >= len(self._machine.source):
                difference = None
            self._differences[base_version] = difference
        return self._differences[base_version]


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
        # Compressed text of the document, from which a difference is applied.
        self._source = b""
        # Version of which a part was received, and the first bytes of its source.
        self._part_version = 0
        self._part = bytearray()
        self._part_listener: collections.abc.Callable[[], None] = lambda: None
        self._accepts_difference = True
        self.confirmed_s = float("-inf")
        self._organisation_by_key: dict[str, str] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._document_received = trio.Event()
        self._confirmed = trio.Event()

    def register_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called after each change of the document."""
        self._listeners.append(listener)

    def set_part_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Set a function that is called when a further part should be requested."""
        self._part_listener = listener

    async def wait_for_document(self) -> None:
        """Wait until the first document is in force."""
        await self._document_received.wait()

    def confirm(self, sent_s: float) -> None:
        """Record that the leader has answered a heartbeat sent at `sent_s`.

        An answer with a part of a newer document confirms nothing.
        """
        if self._part_version:
            return
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
        report = messages.Report(
            self.document.version,
            part_version=self._part_version,
            part_offset=len(self._part),
        )
        if self._source and self._accepts_difference:
            report.accepts_difference = True
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Put the document of the answer in force, if it is newer.

        Raises
        ------
        catalog.MessageError
            If a difference does not apply. The next report requests the whole text.
        """
        answer = catalog.decode_struct(messages.Answer, body)
        if answer.version <= self.document.version:
            return
        text = self._get_text(answer)
        if text is None:
            return
        document = self._decode(text)
        self._source = answer.source or machines.compress_text(text)
        self._drop_part()
        self._accepts_difference = True
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
            try:
                listener()
            except Exception:
                # The document is in force, so that the other listeners must apply it.
                loguru.logger.exception("configuration not applied by a listener")

    def _add_part(self, answer: messages.Answer) -> None:
        """Add a part of a source; set the answer's source once it is complete.

        A part that does not continue the earlier ones is ignored, unless it is a first
        one.
        """
        if answer.version != self._part_version and answer.part_offset == 0:
            self._part_version = answer.version
            self._part.clear()
        is_next = answer.part_offset == len(self._part)
        if answer.version != self._part_version or not is_next:
            return
        self._part += answer.part
        if len(self._part) == answer.source_bytes:
            answer.source = bytes(self._part)
            # Also if it can't be decoded, so that it is requested again as a whole.
            self._drop_part()
        else:
            self._part_listener()

    def _drop_part(self) -> None:
        self._part_version = 0
        self._part.clear()

    def _get_text(self, answer: messages.Answer) -> bytes | None:
        """Return the text of an answer, None if it contains none for this host."""
        if answer.part is not None:
            self._add_part(answer)
        if answer.source is not None:
            return machines.decompress_source(answer.source)
        if answer.difference is None or answer.base_version != self.document.version:
            return None
        base_text = machines.decompress_source(self._source)
        try:
            return machines.apply_difference(base_text, answer.difference)
        except zlib.error as error:
            self._accepts_difference = False
            raise catalog.MessageError(f"difference: {error}") from error
