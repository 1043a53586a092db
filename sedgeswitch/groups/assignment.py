"""Which entry hosts watch the health of a group."""

import typing

import xxhash


class EntryHost(typing.NamedTuple):
    """An entry host that holds a lease.

    Attributes
    ----------
    host_id : str
    availability_zone : str
    """

    host_id: str
    availability_zone: str


def assign_watchers(
    group: str, hosts: typing.Iterable[EntryHost], count: int = 3
) -> list[str]:
    """Return the ids of the entry hosts that watch a group.

    Parameters
    ----------
    group : str
    hosts : iterable of EntryHost
        The live entry hosts, in any order.
    count : int
        How many hosts are wanted.

    Returns
    -------
    list of str
        At most `count` ids.

    Notes
    -----
    Rendezvous hashing: when a host leaves, only its own groups move. The best
    host of each availability zone comes first, so that the watchers span as
    many zones as they can.
    """
    ranked = sorted(hosts, key=lambda host: _get_weight(group, host), reverse=True)
    rounds: dict[str, int] = {}
    ranked_by_zone = []
    for rank, host in enumerate(ranked):
        zone_round = rounds.get(host.availability_zone, 0)
        rounds[host.availability_zone] = zone_round + 1
        ranked_by_zone.append((zone_round, rank, host.host_id))
    return [host_id for _, _, host_id in sorted(ranked_by_zone)[:count]]


def _get_weight(group: str, host: EntryHost) -> tuple[int, str]:
    key = f"{group}\0{host.host_id}".encode()
    return xxhash.xxh64_intdigest(key), host.host_id


class WatcherAssignments:
    """The watchers of all groups, kept up as hosts and groups come and go.

    Parameters
    ----------
    count : int
        How many watchers each group has.

    Notes
    -----
    `assign_watchers` gives the same watchers whether it is asked about all hosts
    or about the former watchers and the hosts that have come since. So a host
    that comes costs one comparison a group, and one that leaves costs a full
    choice for its own groups only.
    """

    def __init__(self, count: int):
        self._count = count
        self._hosts: frozenset[EntryHost] = frozenset()
        self._watchers: dict[str, list[EntryHost]] = {}
        self._groups_by_host: dict[str, list[str]] = {}

    def get_watchers(self, group: str) -> list[str]:
        """Return the ids of the hosts that watch a group."""
        return [host.host_id for host in self._watchers.get(group, [])]

    def get_groups(self, host_id: str) -> list[str]:
        """Return the groups that a host watches."""
        return self._groups_by_host.get(host_id, [])

    def update(
        self, groups: typing.Collection[str], hosts: typing.Iterable[EntryHost]
    ) -> None:
        """Follow the groups and the live hosts of now."""
        hosts = frozenset(hosts)
        if hosts == self._hosts and len(groups) == len(self._watchers):
            return
        joined = hosts - self._hosts
        self._watchers = {group: self._choose(group, joined, hosts) for group in groups}
        self._hosts = hosts
        self._groups_by_host = {}
        for group, watchers in self._watchers.items():
            for host in watchers:
                self._groups_by_host.setdefault(host.host_id, []).append(group)

    def _choose(
        self, group: str, joined: frozenset[EntryHost], hosts: frozenset[EntryHost]
    ) -> list[EntryHost]:
        previous = self._watchers.get(group)
        is_kept = previous is not None and hosts.issuperset(previous)
        candidates = joined.union(previous) if is_kept else hosts
        by_id = {host.host_id: host for host in candidates}
        chosen = assign_watchers(group, candidates, self._count)
        return [by_id[host_id] for host_id in chosen]
