"""How the document reaches entry hosts: a section of the heartbeat."""

import collections.abc

import loguru
import trio

from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as machines
from sedgeswitch.databases import messages
from sedgeswitch.transport import catalog


class ControlSection:
    """The leader's side.

    Parameters
    ----------
    machine : machine.DocumentMachine
    """

    def __init__(self, machine: machines.DocumentMachine):
        self._machine = machine
        self._reported: dict[str, int] = {}

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Forget what hosts reported to an earlier leadership of this host."""
        self._reported.clear()

    def get_version(self) -> int:
        """Return the version in force, a change of which wakes entry hosts."""
        return self._machine.version

    def get_reported_versions(self) -> dict[str, int]:
        """Return the version that each entry host has reported."""
        return dict(self._reported)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Return the document if the host lacks it."""
        report = catalog.decode_struct(messages.Report, body)
        self._reported[host_id] = report.version
        answer = messages.Answer(self._machine.version)
        if report.version < self._machine.version:
            answer.source = self._machine.source
        return catalog.encode_struct(answer)


class EntrySection:
    """The entry host's copy of the document, whose version only goes up.

    Parameters
    ----------
    decode : documents.Decode
        Reads the text of a document.

    Attributes
    ----------
    document : documents.Document
    """

    def __init__(self, decode: documents.Decode):
        self._decode = decode
        self.document = documents.Document()
        self._owners: dict[str, str] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._first = trio.Event()

    def register_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called when a document comes in force."""
        self._listeners.append(listener)

    async def wait_for_document(self) -> None:
        """Wait until a document is in force."""
        await self._first.wait()

    def get_organisation(self, key: str) -> documents.Organisation | None:
        """Return the organisation that holds a key."""
        name = self._owners.get(key)
        return None if name is None else self.document.organisations[name]

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the section of the next heartbeat."""
        return catalog.encode_struct(messages.Report(self.document.version))

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Put a newer document in force."""
        answer = catalog.decode_struct(messages.Answer, body)
        if answer.version <= self.document.version or answer.source is None:
            return
        document = self._decode(machines.decompress_source(answer.source))
        self._owners = documents.index_keys(document)
        self.document = document
        self._first.set()
        loguru.logger.info(
            "configuration in force",
            version=document.version,
            databases=len(document.databases),
            organisations=len(document.organisations),
        )
        for listener in self._listeners:
            listener()
