"""The replicated configuration: organisations, keys, labels, selectors and groups.

Documents are immutable: applying an operation returns a new document.
"""

import typing

import msgspec
import xxhash

from sedgeswitch.utils import checks
from sedgeswitch.utils import records

ALL = "*"
READ = "read"
WRITE = "write"

Names = typing.Literal["*"] | tuple[records.Name, ...]
Access = typing.Literal["read", "write"]
Labels = typing.Mapping[records.Name, records.Name]
Digest = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"\A[0-9a-f]{64}\Z", description="a SHA-256 digest of 64 hex digits"
    ),
]
Rate = typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Key(typing.NamedTuple):
    """An API key of an organisation, of which only the digest is stored.

    Attributes
    ----------
    digest : str
        SHA-256 digest of the key, in hex.
    withdrawn : bool
        Whether the key has been revoked. A withdrawn key is rejected and cannot
        be reinstated.
    """

    digest: Digest
    withdrawn: bool = False


class Organisation(typing.NamedTuple):
    """A customer of the service.

    Attributes
    ----------
    rate_per_s : float
        Allowed rate summed over all entry hosts, in requests per second.
    burst : float
        Number of requests that may arrive at once.
    keys : mapping of str to Key
        API keys by key id.
    """

    rate_per_s: Rate
    burst: typing.Annotated[float, msgspec.Meta(ge=1, le=1e9)]
    keys: typing.Mapping[records.Name, Key] = records.EMPTY_MAPPING


class Selector(typing.NamedTuple):
    """A rule that lets requests reach the backend servers with certain labels.

    Attributes
    ----------
    organisations : tuple of str or "*"
        Names of the organisations whose requests match; ``"*"`` stands for all.
    open : bool
        Whether requests of all callers match, also those without a key;
        `organisations` is then ignored.
    work : tuple of str or "*"
        Kinds of work that match, such as ``register`` or ``lookup``.
    access : tuple of str
        ``read``, ``write`` or both.
    groups : tuple of str or "*"
        Names of the database groups that match.
    labels : mapping of str to str
        Labels that a backend server must have, all of them, to serve a matching
        request.
    """

    organisations: Names = ()
    open: bool = False
    work: Names = ALL
    access: tuple[Access, ...] = (READ, WRITE)
    groups: Names = ALL
    labels: Labels = records.EMPTY_MAPPING


class Group(typing.NamedTuple):
    """A database group: one primary and its replicas.

    Attributes
    ----------
    database : str
        Name of the database.
    ack_instances : int
        Number of instances, including the primary, that must have received a
        commit before it is acknowledged to the caller.
    replicas_may_serve : bool
        Whether replicas serve reads.
    """

    database: records.Name
    ack_instances: typing.Annotated[int, msgspec.Meta(ge=1, le=9)] = 2
    replicas_may_serve: bool = True


class BackendServer(typing.NamedTuple):
    """Labels that operators assign to a database instance.

    Attributes
    ----------
    labels : mapping of str to str
        They override labels of the same name that the instance announces.
    """

    labels: Labels


class Drain(typing.NamedTuple):
    """A request of operators to drain the backend servers with certain labels.

    Attributes
    ----------
    labels : mapping of str to str
        A backend server is drained if it has all of them. At least one label is
        required, because an empty mapping would match every backend server.
    """

    labels: Labels


class Overload(typing.NamedTuple):
    """Limits on the queue in front of each backend server.

    Attributes
    ----------
    max_queue_length : int
        Largest number of requests queued for one instance on one entry host.
    max_wait_ms : int
        Longest time in the queue, also for a request with a later deadline.
    """

    max_queue_length: Count = 200
    max_wait_ms: Count = 5_000


class Document(typing.NamedTuple):
    """A complete configuration.

    Attributes
    ----------
    organisations : mapping of str to Organisation
        By name, as are selectors, groups and drains.
    selectors : mapping of str to Selector
    groups : mapping of str to Group
    backend_servers : mapping of str to BackendServer
        By instance id.
    drains : mapping of str to Drain
    overload : Overload
    """

    organisations: typing.Mapping[records.Name, Organisation] = records.EMPTY_MAPPING
    selectors: typing.Mapping[records.Name, Selector] = records.EMPTY_MAPPING
    groups: typing.Mapping[records.Name, Group] = records.EMPTY_MAPPING
    backend_servers: typing.Mapping[records.Name, BackendServer] = records.EMPTY_MAPPING
    drains: typing.Mapping[records.Name, Drain] = records.EMPTY_MAPPING
    overload: Overload = Overload()


COLLECTIONS = ("organisations", "selectors", "groups", "backend_servers", "drains")


def build_document(plain: typing.Any) -> Document:
    """Return the document that a decoded JSON value describes.

    Raises
    ------
    CheckError
        If a field is invalid or refers to an item that the document does not
        contain.

    Examples
    --------
    >>> build_document({"groups": {"g1": {"database": "draw"}}}).groups["g1"]
    Group(database='draw', ack_instances=2, replicas_may_serve=True)
    """
    return check_document(records.build_record(Document, plain))


def encode_document(document: Document) -> bytes:
    """Encode a document as JSON; equal documents give equal bytes."""
    return records.encode_json(document)


def decode_document(body: bytes) -> Document:
    """Decode a document from JSON.

    Raises
    ------
    CheckError
        If the text is not JSON, or as `build_document` does.
    """
    return build_document(records.decode_json(body))


class HashedDocument:
    """A document with a hash, which hosts compare to detect differing documents.

    Parameters
    ----------
    document : Document
    previous : HashedDocument, optional
        Earlier version of the document. Items that both versions share as the
        same object are not hashed again.

    Attributes
    ----------
    document : Document
    hash : str
        16 hex digits.

    Notes
    -----
    The hash is the exclusive or of the XXH3 hashes of all items, so that items
    can be added and removed one by one and in any order.
    """

    def __init__(self, document: Document, previous: "HashedDocument | None" = None):
        self.document = document
        self._hash_value = previous._hash_value if previous is not None else 0
        before = previous.document if previous is not None else Document()
        for collection in COLLECTIONS:
            self._hash_collection(
                collection, getattr(before, collection), getattr(document, collection)
            )
        if previous is None or document.overload != before.overload:
            if previous is not None:
                self._hash_value ^= _hash_item("overload", "", before.overload)
            self._hash_value ^= _hash_item("overload", "", document.overload)

    @property
    def hash(self) -> str:
        """The hash of the document, as 16 hex digits."""
        return f"{self._hash_value:016x}"

    def _hash_collection(
        self, collection: str, before: typing.Mapping, after: typing.Mapping
    ) -> None:
        if before is after:
            return
        for name, item in before.items():
            if after.get(name) is not item:
                self._hash_value ^= _hash_item(collection, name, item)
        for name, item in after.items():
            if before.get(name) is not item:
                self._hash_value ^= _hash_item(collection, name, item)


def _hash_item(collection: str, name: str, item: typing.Any) -> int:
    return xxhash.xxh3_64_intdigest(records.encode_json((collection, name, item)))


def check_document(document: Document) -> Document:
    """Return `document` if its parts are consistent with each other.

    Raises
    ------
    CheckError
        If a selector names an unknown organisation or group or can match no
        request, if a drain has no labels, or if two keys have the same digest.

    Notes
    -----
    The errors become answers that control hosts store with the replicated state, so
    their texts must be the same in all releases of one fleet.
    """
    for name, selector in document.selectors.items():
        _check_selector(f"selectors.{name}", selector, document)
    for name, drain in document.drains.items():
        if not drain.labels:
            field = f"drains.{name}.labels"
            raise checks.CheckError(field, "at least one label", dict(drain.labels))
    _check_digests(document)
    return document


def _check_selector(field: str, selector: Selector, document: Document) -> None:
    _check_known(
        f"{field}.organisations", selector.organisations, document.organisations
    )
    _check_known(f"{field}.groups", selector.groups, document.groups)
    if not selector.organisations and not selector.open:
        allowed = "at least one organisation, unless the selector is open"
        raise checks.CheckError(f"{field}.organisations", allowed, [])
    for part in ("work", "access", "groups"):
        if not getattr(selector, part):
            raise checks.CheckError(f"{field}.{part}", "at least one", [])


def _check_known(field: str, names: Names, known: typing.Mapping) -> None:
    if names == ALL:
        return
    for name in names:
        if name not in known:
            allowed = f"names in {field.rsplit('.', 1)[1]} of the configuration"
            raise checks.CheckError(field, allowed, name)


def _check_digests(document: Document) -> None:
    seen = set()
    for organisation_id, organisation in document.organisations.items():
        for key_id, key in organisation.keys.items():
            if key.digest in seen:
                field = f"organisations.{organisation_id}.keys.{key_id}.digest"
                raise checks.CheckError(field, "a digest of no other key", key.digest)
            seen.add(key.digest)
