"""Which entry hosts are the homes of a session."""

import array
import collections.abc
import functools
import typing

import xxhash

from sedgeswitch.membership import machine

HOME_COUNT = 3
BUCKET_COUNT = 256
# Hosts whose weights are kept between changes of the members, 2 KB each.
MAX_KEPT_WEIGHTS = 1024

Homes = tuple[machine.Member, ...]


class Placement(typing.NamedTuple):
    """The homes of every bucket of sessions under one set of members.

    Attributes
    ----------
    version : int
        Version of the agreed members; -1 before any is known.
    homes : tuple of Homes
        By bucket.
    """

    version: int
    homes: tuple[Homes, ...]


EMPTY = Placement(-1, ((),) * BUCKET_COUNT)


def get_bucket(session: int) -> int:
    """Return the bucket of a session's hash."""
    return session % BUCKET_COUNT


def get_quorum(homes: Homes) -> int:
    """Return how many of a session's homes are a majority of them."""
    return len(homes) // 2 + 1


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
    homes = tuple(_place(bucket, members, weights) for bucket in range(BUCKET_COUNT))
    return Placement(version, homes)


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
) -> Homes:
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
        if len(best) == HOME_COUNT:
            return tuple(best)
    best += [member for _, _, member in sorted(others)]
    return tuple(best[:HOME_COUNT])
