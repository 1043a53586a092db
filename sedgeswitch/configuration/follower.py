"""The copy of the configuration on an entry host, updated by heartbeats."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import indexes
from sedgeswitch.configuration import operations
from sedgeswitch.configuration import sections
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

# Number of latest reports whose send time is kept. An answer to an older report does
# not confirm the document.
MAX_RETAINED_REPORTS = 64


class Follower:
    """Handles the configuration section of heartbeats on an entry host.

    The version never decreases, also when answers arrive late, twice or out of
    order.

    Attributes
    ----------
    version : int
        Version of `document`; 0 until the first answer.
    index : indexes.Index
        Lookup tables of the current document. It is replaced with each version, so
        callers must get it anew for each request.
    """

    def __init__(self):
        self.version = 0
        self._hashed = documents.HashedDocument(documents.Document())
        self.index = indexes.Index(self.document)
        self._wants_document = False
        # Send time of the latest report whose answer had the version of this host.
        self._confirmed_s = -float("inf")
        self._last_report_id = 0
        self._sent_s_by_report_id: dict[int, float] = {}

    @property
    def document(self) -> documents.Document:
        """The current configuration on this host."""
        return self._hashed.document

    def get_age_s(self, now_s: float) -> float:
        """Return the time since the document was last confirmed as current.

        Returns
        -------
        float
            Seconds since the sending of the last report whose answer confirmed the
            version; infinite if there was no such answer. The sending time is used
            because the leader may have compared the versions at any time after it.
        """
        return now_s - self._confirmed_s

    def build_report(self, now_s: float) -> bytes:
        """Return the configuration section of the next heartbeat, as Thrift bytes."""
        self._last_report_id += 1
        self._sent_s_by_report_id[self._last_report_id] = now_s
        if len(self._sent_s_by_report_id) > MAX_RETAINED_REPORTS:
            del self._sent_s_by_report_id[next(iter(self._sent_s_by_report_id))]
        report = sections.ConfigurationReport(
            report_id=self._last_report_id,
            version=self.version,
            wants_document=self._wants_document,
        )
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Process the leader's answer to a report.

        Raises
        ------
        MessageError
            If the bytes cannot be decoded; the document is then unchanged.
        """
        answer = catalog.decode_struct(sections.ConfigurationAnswer, body)
        if answer.version > self.version:
            self._apply_answer(answer)
        sent_s = self._sent_s_by_report_id.get(answer.report_id)
        if sent_s is not None and answer.version == self.version:
            self._confirmed_s = max(self._confirmed_s, sent_s)

    def _apply_answer(self, answer: typing.Any) -> None:
        try:
            if answer.document is not None:
                document = documents.decode_document(answer.document)
                hashed = documents.HashedDocument(document)
                self._activate(hashed, answer.version)
                self._wants_document = False
            else:
                self._apply_deltas(answer.deltas or ())
        except checks.CheckError:
            # A leader of a newer release may send operations or fields that this
            # release does not support.
            self._wants_document = True

    def _apply_deltas(self, deltas: typing.Iterable[typing.Any]) -> None:
        document, version = self.document, self.version
        expected_hash = self._hashed.hash
        for delta in deltas:
            if delta.version != version + 1:
                continue
            steps = operations.build_operations(records.decode_json(delta.operations))
            document = operations.apply_unchecked(document, steps)
            version, expected_hash = delta.version, delta.document_hash
        # The leader has validated its document; an equal hash shows that this one
        # is the same.
        hashed = documents.HashedDocument(document, self._hashed)
        if hashed.hash != expected_hash:
            self._wants_document = True
        elif version > self.version:
            self._activate(hashed, version)

    def _activate(self, hashed: documents.HashedDocument, version: int) -> None:
        self._hashed = hashed
        self.index = indexes.Index(hashed.document)
        self.version = version
