"""Placement: which entry hosts hold the replicas of a session's floors.

Sessions are hashed to buckets, and each bucket is placed on several hosts.
"""

import array
import collections.abc
import functools
import typing

import xxhash

from sedgeswitch.membership import machine

REPLICA_COUNT = 3
BUCKET_COUNT = 256
# Hosts whose weights are cached between changes of the members, 2 KB each.
MAX_CACHED_WEIGHTS = 1024

Replicas = tuple[machine.Member, ...]


class Placement(typing.NamedTuple):
    """The replicas of every bucket of sessions for one set of members.

    Attributes
    ----------
    version : int
        Version of the registered entry hosts; -1 before the first is received.
    replicas : tuple of Replicas
        The hosts that hold a bucket, by bucket number.
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
    """Return how many of the replicas form a majority."""
    return len(replicas) // 2 + 1


def build_placement(
    version: int, members: collections.abc.Collection[machine.Member]
) -> Placement:
    """Place every bucket by rendezvous hashing.

    Notes
    -----
    The host of highest weight in each availability zone comes first, so that a
    majority of the replicas survives the loss of a zone. When a host is removed,
    only its own buckets get another replica.
    """
    weights = {member.host_id: _get_weights(member.host_id) for member in members}
    replicas = tuple(
        _select_replicas(bucket, members, weights) for bucket in range(BUCKET_COUNT)
    )
    return Placement(version, replicas, frozenset(members))


def get_possibly_moved_buckets(
    earlier: Placement, later: Placement
) -> collections.abc.Collection[int]:
    """Return the buckets that may have had other replicas between two placements.

    Notes
    -----
    A host may receive a version of the members without those before it. If the
    number of members that differ equals the difference of the versions, each of
    them has changed once. Replicas that are the same in both placements were then
    the same in all versions between.
    """
    if later.version == earlier.version + 1:
        return ()
    differing = {member.host_id for member in earlier.members ^ later.members}
    if len(differing) != later.version - earlier.version:
        return range(BUCKET_COUNT)
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if _list_locations(earlier.replicas[bucket])
        != _list_locations(later.replicas[bucket])
    ]


def _list_locations(replicas: Replicas) -> list[tuple[str, str]]:
    return [(member.host_id, member.availability_zone) for member in replicas]


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _get_weights(host_id: str) -> array.array:
    """Return the weight of a host for each bucket; it depends on nothing else."""
    return array.array(
        "Q",
        (
            xxhash.xxh64_intdigest(f"{bucket}/{host_id}".encode())
            for bucket in range(BUCKET_COUNT)
        ),
    )


def _select_replicas(
    bucket: int,
    members: collections.abc.Collection[machine.Member],
    weights: dict[str, array.array],
) -> Replicas:
    ranked = sorted(
        members, key=lambda member: weights[member.host_id][bucket], reverse=True
    )
    zone_counts: dict[str, int] = {}
    selected: list[machine.Member] = []
    others = []
    for rank, member in enumerate(ranked):
        rank_in_zone = zone_counts.get(member.availability_zone, 0)
        zone_counts[member.availability_zone] = rank_in_zone + 1
        if rank_in_zone:
            others.append((rank_in_zone, rank, member))
            continue
        selected.append(member)
        if len(selected) == REPLICA_COUNT:
            return tuple(selected)
    selected += [member for _, _, member in sorted(others)]
    return tuple(selected[:REPLICA_COUNT])
