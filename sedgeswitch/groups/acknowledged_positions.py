"""What an entry host has answered as done, for the choice of a primary."""

from sedgeswitch.groups import positions
from sedgeswitch.groups import table as groups_table
from sedgeswitch.groups.generated import ttypes


class AcknowledgedTracker:
    """The highest acknowledged position of each group under its present term.

    Parameters
    ----------
    table : groups.table.GroupTable

    Notes
    -----
    An earlier process of this host may have answered commits under the terms
    that the first answer shows, so this one can't speak for them.
    """

    def __init__(self, table: groups_table.GroupTable):
        self._table = table
        self._highest: dict[str, positions.Position] = {}
        self._terms_at_start: dict[str, int] | None = None

    def record_leader_answer(self) -> None:
        """Note that the table holds what an answer of the leader has told."""
        if self._terms_at_start is None:
            self._terms_at_start = {
                state.group: state.term for state in self._table.get_groups()
            }

    def record_commit(self, group: str, position: positions.Position) -> None:
        """Note that a commit is about to be answered as done."""
        known = self._highest.get(group)
        if known is None or known < position:
            self._highest[group] = position

    def build_report(self) -> list[ttypes.Acknowledged]:
        """Return the positions of the groups that this process can speak for."""
        if self._terms_at_start is None:
            return []
        report = []
        for state in self._table.get_groups():
            if self._terms_at_start.get(state.group) == state.term:
                continue
            lsn = 0
            highest = self._highest.get(state.group)
            if highest is not None and highest.timeline == state.timeline:
                lsn = highest.lsn
            report.append(ttypes.Acknowledged(state.group, state.timeline, lsn))
        return report
