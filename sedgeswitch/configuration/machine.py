"""The agreed state machine of the configuration."""

import collections
import typing

import xxhash

from sedgeswitch.configuration import changes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

NAME = "configuration"
MAX_RETAINED_REQUESTS = 2_000
MAX_DELTAS = 500
MAX_DELTAS_BYTES = 4 * 1024 * 1024


class Delta(typing.NamedTuple):
    """What one accepted change did.

    Attributes
    ----------
    version : int
        Version that it made.
    operations : str
        Its operations as JSON.
    document_hash : str
        Hash of the document after it.
    """

    version: int
    operations: str
    document_hash: str


class _Remembered(typing.NamedTuple):
    request_id: str
    change_hash: str
    answer: changes.Answer


class _Snapshot(typing.NamedTuple):
    version: changes.Version
    document: documents.Document
    remembered: tuple[_Remembered, ...]
    deltas: tuple[Delta, ...]


class ConfigurationMachine:
    """Applies changes in the order of the replicated log.

    Attributes
    ----------
    version : int
        Goes up by one with each accepted change; 0 is the empty document.

    Notes
    -----
    The same log entries give the same state and answers on every host: no
    clock, random number or order of a hash table is used.
    """

    def __init__(self):
        self._remembered: dict[str, _Remembered] = {}
        self._deltas: collections.deque[Delta] = collections.deque()
        self._deltas_bytes = 0
        self.version = 0
        self._hashed = documents.HashedDocument(documents.Document())

    @property
    def document(self) -> documents.Document:
        """The configuration in force."""
        return self._hashed.document

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Apply one log entry and return the answer to its proposer.

        Parameters
        ----------
        index : int
            Index of the entry; the version counts accepted changes instead.
        body : bytes
            See `changes.encode_change`.

        Returns
        -------
        bytes
            See `changes.decode_answer`.
        """
        try:
            change = changes.decode_change(body)
        except checks.CheckError as error:
            return changes.encode_answer(changes.build_rejected(error))
        return changes.encode_answer(self._answer(change))

    def get_deltas(self, since_version: int) -> tuple[Delta, ...] | None:
        """Return what changed since a version, oldest first.

        Returns
        -------
        tuple of Delta or None
            None if it is not known any more and the whole document is needed.
        """
        if since_version == self.version:
            return ()
        count = self.version - since_version
        if not 0 < count <= len(self._deltas):
            return None
        return tuple(self._deltas)[-count:]

    def save_snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        snapshot = _Snapshot(
            version=self.version,
            document=self.document,
            remembered=tuple(self._remembered.values()),
            deltas=tuple(self._deltas),
        )
        return records.encode_json(snapshot)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises
        ------
        CheckError
            If the bytes are no snapshot; the state stays as it was.
        """
        plain = records.decode_json(body, "snapshot")
        snapshot = records.build_record(_Snapshot, plain, "snapshot")
        documents.check_document(snapshot.document)
        self._remembered = {item.request_id: item for item in snapshot.remembered}
        self._deltas = collections.deque(snapshot.deltas)
        self._deltas_bytes = sum(len(delta.operations) for delta in snapshot.deltas)
        self.version = snapshot.version
        self._hashed = documents.HashedDocument(snapshot.document)

    def _answer(self, change: changes.Change) -> changes.Answer:
        change_hash = xxhash.xxh3_128_hexdigest(changes.encode_change(change))
        first = self._remembered.get(change.request_id)
        if first is not None:
            return _answer_resend(first, change, change_hash)
        answer = self._decide(change)
        remembered = _Remembered(change.request_id, change_hash, answer)
        self._remembered[change.request_id] = remembered
        if len(self._remembered) > MAX_RETAINED_REQUESTS:
            del self._remembered[next(iter(self._remembered))]
        return answer

    def _decide(self, change: changes.Change) -> changes.Answer:
        if change.base_version != self.version:
            return changes.VersionConflict(change.base_version, self.version)
        try:
            document = operations.apply_operations(self.document, change.operations)
        except checks.CheckError as error:
            return changes.build_rejected(error)
        self.version += 1
        self._hashed = documents.HashedDocument(document, self._hashed)
        self._add_delta(change)
        return changes.Accepted(self.version)

    def _add_delta(self, change: changes.Change) -> None:
        plain = [operations.to_plain(step) for step in change.operations]
        text = records.encode_json(plain).decode()
        self._deltas.append(Delta(self.version, text, self._hashed.hash))
        self._deltas_bytes += len(text)
        while len(self._deltas) > MAX_DELTAS or self._deltas_bytes > MAX_DELTAS_BYTES:
            self._deltas_bytes -= len(self._deltas.popleft().operations)


def _answer_resend(
    first: _Remembered, change: changes.Change, change_hash: str
) -> changes.Answer:
    if first.change_hash == change_hash:
        return first.answer
    allowed = "an id that no other change has used"
    return changes.Rejected("request_id", allowed, change.request_id)
