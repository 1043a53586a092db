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
    placed = []
    for place, host in enumerate(ranked):
        zone_round = rounds.get(host.availability_zone, 0)
        rounds[host.availability_zone] = zone_round + 1
        placed.append((zone_round, place, host.host_id))
    return [host_id for _, _, host_id in sorted(placed)[:count]]


def _get_weight(group: str, host: EntryHost) -> tuple[int, str]:
    key = f"{group}\0{host.host_id}".encode()
    return xxhash.xxh64_intdigest(key), host.host_id
