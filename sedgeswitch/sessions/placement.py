"""Which entry hosts are the homes of a session."""

import array
import collections.abc
import functools
import typing

import xxhash

from sedgeswitch.membership import machine

REPLICA_COUNT = 3
BUCKET_COUNT = 256
# Hosts whose weights are kept between changes of the members, 2 KB each.
MAX_KEPT_WEIGHTS = 1024

Replicas = tuple[machine.Member, ...]


class Placement(typing.NamedTuple):
    """The homes of every bucket of sessions under one set of members.

    Attributes
    ----------
    version : int
        Version of the agreed members; -1 before any is known.
    replicas : tuple of Homes
        By bucket.
    members : frozenset of machine.Member
    """

    version: int
    replicas: tuple[Replicas, ...]
    members: frozenset[machine.Member]


EMPTY = Placement(-1, ((),) * BUCKET_COUNT, frozenset())


def get_bucket(session: int) -> int:
    """Return the bucket of a session's hash."""
    return session % BUCKET_COUNT


def get_quorum(replicas: Replicas) -> int:
    """Return how many of a session's homes are a majority of them."""
    return len(replicas) // 2 + 1


def build_placement(
    version: int, members: collections.abc.Collection[machine.Member]
) -> Placement:
    """Place every bucket by rendezvous hashing.

    Notes
    -----
    The best host of each availability zone comes first, so that the loss of a
    zone leaves a majority of the homes. When a host leaves, only its own
    buckets get another home.
    """
    weights = {member.host_id: _get_weights(member.host_id) for member in members}
    replicas = tuple(_place(bucket, members, weights) for bucket in range(BUCKET_COUNT))
    return Placement(version, replicas, frozenset(members))


def get_possibly_moved_buckets(
    earlier: Placement, placed: Placement
) -> collections.abc.Collection[int]:
    """Return the buckets that may have had other homes between two placements.

    Notes
    -----
    A host that follows a later version may have missed versions in between. If
    as many members differ as versions passed, each has changed once. Homes that
    are the same before and after then were the same all the time.
    """
    if placed.version == earlier.version + 1:
        return ()
    differing = {member.host_id for member in earlier.members ^ placed.members}
    if len(differing) != placed.version - earlier.version:
        return range(BUCKET_COUNT)
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if _list_places(earlier.replicas[bucket])
        != _list_places(placed.replicas[bucket])
    ]


def _list_places(replicas: Replicas) -> list[tuple[str, str]]:
    return [(member.host_id, member.availability_zone) for member in replicas]


@functools.lru_cache(maxsize=MAX_KEPT_WEIGHTS)
def _get_weights(host_id: str) -> array.array:
    """Return the weight of a host in each bucket; it never changes."""
    return array.array(
        "Q",
        (
            xxhash.xxh64_intdigest(f"{bucket}/{host_id}".encode())
            for bucket in range(BUCKET_COUNT)
        ),
    )


def _place(
    bucket: int,
    members: collections.abc.Collection[machine.Member],
    weights: dict[str, array.array],
) -> Replicas:
    ranked = sorted(
        members, key=lambda member: weights[member.host_id][bucket], reverse=True
    )
    rounds: dict[str, int] = {}
    best: list[machine.Member] = []
    others = []
    for rank, member in enumerate(ranked):
        zone_round = rounds.get(member.availability_zone, 0)
        rounds[member.availability_zone] = zone_round + 1
        if zone_round:
            others.append((zone_round, rank, member))
            continue
        best.append(member)
        if len(best) == REPLICA_COUNT:
            return tuple(best)
    best += [member for _, _, member in sorted(others)]
    return tuple(best[:REPLICA_COUNT])
