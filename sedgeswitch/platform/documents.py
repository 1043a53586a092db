"""The platform's configuration, decoded into the product's document."""

import typing

import msgspec

from sedgeswitch.databases import documents
from sedgeswitch.utils import checks

MS_PER_S = 1000.0

_FRESHNESS_BY_KIND = {
    "primary": documents.Freshness.PRIMARY,
    "bounded": documents.Freshness.BOUNDED,
    "read_your_writes": documents.Freshness.SESSION,
}


class _Route(typing.TypedDict):
    name: str
    # Name of the database that callers connect to.
    host: str
    pathPrefix: typing.NotRequired[str]
    # What the database promises about freshness.
    kind: str
    timeoutMs: float
    # Time that an operation should take, a goal rather than a limit.
    targetLatencyMs: typing.NotRequired[float]
    priority: typing.NotRequired[int]
    # Name of the database group.
    service: str
    maxStalenessMs: typing.NotRequired[float]
    # Whether callers need no key.
    public: typing.NotRequired[bool]


class _Service(typing.TypedDict):
    name: str
    # Connections of one instance, from all hosts together.
    maxConns: typing.NotRequired[int]
    syncReplicas: typing.NotRequired[int]


class _Limits(typing.TypedDict, total=False):
    # Idle time in an open transaction, not of a connection.
    txIdleMs: float


class _Tenant(typing.TypedDict):
    name: str
    apiKeys: list[str]
    priority: typing.NotRequired[int]
    ratePerS: typing.NotRequired[float]
    burst: typing.NotRequired[float]


class _Configuration(typing.TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: typing.NotRequired[_Limits]
    tenants: typing.NotRequired[list[_Tenant]]


# Values where the configuration names none.
_DEFAULT_MAX_CONNECTIONS = 20
_DEFAULT_OBJECTIVE_MS = 1000.0
_DEFAULT_TRANSACTION_IDLE_MS = 60_000.0
_UNLIMITED_PER_S = 1e9

_decoder = msgspec.json.Decoder(_Configuration)


def decode_document(text: bytes) -> documents.Document:
    """Return the document that a configuration stands for.

    Raises
    ------
    CheckError
        If the text can't be read in full or its parts do not fit together.
    """
    try:
        source = _decoder.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise checks.CheckError("configuration", "a whole one", str(error)) from error
    if source["version"] < 1:
        raise checks.CheckError("version", "a number above 0", source["version"])
    idle_ms = source.get("limits", {}).get("txIdleMs", _DEFAULT_TRANSACTION_IDLE_MS)
    return documents.check_document(
        documents.Document(
            source["version"],
            _build_databases(source["routes"]),
            _index("services", map(_build_group, source["services"])),
            _index("tenants", map(_build_organisation, source.get("tenants", ()))),
            idle_ms / MS_PER_S,
        )
    )


def _index(field: str, items: typing.Iterable[typing.Any]) -> dict[str, typing.Any]:
    """Return items by their names, each of which may stand once."""
    by_name: dict[str, typing.Any] = {}
    for item in items:
        if item.name in by_name:
            raise checks.CheckError(field, "each name once", item.name)
        by_name[item.name] = item
    return by_name


def _build_databases(
    routes: list[_Route],
) -> dict[str, documents.Database]:
    places: set[tuple[str, str]] = set()
    databases: dict[str, documents.Database] = {}
    for route in routes:
        place = (route["host"], route.get("pathPrefix", "/"))
        if place in places:
            raise checks.CheckError("routes", "each host and prefix once", place)
        places.add(place)
        databases.setdefault(route["host"], _build_database(route))
    return databases


def _build_database(route: _Route) -> documents.Database:
    freshness = _FRESHNESS_BY_KIND.get(route["kind"])
    if freshness is None:
        allowed = f"one of {', '.join(_FRESHNESS_BY_KIND)}"
        raise checks.CheckError("routes.kind", allowed, route["kind"])
    objective_ms = route.get("targetLatencyMs", _DEFAULT_OBJECTIVE_MS)
    return documents.Database(
        route["name"],
        route["host"],
        route["service"],
        freshness,
        route["timeoutMs"] / MS_PER_S,
        objective_ms / MS_PER_S,
        route.get("priority", 0),
        route.get("maxStalenessMs", 0.0) / MS_PER_S,
        route.get("public", False),
    )


def _build_group(service: _Service) -> documents.Group:
    return documents.Group(
        service["name"],
        service.get("maxConns", _DEFAULT_MAX_CONNECTIONS),
        service.get("syncReplicas", 0),
    )


def _build_organisation(tenant: _Tenant) -> documents.Organisation:
    return documents.Organisation(
        tenant["name"],
        tuple(tenant["apiKeys"]),
        tenant.get("ratePerS", _UNLIMITED_PER_S),
        tenant.get("burst", _UNLIMITED_PER_S),
        tenant.get("priority", 0),
    )
