"""What the replicated log keeps on disk, and the interface to keep it."""

import collections.abc
import enum
import typing

from sedgeswitch.agreement import voters


class EntryKind(enum.IntEnum):
    """What an entry of the log holds."""

    NO_OPERATION = 0
    COMMAND = 1
    VOTER_SET = 2


class Entry(typing.NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    body: bytes


class Snapshot(typing.NamedTuple):
    """The state after an entry, in place of the entries up to it.

    Attributes
    ----------
    index, term : int
        Of the last entry that the state includes; 0 for the empty state that a
        cluster starts from.
    voter_set : voters.VoterSet
        In force at that entry.
    body : bytes
        What `machines.Registry.save_snapshot` gave.
    """

    index: int
    term: int
    voter_set: voters.VoterSet
    body: bytes


class Stored(typing.NamedTuple):
    """What a data folder holds.

    Attributes
    ----------
    incarnation : str
        Empty if the data folder is new.
    term : int
    voted_for : str
        Key of the member voted for in the term; empty if none.
    snapshot : Snapshot or None
    entries : tuple of Entry
    damage : str
        What is wrong with the folder; empty if it is sound.
    """

    incarnation: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    damage: str = ""


class SaveVote(typing.NamedTuple):
    """Stores the term and the vote in it."""

    term: int
    voted_for: str


class Append(typing.NamedTuple):
    """Stores entries that follow the last one."""

    entries: tuple[Entry, ...]


class Truncate(typing.NamedTuple):
    """Removes the entries from an index on."""

    from_index: int


class SaveSnapshot(typing.NamedTuple):
    """Stores a snapshot and removes the entries before `keep_from_index`."""

    snapshot: Snapshot
    keep_from_index: int


Change = SaveVote | Append | Truncate | SaveSnapshot


class Storage(typing.Protocol):
    """Keeps the log on a disk; its methods block, one call at a time."""

    def open(self) -> Stored:
        """Read the data folder; damage is reported in the result."""

    def reset(self, incarnation: str) -> None:
        """Start a new data folder; a damaged one is set aside."""

    def write(self, changes: collections.abc.Sequence[Change]) -> None:
        """Store all changes, in order and synced, or none.

        Raises
        ------
        errors.StorageError
            If they could not be stored.
        """

    def close(self) -> None:
        """Release the data folder."""
