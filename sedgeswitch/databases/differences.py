"""Differences between two documents, and what each changes for callers."""

import collections.abc
import enum
import typing

from sedgeswitch.databases import documents


class Change(enum.Enum):
    """How an item or a field differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(typing.NamedTuple):
    """An item or a field that differs.

    Attributes
    ----------
    change : Change
    location : documents.Location
        In the earlier document if the item is removed, else in the later one.
    before, after : object
        Values of a field; None for an item. Keys are replaced by their number.
    effect : str
        What changes for callers.
    """

    change: Change
    location: documents.Location
    before: typing.Any
    after: typing.Any
    effect: str


class _Effects(typing.NamedTuple):
    """Effects of a lower and of a higher value; equal where values have no order."""

    lower: str
    higher: str


def _build_equal(effect: str) -> _Effects:
    return _Effects(effect, effect)


_PRIORITY = _Effects(
    "under contention its statements are served earlier",
    "under contention its statements are served later",
)
_REGIONS = _build_equal("statements that no instance in these regions runs are refused")

_ADDED = {
    "databases": "callers can connect to it",
    "groups": "its instances can serve",
    "organisations": "callers with its keys are served",
}
_REMOVED = {
    "databases": "its callers are refused",
    "groups": "its instances serve no longer",
    "organisations": "its callers are refused",
}
_EFFECTS = {
    "databases": {
        "name": _build_equal("nothing for callers; logs show the new name"),
        "group": _build_equal("its statements run on the instances of another group"),
        "freshness": _build_equal("reads have another guarantee of freshness"),
        "statement_timeout_s": _Effects(
            "statements that take longer are ended earlier",
            "statements may take longer before they are ended",
        ),
        "target_latency_s": _Effects(
            "under contention its statements are served earlier",
            "under contention its statements may be served later",
        ),
        "priority": _PRIORITY,
        "max_staleness_s": _Effects(
            "reads return newer data, and more of them need the primary",
            "reads may return older data",
        ),
        "is_public": _Effects(
            "callers without a key are refused", "callers without a key are served"
        ),
        "allowed_regions": _REGIONS,
    },
    "groups": {
        "max_connections": _Effects(
            "statements may wait longer for a connection",
            "more connections to each instance are used",
        ),
        "sync_replicas": _Effects(
            "writes are acknowledged with fewer copies",
            "writes wait for more replicas",
        ),
        "cold_start_s": _Effects(
            "instances are treated as slow for a shorter time after a lost connection",
            "instances are treated as slow for a longer time after a lost connection",
        ),
        "cold_rate_per_s": _build_equal(
            "instances that have just started get another rate of statements"
        ),
    },
    "organisations": {
        "rate_per_s": _Effects(
            "requests above it are refused", "more requests are admitted"
        ),
        "burst": _Effects(
            "shorter bursts are admitted; requests above it are refused",
            "longer bursts are admitted",
        ),
        "priority": _PRIORITY,
        "allowed_regions": _REGIONS,
    },
}
_IDLE_EFFECTS = _Effects(
    "idle transactions are ended earlier", "idle transactions may stay open longer"
)


def compare_documents(
    before: documents.Document, after: documents.Document
) -> collections.abc.Iterator[Difference]:
    """Yield the differences; versions are not compared."""
    keys_in_use = frozenset(
        key for item in after.organisations.values() for key in item.keys
    )
    for collection in _EFFECTS:
        before_items = getattr(before, collection)
        after_items = getattr(after, collection)
        for name in sorted(before_items.keys() - after_items.keys()):
            effect = _REMOVED[collection]
            if collection == "organisations":
                keys = frozenset(before_items[name].keys)
                effect = _describe_keys(keys, frozenset(), keys_in_use) or effect
            location = documents.Location(collection, name)
            yield Difference(Change.REMOVED, location, None, None, effect)
        for name, item in after_items.items():
            if name in before_items:
                yield from _compare_fields(collection, name, before_items[name], item)
            else:
                yield Difference(
                    Change.ADDED,
                    documents.Location(collection, name),
                    None,
                    None,
                    _ADDED[collection],
                )
    yield from _compare_keys(before, after, keys_in_use)
    idle = (before.transaction_idle_s, after.transaction_idle_s)
    if idle[0] != idle[1]:
        location = documents.Location("transaction_idle_s")
        yield _build_change(location, *idle, _IDLE_EFFECTS)


def _compare_fields(
    collection: str, name: str, before: typing.Any, after: typing.Any
) -> collections.abc.Iterator[Difference]:
    for field, effects in _EFFECTS[collection].items():
        values = (getattr(before, field), getattr(after, field))
        if _normalise(values[0]) != _normalise(values[1]):
            location = documents.Location(collection, name, field)
            yield _build_change(location, *values, effects)


def _normalise(value: typing.Any) -> typing.Any:
    """Return a list of regions without its order, other values unchanged."""
    return frozenset(value) if isinstance(value, tuple) else value


def _build_change(
    location: documents.Location,
    before: typing.Any,
    after: typing.Any,
    effects: _Effects,
) -> Difference:
    # Values without an order have equal effects.
    is_number = isinstance(before, (int, float))
    effect = effects.lower if is_number and after < before else effects.higher
    if location.field == "allowed_regions" and not after:
        effect = "statements may run in all regions"
    return Difference(Change.CHANGED, location, before, after, effect)


def _compare_keys(
    before: documents.Document,
    after: documents.Document,
    keys_in_use: frozenset[str],
) -> collections.abc.Iterator[Difference]:
    """Yield changes of keys of organisations in both documents, without the keys."""
    for name, item in after.organisations.items():
        if name not in before.organisations:
            continue
        old_keys = frozenset(before.organisations[name].keys)
        new_keys = frozenset(item.keys)
        if old_keys != new_keys:
            yield Difference(
                Change.CHANGED,
                documents.Location("organisations", name, "keys"),
                len(old_keys),
                len(new_keys),
                _describe_keys(old_keys, new_keys, keys_in_use),
            )


def _describe_keys(
    old_keys: frozenset[str], new_keys: frozenset[str], keys_in_use: frozenset[str]
) -> str:
    """Return what a change of the keys of an organisation means, without the keys."""
    lost = old_keys - new_keys
    effects = (
        (len(lost - keys_in_use), "removed: callers with them are refused"),
        (len(lost & keys_in_use), "moved to another organisation, whose limits apply"),
        (len(new_keys - old_keys), "added: callers with them are served"),
    )
    return "; ".join(f"{count} {text}" for count, text in effects if count)
