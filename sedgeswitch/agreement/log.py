"""The log in memory."""

import collections.abc

from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters


class Log:
    """The last snapshot, the entries after it and the retained ones before it.

    Parameters
    ----------
    snapshot : storage.Snapshot or None
        None on a host that has never stored a set of voters.
    entries : sequence of storage.Entry
        Contiguous entries; the last ones follow the snapshot.
    """

    def __init__(
        self,
        snapshot: storage.Snapshot | None,
        entries: collections.abc.Sequence[storage.Entry] = (),
    ):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._voter_sets: list[tuple[int, voters.VoterSet]] = []
        self._reload_voter_sets()

    @property
    def is_formed(self) -> bool:
        """Whether the log contains a set of voters: the host is in a cluster."""
        return self.snapshot is not None

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot; 0 if there is none."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory; the next index if there is none."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._entries[-1].index if self._entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.get_term(self.last_index) or 0

    @property
    def voter_set(self) -> voters.VoterSet | None:
        """The latest set of voters in the log.

        As in Raft, it is in force from when it is appended, committed or not.
        """
        return self._voter_sets[-1][1] if self._voter_sets else None

    @property
    def voter_set_index(self) -> int:
        """Index of the entry that holds the set of voters in force."""
        return self._voter_sets[-1][0] if self._voter_sets else 0

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not in the log.

        Index 0 stands for the start of the log and has the term 0. Like any other, it
        is no longer in the log once the first entries are replaced by a snapshot.
        """
        if index == 0:
            return 0 if self.first_index == 1 else None
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        if self.snapshot is not None and index == self.snapshot.index:
            return self.snapshot.term
        return None

    def get_entry(self, index: int) -> storage.Entry:
        """Return the entry at an index.

        Raises
        ------
        LookupError
            If the entry is not in memory.
        """
        return self._entries[self._get_position(index)]

    def get_entries(self, from_index: int, max_bytes: int) -> list[storage.Entry]:
        """Return entries from an index on, with at most `max_bytes` of bodies.

        The first entry is returned whatever its size.

        Raises
        ------
        LookupError
            If the entries from this index on are not in memory.
        """
        start = self._get_position(from_index)
        size_bytes = 0
        batch = []
        for position in range(start, len(self._entries)):
            entry = self._entries[position]
            size_bytes += len(entry.body)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def get_voter_set(self, index: int) -> voters.VoterSet:
        """Return the set of voters in force at an index."""
        return [found for at, found in self._voter_sets if at <= index][-1]

    def get_term_start(self, index: int) -> int:
        """Return the index of the first entry in memory of an entry's term."""
        term = self.get_term(index)
        while index > self.first_index and self.get_term(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: collections.abc.Sequence[storage.Entry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)
        for entry in entries:
            self._record_voter_set(entry)

    def truncate(self, from_index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        del self._entries[from_index - self.first_index :]
        self._reload_voter_sets()

    def install(self, snapshot: storage.Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self._entries = []
        self._reload_voter_sets()

    def compact(self, snapshot: storage.Snapshot, keep_from_index: int) -> None:
        """Set a newer snapshot and remove the entries before an index."""
        del self._entries[: keep_from_index - self.first_index]
        self.snapshot = snapshot
        self._reload_voter_sets()

    def _get_position(self, index: int) -> int:
        """Return the position of an entry in memory."""
        if index < self.first_index:
            raise LookupError(f"entry {index} precedes the first, {self.first_index}")
        return index - self.first_index

    def _reload_voter_sets(self) -> None:
        self._voter_sets = []
        if self.snapshot is not None:
            self._voter_sets.append((self.snapshot.index, self.snapshot.voter_set))
        for entry in self._entries:
            if entry.index > self.snapshot_index:
                self._record_voter_set(entry)

    def _record_voter_set(self, entry: storage.Entry) -> None:
        if entry.kind is storage.EntryKind.VOTER_SET:
            voter_set = voters.decode_voter_set(entry.body)
            self._voter_sets.append((entry.index, voter_set))
