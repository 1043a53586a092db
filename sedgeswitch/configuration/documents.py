"""The agreed configuration: organisations, keys, labels, selectors and groups.

A document is never changed in place; operations return a new one.
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
    """A key of an organisation, without the key itself.

    Attributes
    ----------
    digest : str
        SHA-256 digest of the key.
    withdrawn : bool
        A withdrawn key never works again.
    """

    digest: Digest
    withdrawn: bool = False


class Organisation(typing.NamedTuple):
    """A customer of the service.

    Attributes
    ----------
    rate_per_s : float
        Requests per second over the whole fleet.
    burst : float
        Requests that may come at once.
    keys : mapping of str to Key
        By key id.
    """

    rate_per_s: Rate
    burst: typing.Annotated[float, msgspec.Meta(ge=1, le=1e9)]
    keys: typing.Mapping[records.Name, Key] = records.EMPTY_MAPPING


class Selector(typing.NamedTuple):
    """Which requests may reach the backend servers with certain labels.

    Attributes
    ----------
    organisations : tuple of str or "*"
    open : bool
        Open to all: requests without a key match too.
    work : tuple of str or "*"
        Kinds of work, such as ``register`` or ``lookup``.
    access : tuple of str
        ``read``, ``write`` or both.
    groups : tuple of str or "*"
    labels : mapping of str to str
        All of them must be on a backend server.
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
        Instances, the primary counted, that a commit reaches before it is
        answered as done.
    replicas_may_serve : bool
        Whether replicas serve reads.
    """

    database: records.Name
    ack_instances: typing.Annotated[int, msgspec.Meta(ge=1, le=9)] = 2
    replicas_may_serve: bool = True


class BackendServer(typing.NamedTuple):
    """Labels that operators put on an instance, over those it announces.

    Attributes
    ----------
    labels : mapping of str to str
    """

    labels: Labels


class Drain(typing.NamedTuple):
    """Backend servers to be emptied: those that carry all the labels.

    Attributes
    ----------
    labels : mapping of str to str
        Never empty, for no labels would match every backend server.
    """

    labels: Labels


class Overload(typing.NamedTuple):
    """Limits on the queue in front of each backend server.

    Attributes
    ----------
    max_queue_length : int
        Requests that wait for one instance on one host.
    max_wait_ms : int
        Longest wait, whatever the deadline of the request.
    """

    max_queue_length: Count = 200
    max_wait_ms: Count = 5_000


class Document(typing.NamedTuple):
    """A whole configuration.

    Attributes
    ----------
    organisations : mapping of str to Organisation
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
    """Return the document that a plain JSON value describes.

    Raises
    ------
    CheckError
        If a field is not allowed or names something the document lacks.

    Examples
    --------
    >>> build_document({"groups": {"g1": {"database": "draw"}}}).groups["g1"]
    Group(database='draw', ack_instances=2, replicas_may_serve=True)
    """
    return check_document(records.build_record(Document, plain))


def encode_document(document: Document) -> bytes:
    """Return the JSON text of a document; equal documents give equal bytes."""
    return records.encode_json(document)


def decode_document(body: bytes) -> Document:
    """Return the document that a JSON text holds.

    Raises
    ------
    CheckError
        As `build_document` does.
    """
    return build_document(records.decode_json(body))


class HashedDocument:
    """A document and the hash by which two hosts see that theirs are equal.

    Parameters
    ----------
    document : Document
    former : HashedDocument, optional
        One that shares most items with `document`; only the others are hashed.

    Attributes
    ----------
    document : Document
    hash : str

    Notes
    -----
    The hash is the exclusive or of the XXH3 hashes of all items.
    """

    def __init__(self, document: Document, former: "HashedDocument | None" = None):
        self.document = document
        self._value = former._value if former is not None else 0
        before = former.document if former is not None else Document()
        for collection in COLLECTIONS:
            self._add_collection(
                collection, getattr(before, collection), getattr(document, collection)
            )
        if former is None or document.overload != before.overload:
            if former is not None:
                self._value ^= _hash_item("overload", "", before.overload)
            self._value ^= _hash_item("overload", "", document.overload)

    @property
    def hash(self) -> str:
        """The hash of the document."""
        return f"{self._value:016x}"

    def _add_collection(
        self, collection: str, before: typing.Mapping, after: typing.Mapping
    ) -> None:
        if before is after:
            return
        for name, item in before.items():
            if after.get(name) is not item:
                self._value ^= _hash_item(collection, name, item)
        for name, item in after.items():
            if before.get(name) is not item:
                self._value ^= _hash_item(collection, name, item)


def _hash_item(collection: str, name: str, item: typing.Any) -> int:
    return xxhash.xxh3_64_intdigest(records.encode_json((collection, name, item)))


def check_document(document: Document) -> Document:
    """Return `document` if its parts agree with each other.

    Raises
    ------
    CheckError
        If a selector names an unknown organisation or group, or matches
        nothing, a drain has no labels, or two keys have one digest.
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
