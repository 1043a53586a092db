"""Decodes the platform's configuration into this project's document."""

import collections.abc
import typing

import loguru
import msgspec

from sedgeswitch.databases import documents
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

MS_PER_S = 1000.0

_FRESHNESS_BY_KIND = {
    "primary": documents.Freshness.PRIMARY,
    "bounded": documents.Freshness.BOUNDED,
    "read_your_writes": documents.Freshness.SESSION,
}

_KIND_BY_FRESHNESS = {freshness: kind for kind, freshness in _FRESHNESS_BY_KIND.items()}
# Fields of a document that the file states in milliseconds.
_MS_FIELDS = frozenset(
    (
        "statement_timeout_s",
        "target_latency_s",
        "max_staleness_s",
        "transaction_idle_s",
    )
)

_NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class _Route(typing.TypedDict):
    name: str
    # Name of the database that clients connect to.
    host: str
    pathPrefix: typing.NotRequired[str]
    # Freshness that the database guarantees; one of the keys of _FRESHNESS_BY_KIND.
    kind: str
    timeoutMs: float
    # Target for the duration of an operation; it is not enforced as a limit.
    targetLatencyMs: typing.NotRequired[float]
    priority: typing.NotRequired[int]
    # Name of the database group.
    service: str
    maxStalenessMs: typing.NotRequired[float]
    # Whether clients may connect without a key.
    public: typing.NotRequired[bool]
    # Regions in which its statements may run; all if missing or empty.
    allowedRegions: typing.NotRequired[list[str]]


class _Service(typing.TypedDict):
    name: str
    # Maximum number of connections to one instance, from all hosts together.
    maxConns: typing.NotRequired[int]
    syncReplicas: typing.NotRequired[int]
    # Time for which an instance is slow after its start, and the most statements per
    # second that it may get during that time; 0 for no limit.
    coldStartS: typing.NotRequired[_NotNegative]
    coldPerS: typing.NotRequired[_NotNegative]


class _Limits(typing.TypedDict, total=False):
    # Maximum idle time within an open transaction; it does not limit idle connections.
    txIdleMs: float


class _Tenant(typing.TypedDict):
    name: str
    apiKeys: list[str]
    priority: typing.NotRequired[int]
    ratePerS: typing.NotRequired[float]
    burst: typing.NotRequired[float]
    # As for a route; where both are set, both apply.
    allowedRegions: typing.NotRequired[list[str]]


class Configuration(typing.TypedDict):
    """The platform's configuration."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: typing.NotRequired[_Limits]
    tenants: typing.NotRequired[list[_Tenant]]


# Longest name of a group or an organisation. Instances receive both in one line, which
# has at most 1 MiB.
MAX_NAME_BYTES = 256 * 1024
_DELETE = "\x7f"

# Defaults for fields that the configuration omits.
_DEFAULT_MAX_CONNECTIONS = 20
_DEFAULT_TARGET_LATENCY_MS = 1000.0
_DEFAULT_TRANSACTION_IDLE_MS = 60_000.0

_decoder = msgspec.json.Decoder(Configuration)


class Fault(typing.NamedTuple):
    """A reason to refuse a configuration.

    Attributes
    ----------
    place : str
        Place in the file, such as ``routes[3].timeoutMs``.
    error : checks.CheckError
    """

    place: str
    error: checks.CheckError


# Lists of the file by field of `documents.Document`, and the field that identifies an
# item.
_LISTS = {
    "databases": ("routes", "host"),
    "groups": ("services", "name"),
    "organisations": ("tenants", "name"),
}
_PLACES = {"version": "version", "transaction_idle_s": "limits.txIdleMs"}
# Fields of the file by field of the items of a document.
_FIELDS = {
    "databases": {
        "name": "name",
        "group": "service",
        "freshness": "kind",
        "statement_timeout_s": "timeoutMs",
        "target_latency_s": "targetLatencyMs",
        "priority": "priority",
        "max_staleness_s": "maxStalenessMs",
        "is_public": "public",
        "allowed_regions": "allowedRegions",
    },
    "groups": {
        "name": "name",
        "max_connections": "maxConns",
        "sync_replicas": "syncReplicas",
        "cold_start_s": "coldStartS",
        "cold_rate_per_s": "coldPerS",
    },
    "organisations": {
        "name": "name",
        "keys": "apiKeys",
        "rate_per_s": "ratePerS",
        "burst": "burst",
        "priority": "priority",
        "allowed_regions": "allowedRegions",
    },
}


class Places:
    """Names the places and values of a configuration as its file does.

    Parameters
    ----------
    configuration : Configuration
    """

    def __init__(self, configuration: Configuration):
        self._places = dict.fromkeys(_LISTS, records.EMPTY_MAPPING)
        for collection, (field, identifier) in _LISTS.items():
            places: dict[str, str] = {}
            for position, item in enumerate(configuration.get(field, ())):
                places.setdefault(item[identifier], f"{field}[{position}]")
            self._places[collection] = places

    def name_place(self, location: documents.Location) -> str:
        """Return a place such as ``routes[3].timeoutMs``."""
        if location.collection in _PLACES:
            return _PLACES[location.collection]
        if location.collection == "instances":
            return f"instances.{location.name}"
        place = self._places[location.collection][location.name]
        if location.field is None:
            return place
        return f"{place}.{_FIELDS[location.collection][location.field]}"


def list_route_values(route: _Route) -> dict[str, typing.Any]:
    """Return the values that a route gives its database, by field of the file.

    Fields that the route omits have their defaults. The name is left out.
    """
    database = _build_database(route)
    values = {
        field: convert_value(
            documents.Location("databases", database.database, name),
            getattr(database, name),
        )
        for name, field in _FIELDS["databases"].items()
        if name != "name"
    }
    return values | {"kind": route["kind"]}


def convert_value(location: documents.Location, value: typing.Any) -> typing.Any:
    """Return the value of a document as the file states it; None for no limit."""
    if isinstance(value, documents.Freshness):
        return _KIND_BY_FRESHNESS[value]
    field = location.field or location.collection
    if field in _MS_FIELDS:
        # Rounded because a value in seconds is a quotient with a rounding error.
        return round(value * MS_PER_S, 6)
    is_limit = field in ("rate_per_s", "burst")
    return None if is_limit and value >= documents.UNLIMITED_PER_S else value


def decode_document(text: bytes) -> documents.Document:
    """Return the document for the text of a configuration.

    Parameters
    ----------
    text : bytes
        The platform's configuration as JSON.

    Raises
    ------
    CheckError
        If the text is not valid JSON, a field is missing or has the wrong type, or
        fields contradict each other.
    """
    configuration = decode_configuration(text)
    document = build_document(configuration)
    for fault in find_faults(configuration, document):
        raise fault.error
    return document


def read_document(text: bytes) -> documents.Document:
    """Return the document for the text of a configuration that is in force.

    Items that an earlier release has accepted and this one refuses are left out, so
    that the others are served.

    Parameters
    ----------
    text : bytes
        A text that `decode_document` of this or an earlier release has accepted.

    Raises
    ------
    CheckError
        If the text is not valid JSON, or a field is missing or has the wrong type.
    """
    document = build_document(decode_configuration(text))
    # Without a group, its databases are faulty too.
    while faults := list(_find_document_faults(document)):
        for fault in faults:
            loguru.logger.warning(
                "item of the configuration left out", reason=str(fault.error)
            )
        document = documents.remove_faulty(document, faults)
    return document


def decode_configuration(text: bytes) -> Configuration:
    """Return the configuration with fields of the right types.

    Raises
    ------
    CheckError
        If the text is not valid JSON, or a field is missing or has the wrong type.
    """
    try:
        return _decoder.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise checks.CheckError(
            "configuration",
            "a JSON object with version, routes and services",
            str(error),
        ) from error


def build_document(configuration: Configuration) -> documents.Document:
    """Return the document of a configuration, which may have faults.

    Of several routes of a host, and of items of the same name, the first one counts.
    """
    databases: dict[str, documents.Database] = {}
    for route in configuration["routes"]:
        if route["host"] not in databases:
            databases[route["host"]] = _build_database(route)
    idle_ms = configuration.get("limits", {}).get("txIdleMs", 0.0)
    if idle_ms <= 0.0:
        # As if it was omitted: transactions could not pause at all.
        idle_ms = _DEFAULT_TRANSACTION_IDLE_MS
    return documents.Document(
        configuration["version"],
        databases,
        _index_by_name(map(_build_group, configuration["services"])),
        _index_by_name(map(_build_organisation, configuration.get("tenants", ()))),
        documents.clip_time_s(idle_ms / MS_PER_S),
    )


def find_faults(
    configuration: Configuration, document: documents.Document
) -> collections.abc.Iterator[Fault]:
    """Yield the reasons to refuse a configuration, in the order of the checks.

    Parameters
    ----------
    configuration : Configuration
    document : documents.Document
        From `build_document`.
    """
    version = configuration["version"]
    if not 1 <= version <= catalog.MAX_INT64:
        yield Fault(
            "version",
            checks.CheckError("version", "a 64-bit integer of at least 1", version),
        )
    yield from _find_route_faults(configuration["routes"])
    yield from _find_repeated_names("services", configuration["services"])
    yield from _find_repeated_names("tenants", configuration.get("tenants", []))
    places = Places(configuration)
    for fault in _find_document_faults(document):
        yield Fault(places.name_place(fault.location), fault.error)


def _find_document_faults(
    document: documents.Document,
) -> collections.abc.Iterator[documents.Fault]:
    """Yield the faults of a document that concern one item each."""
    yield from _find_name_faults(document)
    yield from documents.find_faults(document)


def _find_name_faults(
    document: documents.Document,
) -> collections.abc.Iterator[documents.Fault]:
    """Yield names that are no field of a line, in which instances receive them."""
    allowed = f"1 to {MAX_NAME_BYTES} bytes without blanks and control characters"
    for collection in ("groups", "organisations"):
        for name in getattr(document, collection):
            size_bytes = len(name.encode())
            is_size_allowed = 1 <= size_bytes <= MAX_NAME_BYTES
            if is_size_allowed and all(char > " " and char != _DELETE for char in name):
                continue
            given = name if is_size_allowed else f"{size_bytes} bytes"
            yield documents.Fault(
                documents.Location(collection, name, "name"),
                checks.CheckError(f"{collection}.name", allowed, given),
            )


def _find_route_faults(
    routes: list[_Route],
) -> collections.abc.Iterator[Fault]:
    """Yield repeated locations and unknown kinds."""
    locations: set[tuple[str, str]] = set()
    for position, route in enumerate(routes):
        place = f"routes[{position}]"
        location = (route["host"], route.get("pathPrefix", "/"))
        if location in locations:
            yield Fault(
                place,
                checks.CheckError(
                    "routes", "each pair of host and pathPrefix only once", location
                ),
            )
        locations.add(location)
        if route["kind"] not in _FRESHNESS_BY_KIND:
            allowed = f"one of {', '.join(_FRESHNESS_BY_KIND)}"
            yield Fault(
                f"{place}.kind",
                checks.CheckError("routes.kind", allowed, route["kind"]),
            )


def _find_repeated_names(
    field: str, items: typing.Sequence[_Service | _Tenant]
) -> collections.abc.Iterator[Fault]:
    names: set[str] = set()
    for position, item in enumerate(items):
        if item["name"] in names:
            yield Fault(
                f"{field}[{position}].name",
                checks.CheckError(field, "unique names", item["name"]),
            )
        names.add(item["name"])


def _index_by_name(items: typing.Iterable[typing.Any]) -> dict[str, typing.Any]:
    by_name: dict[str, typing.Any] = {}
    for item in items:
        by_name.setdefault(item.name, item)
    return by_name


def _build_database(route: _Route) -> documents.Database:
    # The stand-in for an unknown kind lets the rest of a refused document be checked.
    freshness = _FRESHNESS_BY_KIND.get(route["kind"], documents.Freshness.PRIMARY)
    target_latency_ms = route.get("targetLatencyMs", _DEFAULT_TARGET_LATENCY_MS)
    return documents.Database(
        route["name"],
        route["host"],
        route["service"],
        freshness,
        # A timeout of 0 or less is a fault, which names the value.
        min(route["timeoutMs"] / MS_PER_S, documents.LONGEST_S),
        documents.clip_time_s(target_latency_ms / MS_PER_S),
        documents.clip_count(route.get("priority", 0)),
        documents.clip_time_s(route.get("maxStalenessMs", 0.0) / MS_PER_S),
        route.get("public", False),
        tuple(route.get("allowedRegions", ())),
    )


def _build_group(service: _Service) -> documents.Group:
    return documents.Group(
        service["name"],
        documents.clip_count(service.get("maxConns", _DEFAULT_MAX_CONNECTIONS)),
        documents.clip_count(service.get("syncReplicas", 0)),
        documents.clip_time_s(service.get("coldStartS", 0.0)),
        documents.clip_rate_per_s(service.get("coldPerS", 0.0)),
    )


def _build_organisation(tenant: _Tenant) -> documents.Organisation:
    return documents.Organisation(
        tenant["name"],
        tuple(tenant["apiKeys"]),
        documents.clip_rate_per_s(tenant.get("ratePerS", documents.UNLIMITED_PER_S)),
        documents.clip_rate_per_s(tenant.get("burst", documents.UNLIMITED_PER_S)),
        documents.clip_count(tenant.get("priority", 0)),
        tuple(tenant.get("allowedRegions", ())),
    )
