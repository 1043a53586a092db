"""Assignment of entry hosts as watchers of the health of groups."""

import typing

import xxhash


class EntryHost(typing.NamedTuple):
    """An entry host that holds a lease, and so may be assigned as a watcher.

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
        Number of watchers.

    Returns
    -------
    list of str
        `count` ids, or fewer if there are fewer hosts.

    Notes
    -----
    Uses rendezvous hashing: when a host leaves, only the groups that it watched
    are reassigned. The highest-ranked host of each availability zone is taken
    first, so that the watchers span as many zones as possible.
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
    """The watchers of all groups, updated incrementally.

    Parameters
    ----------
    count : int
        Number of watchers of each group.

    Notes
    -----
    `assign_watchers` returns the same watchers for all hosts as for the previous
    watchers together with the hosts that have joined since. An update after a
    host joins therefore compares only a few hosts for each group, and only the
    groups watched by a host that left need a full computation.
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
        """Compute the watchers for the current groups and live hosts."""
        hosts = frozenset(hosts)
        if hosts == self._hosts and len(groups) == len(self._watchers):
            return
        joined = hosts - self._hosts
        self._watchers = {
            group: self._select_watchers(group, joined, hosts) for group in groups
        }
        self._hosts = hosts
        self._groups_by_host = {}
        for group, watchers in self._watchers.items():
            for host in watchers:
                self._groups_by_host.setdefault(host.host_id, []).append(group)

    def _select_watchers(
        self, group: str, joined: frozenset[EntryHost], hosts: frozenset[EntryHost]
    ) -> list[EntryHost]:
        previous = self._watchers.get(group)
        are_all_live = previous is not None and hosts.issuperset(previous)
        candidates = joined.union(previous) if are_all_live else hosts
        by_id = {host.host_id: host for host in candidates}
        selected = assign_watchers(group, candidates, self._count)
        return [by_id[host_id] for host_id in selected]
