"""Placement: which entry hosts hold the connections to an instance.

Holders are selected by rendezvous hashing among the hosts nearest to the instance, so
that a change of members moves few instances, and hosts with different members agree
about most of them.
"""

import collections.abc
import heapq
import typing

import xxhash

from sedgeswitch.membership import machine

# Connections that a holder has at least, where the instance accepts that many.
MIN_CONNECTIONS_PER_HOLDER = 8
# With two holders, the loss of one leaves another that has open connections. More than
# four would divide the connections further without surviving more losses that matter.
MIN_HOLDERS = 2
MAX_HOLDERS = 4
# Further hosts, in order, to which statements go if no holder is reachable.
SUBSTITUTES = 2
# Hosts of a region that are homes of organisations. A host draws tokens the more often,
# and refills itself the sooner without a leader, the fewer hosts draw; a draw lists all
# organisations of a home.
MAX_HOMES_PER_REGION = 16
# Distance between zones of different regions.
OTHER_REGION = 2


class Location(typing.NamedTuple):
    """An instance and what its placement depends on.

    Attributes
    ----------
    instance : str
    availability_zone : str
    connections : int
        Connections that the entry hosts together may open to the instance.
    """

    instance: str
    availability_zone: str
    connections: int


class Selection(typing.NamedTuple):
    """The hosts that an instance is placed on.

    Attributes
    ----------
    holders : tuple of str
        Host ids; each has an equal share of the connections.
    substitutes : tuple of str
        Hosts that take the place of holders that cannot be reached, in order.
    """

    holders: tuple[str, ...]
    substitutes: tuple[str, ...]


EMPTY = Selection((), ())
# Name by which the hosts that are homes are ranked.
_HOMES = "homes"


def get_holder_count(connections: int) -> int:
    """Return between how many hosts the connections to an instance are divided."""
    wanted = connections // MIN_CONNECTIONS_PER_HOLDER
    return min(max(wanted, MIN_HOLDERS), MAX_HOLDERS)


class Placement:
    """The holders of every instance, for the members that are known at present.

    Parameters
    ----------
    region_by_zone : mapping of str to str
        Region of each availability zone.
    """

    def __init__(self, region_by_zone: collections.abc.Mapping[str, str]):
        self._region_by_zone = region_by_zone
        self._zone_by_host: dict[str, str] = {}
        self._selections: dict[Location, Selection] = {}
        self._homes: dict[tuple[str, str], tuple[str, ...]] = {}
        # Hosts that are homes, by region.
        self._home_hosts: dict[str, tuple[str, ...]] = {}

    def set_members(self, members: collections.abc.Iterable[machine.Member]) -> None:
        """Set the registered entry hosts."""
        zone_by_host = {item.host_id: item.availability_zone for item in members}
        # A restarted host registers again, at the same place.
        if zone_by_host != self._zone_by_host:
            self._zone_by_host = zone_by_host
            self._selections = {}
            self._homes = {}
            self._home_hosts = {}

    def select(self, location: Location) -> Selection:
        """Return the hosts on which an instance is placed.

        They are in the instance's availability zone if it has enough hosts; otherwise
        all holders are still in the nearest place that has a host, and substitutes
        follow from further away.
        """
        selection = self._selections.get(location)
        if selection is None:
            selection = self._selections[location] = self._select(location)
        return selection

    def order_hosts(
        self,
        location: Location,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[str]:
        """Return the hosts to send an organisation's statements to, best first.

        An organisation has the same first holder on all hosts, so that its connections
        are reused. Hosts outside `allowed_regions` are left out; None for all regions.
        """
        selection = self.select(location)
        holders = sorted(
            selection.holders,
            key=lambda host_id: _get_weight(
                f"{location.instance}/{organisation}", host_id
            ),
            reverse=True,
        )
        hosts = [*holders, *selection.substitutes]
        if allowed_regions is None:
            return hosts
        return [
            host_id for host_id in hosts if self._get_region(host_id) in allowed_regions
        ]

    def order_homes(self, organisation: str, zone: str) -> tuple[str, ...]:
        """Return the hosts that draw an organisation's tokens for callers in a zone.

        They are in the region of the zone; the first is the home, the others take its
        place in order.
        """
        key = (organisation, self._region_by_zone.get(zone, zone))
        homes = self._homes.get(key)
        if homes is None:
            ranked = heapq.nlargest(
                1 + SUBSTITUTES,
                self._list_home_hosts(zone),
                key=lambda host_id: _get_weight(organisation, host_id),
            )
            homes = self._homes[key] = tuple(ranked)
        return homes

    def _list_home_hosts(self, zone: str) -> tuple[str, ...]:
        """Return the hosts in the region of a zone that are homes."""
        region = self._region_by_zone.get(zone, zone)
        hosts = self._home_hosts.get(region)
        if hosts is None:
            near = [
                host_id
                for host_id, other in self._zone_by_host.items()
                if self.get_distance(zone, other) < OTHER_REGION
            ]
            ranked = heapq.nlargest(
                MAX_HOMES_PER_REGION,
                near,
                key=lambda host_id: _get_weight(_HOMES, host_id),
            )
            hosts = self._home_hosts[region] = tuple(ranked)
        return hosts

    def get_distance(self, first_zone: str, second_zone: str) -> int:
        """Return 0 for the same availability zone, 1 for the same region, else 2.

        The last is `OTHER_REGION`.
        """
        if first_zone == second_zone:
            return 0
        region = self._region_by_zone.get(first_zone)
        is_same_region = region is not None and region == self._region_by_zone.get(
            second_zone
        )
        return 1 if is_same_region else OTHER_REGION

    def _get_region(self, host_id: str) -> str | None:
        return self._region_by_zone.get(self._zone_by_host.get(host_id))

    def _select(self, location: Location) -> Selection:
        hosts_by_distance: dict[int, list[str]] = {}
        for host_id, zone in self._zone_by_host.items():
            distance = self.get_distance(location.availability_zone, zone)
            hosts_by_distance.setdefault(distance, []).append(host_id)
        wanted = get_holder_count(location.connections) + SUBSTITUTES
        ranked: list[str] = []
        for distance in sorted(hosts_by_distance):
            ranked += heapq.nlargest(
                wanted - len(ranked),
                hosts_by_distance[distance],
                key=lambda host_id: _get_weight(location.instance, host_id),
            )
        if not ranked:
            return EMPTY
        nearest = hosts_by_distance[min(hosts_by_distance)]
        count = min(get_holder_count(location.connections), len(nearest))
        return Selection(tuple(ranked[:count]), tuple(ranked[count:]))


def _get_weight(name: str, host_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{name}/{host_id}".encode()), host_id
