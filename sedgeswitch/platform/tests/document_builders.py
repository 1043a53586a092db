"""Configuration files for the tests of their check."""

import msgspec
from hypothesis import strategies

from sedgeswitch.platform.tests import builders

SECRET = "key-that-must-not-be-printed"

INSTANCES = [
    {"id": "i-1", "service": "lots", "zone": "bagmati-a", "slots": 3},
    {"id": "i-2", "service": "lots", "zone": "koshi-a", "slots": 3},
]
REGIONS = {"bagmati-a": "bagmati", "koshi-a": "koshi", "mechi-a": "mechi"}

# Each entry breaks one field of a valid configuration: path, value and place of the
# error. None as the value removes the field. No two share a field.
BROKEN_FIELDS = (
    (("version",), 0, "version"),
    (("routes", 0, "timeoutMs"), 0, "routes[0].timeoutMs"),
    (("routes", 0, "kind"), "eventual", "routes[0].kind"),
    (("routes", 0, "priority"), "high", "routes[0].priority"),
    (("routes", 1, "service"), "unknown", "routes[1].service"),
    (("routes", 1, "timeoutMs"), "soon", "routes[1].timeoutMs"),
    (("routes", 1, "kind"), None, "routes[1].kind"),
    (("services", 1, "name"), "lots", "services[1].name"),
    (("services", 0, "coldPerS"), -1, "services[0].coldPerS"),
    (("limits", "txIdleMs"), [], "limits.txIdleMs"),
    (("tenants", 0, "allowedRegions"), "koshi", "tenants[0].allowedRegions"),
    (("tenants", 0, "apiKeys"), None, "tenants[0].apiKeys"),
    (("tenants", 2, "apiKeys"), ["k-2"], "tenants[2].apiKeys"),
    (("tenants", 2, "burst"), "many", "tenants[2].burst"),
    (("tenants", 3), "no object", "tenants[3]"),
)


def build_plain():
    tenants = [
        builders.TENANT | {"name": f"ward-{number}", "apiKeys": [f"k-{number}"]}
        for number in (1, 2, 3, 4)
    ]
    return {
        "version": 7,
        "routes": [
            dict(builders.ROUTE),
            builders.ROUTE | {"name": "r-2", "host": "sign-up"},
        ],
        "services": [dict(builders.SERVICE), builders.SERVICE | {"name": "spare"}],
        "limits": {"txIdleMs": 3000},
        "tenants": tenants,
    }


def break_fields(plain, broken_fields):
    for path, value, _ in broken_fields:
        target = plain
        for step in path[:-1]:
            target = target[step]
        if value is None:
            del target[path[-1]]
        else:
            target[path[-1]] = value
    return msgspec.json.encode(plain)


def build_text(*, route=None, service=None, tenant=None, **changes):
    """Return a configuration with one item of each kind."""
    given = {
        "routes": [builders.ROUTE | (route or {})],
        "services": [builders.SERVICE | (service or {})],
        "tenants": [builders.TENANT | (tenant or {})],
    }
    return builders.build_configuration(**(given | changes))


_NAMES = strategies.sampled_from(["a", "b", "lots"])
_NUMBERS = strategies.sampled_from([0, 1, -1, 0.5, 2000, 2**40, 2**63, 10**30, 1e300])
_REGION_LISTS = strategies.lists(strategies.sampled_from(["koshi", "mechi"]))
# Now and then a field has a value of any type.
_ANY = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.text(max_size=3),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.just({}),
)


def _mostly(strategy):
    return strategies.integers(0, 30).flatmap(
        lambda number: _ANY if number == 30 else strategy
    )


def _objects(required, optional):
    return _mostly(
        strategies.fixed_dictionaries(
            {name: _mostly(item) for name, item in required.items()},
            optional={name: _mostly(item) for name, item in optional.items()},
        )
    )


_ROUTES = _objects(
    {
        "name": _NAMES,
        "host": _NAMES,
        "kind": strategies.sampled_from(
            ["primary", "bounded", "read_your_writes", "eventual"]
        ),
        "timeoutMs": _NUMBERS,
        "service": _NAMES,
    },
    {
        "pathPrefix": strategies.sampled_from(["/", "/a"]),
        "targetLatencyMs": _NUMBERS,
        "priority": _NUMBERS,
        "maxStalenessMs": _NUMBERS,
        "public": strategies.booleans(),
        "allowedRegions": _REGION_LISTS,
    },
)
_SERVICES = _objects(
    {"name": _NAMES},
    {
        "maxConns": _NUMBERS,
        "syncReplicas": _NUMBERS,
        "coldStartS": _NUMBERS,
        "coldPerS": _NUMBERS,
    },
)
_TENANTS = _objects(
    {"name": _NAMES, "apiKeys": strategies.lists(_NAMES, max_size=2)},
    {
        "priority": _NUMBERS,
        "ratePerS": _NUMBERS,
        "burst": _NUMBERS,
        "allowedRegions": _REGION_LISTS,
    },
)
_RANDOM_TEXTS = _objects(
    {
        "version": strategies.sampled_from([1, 7, 7, 7, 0, 2**63]),
        "routes": strategies.lists(_ROUTES, max_size=3),
        "services": strategies.lists(_SERVICES, max_size=3),
    },
    {
        "limits": _objects({}, {"txIdleMs": _NUMBERS}),
        "tenants": strategies.lists(_TENANTS, max_size=3),
    },
).map(msgspec.json.encode)


def _list_paths(value, path=()):
    if path:
        yield path
    if isinstance(value, (dict, list)):
        steps = value if isinstance(value, dict) else range(len(value))
        for step in steps:
            yield from _list_paths(value[step], (*path, step))


@strategies.composite
def _edited_texts(draw):
    """Return a valid configuration with up to three replaced values."""
    plain = build_plain()
    for _ in range(draw(strategies.integers(0, 3))):
        path = draw(strategies.sampled_from(sorted(_list_paths(plain), key=repr)))
        value = draw(strategies.one_of(_NAMES, _NUMBERS, _REGION_LISTS, _ANY))
        target = plain
        for step in path[:-1]:
            target = target[step]
        target[path[-1]] = value
    return msgspec.json.encode(plain)


# Texts of configurations with and without errors.
TEXTS = strategies.one_of(_RANDOM_TEXTS, _edited_texts())


# Names and numbers at the limits of what a configuration may hold.
ODD_NAMES = (
    "ward-7@sindhuli",
    "\u0935\u0921\u093e-\u096d",
    "a/b?c=%20#'\"\\",
    "-",
    "public",
    "x" * 65,
    "x" * 5000,
    "\U0001f9f9" * 100,
)
ODD_NUMBERS = (0, -1, 0.5, 1e-300, 2**31, 3e9, 2**63, 10**30, 1e300, -1e300)
ORDINARY_KEY = "k-ordinary"
ODD_KEY = "k odd \u0935"


def build_odd(draw):
    """Return a configuration with an ordinary item of each kind, and an odd one.

    Parameters
    ----------
    draw : callable
        ``draw(name, choices)`` returns one of the choices for a field.
    """

    def draw_numbers(*fields):
        return {field: draw(field, ODD_NUMBERS) for field in fields}

    def draw_counts(*fields):
        return {field: int(draw(field, ODD_NUMBERS)) for field in fields}

    group = draw("service", ODD_NAMES)
    odd_route = (
        builders.ROUTE
        | {"name": draw("route", ODD_NAMES), "host": draw("host", ODD_NAMES)}
        | {"service": draw("route service", ("lots", group))}
        | draw_numbers("timeoutMs", "targetLatencyMs", "maxStalenessMs")
        | draw_counts("route priority")
    )
    odd_route["priority"] = odd_route.pop("route priority")
    odd_service = (
        builders.SERVICE
        | {"name": group}
        | draw_numbers("coldStartS", "coldPerS")
        | draw_counts("maxConns", "syncReplicas")
    )
    odd_tenant = {"name": draw("tenant", ODD_NAMES), "apiKeys": [ODD_KEY, ""]}
    odd_tenant |= draw_numbers("ratePerS", "burst") | draw_counts("priority")
    return {
        "version": draw("version", (2, 7, 2**63 - 1)),
        "routes": [dict(builders.ROUTE), odd_route],
        "services": [dict(builders.SERVICE), odd_service],
        "limits": draw_numbers("txIdleMs"),
        "tenants": [
            builders.TENANT | {"apiKeys": [ORDINARY_KEY]},
            odd_tenant,
        ],
    }
