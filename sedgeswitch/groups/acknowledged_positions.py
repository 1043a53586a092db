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
    reinstated primary does.
    """

    def __init__(self, table: groups_table.GroupTable):
        self._table = table
        self._highest: dict[str, positions.Position] = {}
        self._timelines_at_start: dict[str, int] | None = None

    def record_leader_answer(self) -> None:
        """Record that an answer of the leader has been applied to the table.

        Only the first call has an effect: it stores the timelines in the table.
        """
        if self._timelines_at_start is None:
            self._timelines_at_start = {
                state.group: state.timeline for state in self._table.get_groups()
            }

    def record_commit(self, group: str, position: positions.Position) -> None:
        """Record the position of a commit that is about to be acknowledged."""
        previous = self._highest.get(group)
        if previous is None or previous < position:
            self._highest[group] = position

    def build_report(self) -> list[ttypes.Acknowledged]:
        """Return the positions of the groups whose timeline began in this process.

        A group without acknowledged commits on its timeline is reported with LSN 0.
        """
        if self._timelines_at_start is None:
            return []
        report = []
        for state in self._table.get_groups():
            if self._timelines_at_start.get(state.group) == state.timeline:
                continue
            lsn = 0
            highest = self._highest.get(state.group)
            if highest is not None and highest.timeline == state.timeline:
                lsn = highest.lsn
            report.append(ttypes.Acknowledged(state.group, state.timeline, lsn))
        return report
