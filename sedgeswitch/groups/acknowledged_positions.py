"""Positions of commits that an entry host has acknowledged to its callers."""

from sedgeswitch.groups import positions
from sedgeswitch.groups import table as groups_table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog

# Upper bound in the report on a timeline with commits whose positions are not known.
# Greater than any position, so that a leader of an earlier release, to which it is an
# ordinary position, finds no instance that has reached it.
UNKNOWN_LSN = catalog.MAX_INT64


class AcknowledgedTracker:
    """Records bounds of the acknowledged commits of each group on its timeline.

    The leader uses them to select a new primary that has every acknowledged write.
    The position that the primary reports after a commit is an upper bound, as it may
    include later commits that are not acknowledged. The position before the commit was
    sent is a lower bound.

    Parameters
    ----------
    table : groups.table.GroupTable

    Notes
    -----
    An earlier process of this host may have acknowledged commits on the timelines
    in the first answer of the leader, and this process has no record of these
    commits. No upper bound is therefore reported for a group while it is still on
    that timeline. A later term may continue the same timeline: that of a
    reinstated primary does. The same applies to a timeline on which a commit was
    acknowledged whose position is not known.
    """

    def __init__(self, table: groups_table.GroupTable):
        self._table = table
        self._highest: dict[str, positions.Position] = {}
        # Highest position before a commit.
        self._highest_before: dict[str, positions.Position] = {}
        # By group, the timeline with commits that this process may not know. None
        # before the first answer of the leader.
        self._incomplete_timelines: dict[str, int] | None = None

    def record_leader_answer(self) -> None:
        """Record that an answer of the leader has been applied to the table.

        Only the first call has an effect: it marks the timelines in the table as
        incomplete.
        """
        if self._incomplete_timelines is None:
            self._incomplete_timelines = {
                state.group: state.timeline for state in self._table.get_groups()
            }

    def record_commit(
        self,
        group: str,
        timeline: int,
        position: positions.Position | None,
        before_lsn: int = 0,
    ) -> None:
        """Record a commit; see `entry_section.EntrySection.record_acknowledged`."""
        before = positions.Position(timeline, before_lsn)
        self._highest_before[group] = max(
            self._highest_before.get(group, before), before
        )
        if position is None or position.timeline != timeline:
            self._incomplete_timelines[group] = timeline
            return
        previous = self._highest.get(group)
        if previous is None or previous < position:
            self._highest[group] = position

    def build_report(self) -> list[ttypes.Acknowledged]:
        """Return the bounds of the groups all of whose commits are known.

        A group without acknowledged commits on its timeline is reported with LSN 0. One
        with commits that are not known is left out, or reported with `UNKNOWN_LSN` if
        others are known.
        """
        if self._incomplete_timelines is None:
            return []
        report = []
        for state in self._table.get_groups():
            after_lsn = _get_lsn(self._highest_before.get(state.group), state)
            lsn = _get_lsn(self._highest.get(state.group), state) or 0
            if self._incomplete_timelines.get(state.group) == state.timeline:
                if after_lsn is None:
                    continue
                lsn = UNKNOWN_LSN
            report.append(
                ttypes.Acknowledged(state.group, state.timeline, lsn, after_lsn)
            )
        return report


def _get_lsn(position: positions.Position | None, state: ttypes.Group) -> int | None:
    """Return the LSN of a position on the timeline of a group, otherwise None."""
    if position is None or position.timeline != state.timeline:
        return None
    return position.lsn
