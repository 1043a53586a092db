"""The cluster membership: the set of voters and its quorums."""

import collections.abc
import typing

import msgspec

from sedgeswitch.transport import peer


class Member(typing.NamedTuple):
    """A host with one data folder.

    Attributes
    ----------
    id : str
        Id of the host.
    host : str
        IP address.
    port : int
    incarnation : str
        Random id written when the data folder was created. A host that has lost
        its disk therefore counts as another member, which has none of the votes
        and entries of the former one.
    """

    id: str
    host: str
    port: int
    incarnation: str

    @property
    def key(self) -> str:
        """Unique name of the host together with its data folder."""
        return f"{self.id}/{self.incarnation}"

    @property
    def address(self) -> peer.Address:
        """Address at which the member listens."""
        return peer.Address(self.host, self.port)


class VoterSet(typing.NamedTuple):
    """The members of the cluster according to an entry of the log.

    The Raft literature calls this a configuration.

    Attributes
    ----------
    voters : tuple of Member
        Hosts whose votes and stored entries count towards a quorum.
    old_voters : tuple of Member
        During joint consensus, the voters before the change; a quorum then needs
        a majority of both sets. Empty otherwise.
    learners : tuple of Member
        Hosts that receive the log but do not count towards a quorum.
    """

    voters: tuple[Member, ...]
    old_voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All voters and learners, without duplicates."""
        by_key = {
            member.key: member
            for member in self.voters + self.old_voters + self.learners
        }
        return tuple(by_key.values())

    def is_voter(self, key: str) -> bool:
        """Return whether the member with this key is a voter."""
        return any(member.key == key for member in self.voters + self.old_voters)

    def has_quorum(self, keys: collections.abc.Set[str]) -> bool:
        """Return whether the members with these keys form a quorum."""
        values = dict.fromkeys(keys, 1.0)
        return self.get_quorum_value(values, 0.0) > 0

    def get_quorum_value(
        self, values: collections.abc.Mapping[str, float], default: float
    ) -> float:
        """Return the highest value that a quorum of members has reached.

        Parameters
        ----------
        values : mapping of str to float
            Value of each member, by key.
        default : float
            Value of members that are not in the mapping.
        """
        reached = _get_majority_value(self.voters, values, default)
        if self.old_voters:
            old_reached = _get_majority_value(self.old_voters, values, default)
            reached = min(reached, old_reached)
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
    """Return a set of voters as msgpack."""
    return _encoder.encode(voter_set)


def decode_voter_set(body: bytes) -> VoterSet:
    """Return the set of voters that `encode_voter_set` encoded."""
    return _decoder.decode(body)
