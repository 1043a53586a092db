"""The persistent state of a host of the replicated log, and its interface."""

import collections.abc
import enum
import typing

from sedgeswitch.agreement import voters


class EntryKind(enum.IntEnum):
    """Content of a log entry.

    A ``NO_OPERATION`` starts the term of a leader, a ``COMMAND`` is for a state
    machine, and a ``VOTER_SET`` changes the cluster membership.
    """

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
    """The state of all state machines after an entry; it replaces earlier entries.

    Attributes
    ----------
    index, term : int
        Index and term of the last entry that the state includes; 0 for the empty
        state that a cluster starts from.
    voter_set : voters.VoterSet
        The set of voters in force at that entry.
    body : bytes
        The result of `state_machines.Registry.save_snapshot`.
    """

    index: int
    term: int
    voter_set: voters.VoterSet
    body: bytes


class StoredState(typing.NamedTuple):
    """Content of a data folder.

    Attributes
    ----------
    incarnation : str
        Random id of the data folder; empty if the folder is new.
    term : int
        The highest term recorded on this host.
    voted_for : str
        Key of the member voted for in the term; empty if none.
    snapshot : Snapshot or None
    entries : tuple of Entry
    damage : str
        Description of a corrupt folder; empty if it is intact.
    """

    incarnation: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    damage: str = ""


class SaveVote(typing.NamedTuple):
    """Stores the term and the vote given in it."""

    term: int
    voted_for: str


class Append(typing.NamedTuple):
    """Stores entries that follow the last stored one."""

    entries: tuple[Entry, ...]


class Truncate(typing.NamedTuple):
    """Removes the entry at an index and all entries after it."""

    from_index: int


class SaveSnapshot(typing.NamedTuple):
    """Stores a snapshot and removes the entries before `keep_from_index`."""

    snapshot: Snapshot
    keep_from_index: int


Change = SaveVote | Append | Truncate | SaveSnapshot


class Storage(typing.Protocol):
    """Stores the log on a disk.

    The methods block; callers make one call at a time.
    """

    def open(self) -> StoredState:
        """Read the data folder; corruption is reported in the result."""

    def reset(self, incarnation: str) -> None:
        """Create a new data folder; a damaged one is kept under another name."""

    def write(self, changes: collections.abc.Sequence[Change]) -> None:
        """Store all changes in order and sync them to disk, or store none.

        Raises
        ------
        errors.StorageError
            If the changes could not be stored.
        """

    def close(self) -> None:
        """Release the data folder."""
