"""The set of voters and its quorums."""

import collections.abc
import typing

import msgspec

from sedgeswitch.transport import peer


class Member(typing.NamedTuple):
    """A host on one disk.

    Attributes
    ----------
    id : str
        Name of the host.
    host : str
        IP number.
    port : int
    incarnation : str
        Random id written when the data folder was made, so that the same host
        on an empty disk is another member.
    """

    id: str
    host: str
    port: int
    incarnation: str

    @property
    def key(self) -> str:
        """Name of the member, unique over hosts and disks."""
        return f"{self.id}/{self.incarnation}"

    @property
    def address(self) -> peer.Address:
        """Where the member listens."""
        return peer.Address(self.host, self.port)


class VoterSet(typing.NamedTuple):
    """Who takes part, as agreed by an entry of the log.

    Attributes
    ----------
    voters : tuple of Member
        Hosts that vote and count in commits.
    old_voters : tuple of Member
        While a change is under way, the voters before it; a quorum then needs a
        majority of both sets.
    learners : tuple of Member
        Hosts that receive the log but do not count.
    """

    voters: tuple[Member, ...]
    old_voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All members, each once."""
        by_key = {
            member.key: member
            for member in self.voters + self.old_voters + self.learners
        }
        return tuple(by_key.values())

    def is_voter(self, key: str) -> bool:
        """Return whether the member votes."""
        return any(member.key == key for member in self.voters + self.old_voters)

    def has_quorum(self, keys: collections.abc.Set[str]) -> bool:
        """Return whether the named members are a quorum."""
        values = dict.fromkeys(keys, 1.0)
        return self.get_quorum_value(values, 0.0) > 0

    def get_quorum_value(
        self, values: collections.abc.Mapping[str, float], default: float
    ) -> float:
        """Return the highest value that a quorum has reached.

        Parameters
        ----------
        values : mapping of str to float
            Value of each member, by key.
        default : float
            Value of the members that are missing.
        """
        reached = _get_majority_value(self.voters, values, default)
        if self.old_voters:
            before = _get_majority_value(self.old_voters, values, default)
            reached = min(reached, before)
        return reached


def _get_majority_value(
    members: tuple[Member, ...],
    values: collections.abc.Mapping[str, float],
    default: float,
) -> float:
    ranked = sorted(values.get(member.key, default) for member in members)
    return ranked[(len(ranked) - 1) // 2]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(VoterSet)


def encode_voter_set(voter_set: VoterSet) -> bytes:
    """Return the bytes of a set of voters."""
    return _encoder.encode(voter_set)


def decode_voter_set(body: bytes) -> VoterSet:
    """Return the set of voters that the bytes hold."""
    return _decoder.decode(body)
