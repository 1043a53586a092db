"""Rules that exclude an instance from the statements of a caller.

They bind before any policy chooses among the instances that are left.
"""

import collections.abc
import typing

from sedgeswitch.membership import directory
from sedgeswitch.utils import records


class Restrictions(typing.NamedTuple):
    """What limits the choice of an instance for one statement.

    Attributes
    ----------
    evacuated_zones : frozenset of str
        Availability zones to whose instances nothing may be sent.
    allowed_regions : frozenset of str or None
        Regions in which the statement may run; None for all.
    region_by_zone : mapping of str to str
        Region of each availability zone; empty if unknown.
    """

    evacuated_zones: frozenset[str] = frozenset()
    allowed_regions: frozenset[str] | None = None
    region_by_zone: collections.abc.Mapping[str, str] = records.EMPTY_MAPPING


Rule = collections.abc.Callable[[directory.BackendServer, Restrictions], bool]

_RULES: dict[str, Rule] = {}


def register_rule(reason: str) -> collections.abc.Callable[[Rule], Rule]:
    """Return a decorator that registers a rule under the reason that callers get.

    A rule returns whether an instance is excluded.
    """

    def register(rule: Rule) -> Rule:
        _RULES[reason] = rule
        return rule

    return register


def find_exclusion(
    server: directory.BackendServer, restrictions: Restrictions
) -> str | None:
    """Return why an instance may not run a statement, None if it may."""
    for reason, rule in _RULES.items():
        if rule(server, restrictions):
            return reason
    return None


@register_rule("its availability zone is evacuated")
def is_evacuated(server: directory.BackendServer, restrictions: Restrictions) -> bool:
    """Return whether the instance's availability zone is evacuated."""
    return server.availability_zone in restrictions.evacuated_zones


@register_rule("it is outside the allowed regions")
def is_outside_regions(
    server: directory.BackendServer, restrictions: Restrictions
) -> bool:
    """Return whether the instance is in a region where the statement may not run.

    An instance whose region is unknown is excluded.
    """
    if restrictions.allowed_regions is None:
        return False
    region = restrictions.region_by_zone.get(server.availability_zone)
    return region not in restrictions.allowed_regions
