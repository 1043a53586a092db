"""Tests of the positions that instances must have reached for reads."""

import unittest

from sedgeswitch.groups import positions
from sedgeswitch.relay import freshness


class PositionHistoryTest(unittest.TestCase):
    def test_required_position_is_oldest_within_staleness(self):
        history = freshness.PositionHistory()
        for sent_s in (1.0, 2.0, 3.0):
            history.record(sent_s, positions.Position(1, int(sent_s)), 1)
        self.assertEqual(positions.Position(1, 2), history.get_required(3.4, 1.5))
        self.assertIsNone(history.get_required(5.0, 1.5))

    def test_positions_of_replaced_primary_are_removed(self):
        history = freshness.PositionHistory()
        history.record(1.0, positions.Position(1, 30), 1)
        # The new primary lacks writes that were never acknowledged and has not written
        # yet, so that its log ends in the earlier timeline.
        history.record(1.5, positions.Position(1, 25), 2)
        self.assertEqual(positions.Position(1, 25), history.get_required(2.0, 1.5))


if __name__ == "__main__":
    unittest.main()
