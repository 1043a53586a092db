"""Decodes the platform's configuration into this project's document."""

import typing

import msgspec

from sedgeswitch.databases import documents
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks

MS_PER_S = 1000.0

_FRESHNESS_BY_KIND = {
    "primary": documents.Freshness.PRIMARY,
    "bounded": documents.Freshness.BOUNDED,
    "read_your_writes": documents.Freshness.SESSION,
}


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


class _Configuration(typing.TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: typing.NotRequired[_Limits]
    tenants: typing.NotRequired[list[_Tenant]]


# Defaults for fields that the configuration omits.
_DEFAULT_MAX_CONNECTIONS = 20
_DEFAULT_TARGET_LATENCY_MS = 1000.0
_DEFAULT_TRANSACTION_IDLE_MS = 60_000.0
_UNLIMITED_PER_S = 1e9

_decoder = msgspec.json.Decoder(_Configuration)


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
    try:
        configuration = _decoder.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise checks.CheckError(
            "configuration",
            "a JSON object with version, routes and services",
            str(error),
        ) from error
    if not 1 <= configuration["version"] <= catalog.MAX_INT64:
        raise checks.CheckError(
            "version", "a 64-bit integer of at least 1", configuration["version"]
        )
    idle_ms = configuration.get("limits", {}).get(
        "txIdleMs", _DEFAULT_TRANSACTION_IDLE_MS
    )
    return documents.check_document(
        documents.Document(
            configuration["version"],
            _build_databases(configuration["routes"]),
            _index_by_name("services", map(_build_group, configuration["services"])),
            _index_by_name(
                "tenants", map(_build_organisation, configuration.get("tenants", ()))
            ),
            idle_ms / MS_PER_S,
        )
    )


def _index_by_name(
    field: str, items: typing.Iterable[typing.Any]
) -> dict[str, typing.Any]:
    """Return items by name, after checking that each name is used once."""
    by_name: dict[str, typing.Any] = {}
    for item in items:
        if item.name in by_name:
            raise checks.CheckError(field, "unique names", item.name)
        by_name[item.name] = item
    return by_name


def _build_databases(
    routes: list[_Route],
) -> dict[str, documents.Database]:
    """Return the databases by name; the first route of a host defines its database."""
    locations: set[tuple[str, str]] = set()
    databases: dict[str, documents.Database] = {}
    for route in routes:
        location = (route["host"], route.get("pathPrefix", "/"))
        if location in locations:
            raise checks.CheckError(
                "routes", "each pair of host and pathPrefix only once", location
            )
        locations.add(location)
        databases.setdefault(route["host"], _build_database(route))
    return databases


def _build_database(route: _Route) -> documents.Database:
    freshness = _FRESHNESS_BY_KIND.get(route["kind"])
    if freshness is None:
        allowed = f"one of {', '.join(_FRESHNESS_BY_KIND)}"
        raise checks.CheckError("routes.kind", allowed, route["kind"])
    target_latency_ms = route.get("targetLatencyMs", _DEFAULT_TARGET_LATENCY_MS)
    return documents.Database(
        route["name"],
        route["host"],
        route["service"],
        freshness,
        route["timeoutMs"] / MS_PER_S,
        target_latency_ms / MS_PER_S,
        route.get("priority", 0),
        route.get("maxStalenessMs", 0.0) / MS_PER_S,
        route.get("public", False),
        tuple(route.get("allowedRegions", ())),
    )


def _build_group(service: _Service) -> documents.Group:
    return documents.Group(
        service["name"],
        min(service.get("maxConns", _DEFAULT_MAX_CONNECTIONS), catalog.MAX_INT32),
        service.get("syncReplicas", 0),
        service.get("coldStartS", 0.0),
        service.get("coldPerS", 0.0),
    )


def _build_organisation(tenant: _Tenant) -> documents.Organisation:
    return documents.Organisation(
        tenant["name"],
        tuple(tenant["apiKeys"]),
        tenant.get("ratePerS", _UNLIMITED_PER_S),
        tenant.get("burst", _UNLIMITED_PER_S),
        tenant.get("priority", 0),
        tuple(tenant.get("allowedRegions", ())),
    )
