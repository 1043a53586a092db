"""Rules that find entries of a document that never match or contradict each other."""

import collections.abc
import functools
import typing

from sedgeswitch.databases import documents


class PlacedFinding(typing.NamedTuple):
    """A finding with its place in the file, such as ``groups[3].name``."""

    place: str
    detail: str


class Finding(typing.NamedTuple):
    """A finding with its location in the decoded document."""

    location: documents.Location
    detail: str


class Instance(typing.NamedTuple):
    """An announced instance.

    Attributes
    ----------
    instance : str
        Id of the instance.
    group, availability_zone : str
    slots : int
        Number of statements that it runs at a time.
    """

    instance: str
    group: str
    availability_zone: str
    slots: int


class Fleet(typing.NamedTuple):
    """What is known about the fleet that the document is for.

    Attributes
    ----------
    instances : tuple of Instance or None
        None if they are not known; rules that need them then find nothing.
    region_by_zone : mapping of str to str or None
        Region of each availability zone, None if not known.
    """

    instances: tuple[Instance, ...] | None = None
    region_by_zone: collections.abc.Mapping[str, str] | None = None

    def list_instances(
        self, group: str, regions: collections.abc.Container[str] | None
    ) -> list[Instance]:
        """Return the instances of a group in regions.

        Where `regions` is None or the regions of zones are not known, instances in all
        regions are returned.
        """
        return [
            instance
            for instance in self.instances or ()
            if instance.group == group
            and (
                regions is None
                or self.region_by_zone is None
                or self.region_by_zone.get(instance.availability_zone) in regions
            )
        ]


Rule = collections.abc.Callable[
    [documents.Document, Fleet], collections.abc.Iterator[Finding]
]

_RULES: list[Rule] = []


def register_rule(rule: Rule) -> Rule:
    """Register a rule; a decorator."""
    _RULES.append(rule)
    return rule


def find_warnings(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield the findings of all rules.

    The document may have faults, such as a database of an unknown group.
    """
    for rule in _RULES:
        yield from rule(document, fleet)


@register_rule
def find_groups_without_instances(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield groups that no announced instance belongs to."""
    if fleet.instances is None:
        return
    announced = {instance.group for instance in fleet.instances}
    for name in document.groups:
        if name not in announced:
            yield Finding(
                documents.Location("groups", name),
                f"{name!r} has no announced instance",
            )


@register_rule
def find_instances_of_unknown_groups(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield announced instances whose group is not in the document."""
    for instance in fleet.instances or ():
        if instance.group not in document.groups:
            yield Finding(
                documents.Location("instances", instance.instance),
                f"it is announced for {instance.group!r}, which the document lacks",
            )


@register_rule
def find_unknown_regions(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield allowed regions that no availability zone is in."""
    if fleet.region_by_zone is None:
        return
    known = set(fleet.region_by_zone.values())
    for location, regions in _list_allowed_regions(document):
        for region in regions:
            if region not in known:
                yield Finding(location, f"no availability zone is in {region!r}")


@register_rule
def find_regions_without_instances(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield allowed regions of databases and organisations that have no instance."""
    if fleet.instances is None or fleet.region_by_zone is None:
        return
    for location, regions in _list_allowed_regions(document):
        if location.collection == "databases":
            groups = {document.databases[location.name].group}
        else:
            groups = set(document.groups)
        if not any(fleet.list_instances(group, regions) for group in groups):
            yield Finding(
                location,
                f"no instance is in {_join(regions)}; all its statements are refused",
            )


def _list_allowed_regions(
    document: documents.Document,
) -> collections.abc.Iterator[tuple[documents.Location, tuple[str, ...]]]:
    for collection in ("databases", "organisations"):
        for name, item in getattr(document, collection).items():
            if item.allowed_regions:
                location = documents.Location(collection, name, "allowed_regions")
                yield location, item.allowed_regions


@register_rule
def find_disjoint_regions(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield organisations whose allowed regions exclude all those of a database."""

    # Cached because organisations have few different lists of regions.
    @functools.cache
    def list_excluded(allowed_regions: tuple[str, ...]) -> list[str]:
        return [
            name
            for name, database in document.databases.items()
            if documents.intersect_regions((allowed_regions, database.allowed_regions))
            == frozenset()
        ]

    for organisation in document.organisations.values():
        excluded = list_excluded(organisation.allowed_regions)
        if excluded:
            yield Finding(
                documents.Location(
                    "organisations", organisation.name, "allowed_regions"
                ),
                f"no region in common with {_join(excluded)}; statements of"
                f" {organisation.name!r} there are refused",
            )


@register_rule
def find_rates_above_capacity(
    document: documents.Document, fleet: Fleet
) -> collections.abc.Iterator[Finding]:
    """Yield rates that the slots cannot serve, at the target latency a statement.

    An organisation may use all databases. Of those that an instance may serve, the one
    with the shortest target counts, so that a reported rate exceeds every mix of
    databases.
    """
    if not fleet.instances:
        return

    # Cached because organisations have few different lists of regions.
    @functools.cache
    def get_capacity_per_s(allowed_regions: tuple[str, ...]) -> float:
        return _compute_capacity_per_s(document, fleet, allowed_regions)

    for organisation in document.organisations.values():
        if organisation.rate_per_s >= documents.UNLIMITED_PER_S:
            continue
        capacity_per_s = get_capacity_per_s(organisation.allowed_regions)
        if 0 < capacity_per_s < organisation.rate_per_s:
            yield Finding(
                documents.Location("organisations", organisation.name, "rate_per_s"),
                f"{organisation.rate_per_s:g} per second is above the"
                f" {capacity_per_s:.1f} that the slots of the instances serve at the"
                " target latency",
            )


def _compute_capacity_per_s(
    document: documents.Document,
    fleet: Fleet,
    allowed_regions: tuple[str, ...],
) -> float:
    """Return the statements per second; 0 if no instance may run any."""
    capacity_by_instance: dict[str, float] = {}
    for database in document.databases.values():
        regions = documents.intersect_regions(
            (allowed_regions, database.allowed_regions)
        )
        for instance in fleet.list_instances(database.group, regions):
            if instance.slots > 0 and database.target_latency_s <= 0:
                return float("inf")
            capacity_by_instance[instance.instance] = max(
                capacity_by_instance.get(instance.instance, 0.0),
                instance.slots and instance.slots / database.target_latency_s,
            )
    return sum(capacity_by_instance.values())


@register_rule
def find_small_bursts(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield bursts that hold less than one operation."""
    for name, organisation in document.organisations.items():
        if organisation.burst < 1:
            yield Finding(
                documents.Location("organisations", name, "burst"),
                f"{organisation.burst:g} is less than one operation",
            )


@register_rule
def find_limits_without_keys(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield rate limits of organisations that no caller can belong to."""
    for name, organisation in document.organisations.items():
        is_limited = organisation.rate_per_s < documents.UNLIMITED_PER_S
        if is_limited and not organisation.keys:
            yield Finding(
                documents.Location("organisations", name, "rate_per_s"),
                f"{name!r} has no keys, so that the limit applies to no caller",
            )


@register_rule
def find_targets_above_timeouts(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield target latencies above the timeout of a statement."""
    for name, database in document.databases.items():
        timeout_s = database.statement_timeout_s
        if 0 < timeout_s < database.target_latency_s:
            yield Finding(
                documents.Location("databases", name, "target_latency_s"),
                f"the target latency of {_to_ms(database.target_latency_s)} is above"
                f" the timeout of {_to_ms(timeout_s)}",
            )


@register_rule
def find_short_idle_limits(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield an idle limit of transactions below the timeout of databases."""
    longer = [
        name
        for name, database in document.databases.items()
        if database.statement_timeout_s > document.transaction_idle_s
    ]
    if longer:
        yield Finding(
            documents.Location("transaction_idle_s"),
            f"the idle limit of {_to_ms(document.transaction_idle_s)} is below the"
            f" timeout of {_join(longer)}",
        )


@register_rule
def find_cold_rates_without_time(
    document: documents.Document,
    fleet: Fleet,  # noqa: ARG001
) -> collections.abc.Iterator[Finding]:
    """Yield limits for instances that have just started, without a time."""
    for name, group in document.groups.items():
        if group.cold_rate_per_s > 0 and group.cold_start_s == 0:
            yield Finding(
                documents.Location("groups", name, "cold_rate_per_s"),
                f"{name!r} has a rate for instances that have just started, but no"
                " time for which they are slow",
            )


def _join(names: collections.abc.Iterable[str]) -> str:
    return ", ".join(repr(name) for name in names)


def _to_ms(time_s: float) -> str:
    return f"{time_s * 1000:g} ms"
