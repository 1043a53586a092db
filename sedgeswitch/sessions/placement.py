"""Which entry hosts are the homes of a session."""

import collections.abc
import typing

import xxhash

from sedgeswitch.membership import machine

HOME_COUNT = 3
BUCKET_COUNT = 256

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
    homes = tuple(_place(bucket, members) for bucket in range(BUCKET_COUNT))
    return Placement(version, homes)


def _place(bucket: int, members: collections.abc.Collection[machine.Member]) -> Homes:
    ranked = sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f"{bucket}/{member.host_id}".encode()
        ),
        reverse=True,
    )
    rounds: dict[str, int] = {}
    places = []
    for rank, member in enumerate(ranked):
        zone_round = rounds.get(member.availability_zone, 0)
        rounds[member.availability_zone] = zone_round + 1
        places.append((zone_round, rank, member))
    return tuple(member for _, _, member in sorted(places)[:HOME_COUNT])
