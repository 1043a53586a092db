"""The replicated state machine of the configuration document."""

import zlib

from sedgeswitch.databases import documents
from sedgeswitch.databases import messages
from sedgeswitch.transport import catalog

NAME = "databases"
# The fastest level is enough, because a document consists mostly of repeated
# field names.
_COMPRESSION_LEVEL = 1


class DocumentMachine:
    """State machine that stores the document with the highest version.

    Attributes
    ----------
    version : int
        Version in force, 0 for none.
    source : bytes
        Compressed text of the document, as the operator sent it.
    """

    def __init__(self):
        self.version = 0
        self.source = b""

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Replace the document if the version is higher than the one in force."""
        command = catalog.decode_struct(messages.Replace, body)
        is_newer = command.version > self.version
        if is_newer:
            self.version = command.version
            self.source = command.source
        result = messages.ReplaceResult(is_newer, self.version)
        return catalog.encode_struct(result)

    def save_snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return catalog.encode_struct(messages.Snapshot(self.version, self.source))

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by a snapshot from `save_snapshot`."""
        snapshot = catalog.decode_struct(messages.Snapshot, body)
        self.version = snapshot.version
        self.source = snapshot.source

    def get_text(self) -> bytes:
        """Return the text of the document in force, empty if there is none."""
        return decompress_source(self.source)


class DocumentView:
    """The replicated document, decoded once for each version.

    Parameters
    ----------
    machine : DocumentMachine
    decode : documents.Decode
    """

    def __init__(self, machine: DocumentMachine, decode: documents.Decode):
        self._machine = machine
        self._decode = decode
        self._document = documents.Document()

    @property
    def document(self) -> documents.Document:
        """The document in force."""
        if self._document.version != self._machine.version:
            self._document = self._decode(self._machine.get_text())
        return self._document


def build_command(version: int, text: bytes) -> bytes:
    """Return the encoded command that puts a document in force."""
    source = compress_text(text)
    return catalog.encode_struct(messages.Replace(version, source))


def compress_text(text: bytes) -> bytes:
    """Return the compressed text of a document."""
    return zlib.compress(text, _COMPRESSION_LEVEL)


def decode_result(body: bytes) -> messages.ReplaceResult:
    """Decode the result of a command."""
    return catalog.decode_struct(messages.ReplaceResult, body)


def build_difference(base_text: bytes, text: bytes) -> bytes:
    """Return a text compressed with an earlier one as the dictionary.

    It is short if the texts differ little, except beyond the window of 32 KB of the
    compression.
    """
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zdict=base_text)
    return compressor.compress(text) + compressor.flush()


def apply_difference(base_text: bytes, difference: bytes) -> bytes:
    """Return the text of a difference from `build_difference`.

    Raises
    ------
    zlib.error
        If the difference is malformed or was built from another text.
    """
    decompressor = zlib.decompressobj(zdict=base_text)
    return decompressor.decompress(difference) + decompressor.flush()


def decompress_source(source: bytes) -> bytes:
    """Return the text of a compressed document, empty for an empty source."""
    return zlib.decompress(source) if source else b""
