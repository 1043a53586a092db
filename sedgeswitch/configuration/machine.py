"""The replicated state machine of the configuration."""

import collections
import typing

import xxhash

from sedgeswitch.configuration import changes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

NAME = "configuration"
# Requests whose answer is kept, so that a resend gets the same answer.
MAX_RETAINED_REQUESTS = 2_000
# Limits on the number and total size of the deltas that are kept. A host that needs
# older ones gets the whole document.
MAX_DELTAS = 500
MAX_DELTAS_BYTES = 4 * 1024 * 1024


class Delta(typing.NamedTuple):
    """The difference between two successive versions of the configuration.

    Attributes
    ----------
    version : int
        The newer version.
    operations : str
        The operations that lead to it, as JSON.
    document_hash : str
        Hash of the document in the newer version.
    """

    version: int
    operations: str
    document_hash: str


class _RetainedRequest(typing.NamedTuple):
    """A request with its answer, kept so that a resend gets the same answer."""

    request_id: str
    change_hash: str
    answer: changes.Answer


class _Snapshot(typing.NamedTuple):
    """The state of the machine as it is stored; the field names are stored too.

    `remembered` contains the requests that are retained for resends, oldest first.
    """

    version: changes.Version
    document: documents.Document
    remembered: tuple[_RetainedRequest, ...]
    deltas: tuple[Delta, ...]


class ConfigurationMachine:
    """Applies changes to the configuration in the order of the replicated log.

    Attributes
    ----------
    version : int
        Number of accepted changes; version 0 is the empty document.

    Notes
    -----
    The machine is deterministic, so that the same log entries give the same state
    and answers on every host: it uses no clock and no random numbers, and does not
    depend on the iteration order of hash tables.
    """

    def __init__(self):
        self._retained_requests: dict[str, _RetainedRequest] = {}
        self._deltas: collections.deque[Delta] = collections.deque()
        self._deltas_bytes = 0
        self.version = 0
        self._hashed = documents.HashedDocument(documents.Document())

    @property
    def document(self) -> documents.Document:
        """The current configuration."""
        return self._hashed.document

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Apply one log entry and return the answer to its proposer.

        Parameters
        ----------
        index : int
            Index of the entry. It is not used, because the version counts only
            accepted changes.
        body : bytes
            A change as encoded by `changes.encode_change`.

        Returns
        -------
        bytes
            An answer for `changes.decode_answer`.
        """
        try:
            change = changes.decode_change(body)
        except checks.CheckError as error:
            return changes.encode_answer(changes.build_rejected(error))
        return changes.encode_answer(self._answer_change(change))

    def get_deltas(self, since_version: int) -> tuple[Delta, ...] | None:
        """Return the deltas after a version, oldest first.

        Returns
        -------
        tuple of Delta or None
            None if some of these deltas have been discarded or if the version is
            newer than the current one; the whole document is needed then.
        """
        if since_version == self.version:
            return ()
        count = self.version - since_version
        if not 0 < count <= len(self._deltas):
            return None
        return tuple(self._deltas)[-count:]

    def save_snapshot(self) -> bytes:
        """Return the complete state as JSON."""
        snapshot = _Snapshot(
            version=self.version,
            document=self.document,
            remembered=tuple(self._retained_requests.values()),
            deltas=tuple(self._deltas),
        )
        return records.encode_json(snapshot)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the complete state by that of a snapshot.

        Raises
        ------
        CheckError
            If the snapshot is invalid; the state is then unchanged.
        """
        plain = records.decode_json(body, "snapshot")
        snapshot = records.build_record(_Snapshot, plain, "snapshot")
        documents.check_document(snapshot.document)
        self._retained_requests = {
            item.request_id: item for item in snapshot.remembered
        }
        self._deltas = collections.deque(snapshot.deltas)
        self._deltas_bytes = sum(len(delta.operations) for delta in snapshot.deltas)
        self.version = snapshot.version
        self._hashed = documents.HashedDocument(snapshot.document)

    def _answer_change(self, change: changes.Change) -> changes.Answer:
        change_hash = xxhash.xxh3_128_hexdigest(changes.encode_change(change))
        retained = self._retained_requests.get(change.request_id)
        if retained is not None:
            return _answer_resend(retained, change, change_hash)
        answer = self._apply_change(change)
        retained = _RetainedRequest(change.request_id, change_hash, answer)
        self._retained_requests[change.request_id] = retained
        if len(self._retained_requests) > MAX_RETAINED_REQUESTS:
            del self._retained_requests[next(iter(self._retained_requests))]
        return answer

    def _apply_change(self, change: changes.Change) -> changes.Answer:
        if change.base_version != self.version:
            return changes.VersionConflict(change.base_version, self.version)
        try:
            document = operations.apply_operations(self.document, change.operations)
        except checks.CheckError as error:
            return changes.build_rejected(error)
        self.version += 1
        self._hashed = documents.HashedDocument(document, self._hashed)
        self._append_delta(change)
        return changes.Accepted(self.version)

    def _append_delta(self, change: changes.Change) -> None:
        plain = [operations.to_plain(step) for step in change.operations]
        text = records.encode_json(plain).decode()
        self._deltas.append(Delta(self.version, text, self._hashed.hash))
        self._deltas_bytes += len(text)
        while len(self._deltas) > MAX_DELTAS or self._deltas_bytes > MAX_DELTAS_BYTES:
            self._deltas_bytes -= len(self._deltas.popleft().operations)


def _answer_resend(
    retained: _RetainedRequest, change: changes.Change, change_hash: str
) -> changes.Answer:
    if retained.change_hash == change_hash:
        return retained.answer
    allowed = "an id that no other change has used"
    return changes.Rejected("request_id", allowed, change.request_id)
