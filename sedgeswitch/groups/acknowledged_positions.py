"""Positions of commits that an entry host has acknowledged to its callers."""

from sedgeswitch.groups import positions
from sedgeswitch.groups import table as groups_table
from sedgeswitch.groups.generated import ttypes


class AcknowledgedTracker:
    """Records the highest acknowledged position of each group on its current timeline.

    The leader uses these positions to select a new primary that has every
    acknowledged write.

    Parameters
    ----------
    table : groups.table.GroupTable

    Notes
    -----
    An earlier process of this host may have acknowledged commits on the timelines
    in the first answer of the leader, and this process has no record of these
    commits. No position is therefore reported for a group while it is still on
    that timeline. A later term may continue the same timeline: that of a
    reinstated primary does. The same applies to a timeline on which a commit was
    acknowledged whose position is not known.
    """

    def __init__(self, table: groups_table.GroupTable):
        self._table = table
        self._highest: dict[str, positions.Position] = {}
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
        self, group: str, timeline: int, position: positions.Position | None
    ) -> None:
        """Record a commit; see `entry_section.EntrySection.record_acknowledged`."""
        if position is None or position.timeline != timeline:
            self._incomplete_timelines[group] = timeline
            return
        previous = self._highest.get(group)
        if previous is None or previous < position:
            self._highest[group] = position

    def build_report(self) -> list[ttypes.Acknowledged]:
        """Return the positions of the groups all of whose commits are known.

        A group without acknowledged commits on its timeline is reported with LSN 0.
        """
        if self._incomplete_timelines is None:
            return []
        report = []
        for state in self._table.get_groups():
            if self._incomplete_timelines.get(state.group) == state.timeline:
                continue
            lsn = 0
            highest = self._highest.get(state.group)
            if highest is not None and highest.timeline == state.timeline:
                lsn = highest.lsn
            report.append(ttypes.Acknowledged(state.group, state.timeline, lsn))
        return report
