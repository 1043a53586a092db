"""The entry host's copy of the configuration."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import indexes
from sedgeswitch.configuration import operations
from sedgeswitch.configuration import sections
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

MAX_OPEN_REPORTS = 64


class Follower:
    """The entry side of the configuration section of a heartbeat.

    The version in force only ever goes up, whatever answers arrive late, twice
    or out of order.

    Attributes
    ----------
    version : int
        0 until the first answer.
    index : indexes.Index
        Look-up tables of the document in force; replaced with each version, so
        it is read anew for each request.
    """

    def __init__(self):
        self.version = 0
        self._hashed = documents.HashedDocument(documents.Document())
        self.index = indexes.Index(self.document)
        self._wants_document = False
        self._confirmed_s = -float("inf")
        self._last_report_id = 0
        self._sent_s_by_report_id: dict[int, float] = {}

    @property
    def document(self) -> documents.Document:
        """The configuration in force on this host."""
        return self._hashed.document

    def get_age_s(self, now_s: float) -> float:
        """Return how long ago the document was surely the newest, in seconds.

        Returns
        -------
        float
            Counted from the sending of the report whose answer confirmed it;
            infinite before the first.
        """
        return now_s - self._confirmed_s

    def build_report(self, now_s: float) -> bytes:
        """Return the section of the next heartbeat."""
        self._last_report_id += 1
        self._sent_s_by_report_id[self._last_report_id] = now_s
        if len(self._sent_s_by_report_id) > MAX_OPEN_REPORTS:
            del self._sent_s_by_report_id[next(iter(self._sent_s_by_report_id))]
        report = sections.ConfigurationReport(
            report_id=self._last_report_id,
            version=self.version,
            wants_document=self._wants_document,
        )
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Take in the leader's answer to a report.

        Raises
        ------
        MessageError
            If the bytes are no answer; the document stays as it was.
        """
        answer = catalog.decode_struct(sections.ConfigurationAnswer, body)
        if answer.version > self.version:
            self._advance(answer)
        sent_s = self._sent_s_by_report_id.get(answer.report_id)
        if sent_s is not None and answer.version == self.version:
            self._confirmed_s = max(self._confirmed_s, sent_s)

    def _advance(self, answer: typing.Any) -> None:
        try:
            if answer.document is not None:
                document = documents.decode_document(answer.document)
                hashed = documents.HashedDocument(document)
                self._put_in_force(hashed, answer.version)
                self._wants_document = False
            else:
                self._apply_deltas(answer.deltas or ())
        except checks.CheckError:
            # A leader of a newer release may know more than this host does.
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
        # The leader has checked the document; an equal hash says it is the same.
        hashed = documents.HashedDocument(document, self._hashed)
        if hashed.hash != expected_hash:
            self._wants_document = True
        elif version > self.version:
            self._put_in_force(hashed, version)

    def _put_in_force(self, hashed: documents.HashedDocument, version: int) -> None:
        self._hashed = hashed
        self.index = indexes.Index(hashed.document)
        self.version = version
