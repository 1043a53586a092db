"""Tests of the positions of primaries that heartbeats spread."""

import unittest

from sedgeswitch.groups import entry_section
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog

SERVING = ttypes.GroupPhase.SERVING


def build_section(**changes):
    section = entry_section.EntrySection(
        table.GroupTable(), None, None, settings.GroupSettings()
    )
    values = {"instance": 0, "is_usable": True, "timeline": 2, "lsn": 25, "age_ms": 100}
    observation = ttypes.Observation(**(values | changes))
    group = ttypes.Group("g", 2, 2, "a", SERVING, 1, ["a", "b"], "", [], [])
    answer = ttypes.Answer(
        version=1,
        changed=[group],
        knows_used_groups=True,
        observations=[ttypes.GroupObservation("g", [observation], 50)],
    )
    section.build_report(10.0)
    section.receive_answer(catalog.encode_struct(answer), 10.1)
    return section


class SharedPositionTest(unittest.TestCase):
    def test_age_counts_from_before_the_heartbeat(self):
        position, age_s = build_section().get_primary_position("g", 10.3)
        self.assertEqual(positions.Position(2, 25), position)
        self.assertAlmostEqual(0.1 + 0.05 + 0.3, age_s)

    def test_log_of_a_new_primary_ends_in_the_earlier_timeline(self):
        section = build_section(log_timeline=1)
        position, _ = section.get_primary_position("g", 10.3)
        self.assertEqual(positions.Position(1, 25), position)

    def test_primary_that_is_not_usable_tells_nothing(self):
        section = build_section(is_usable=False)
        self.assertIsNone(section.get_primary_position("g", 10.3))

    def test_position_of_an_earlier_timeline_tells_nothing(self):
        section = build_section(timeline=1)
        self.assertIsNone(section.get_primary_position("g", 10.3))

    def test_position_without_age_tells_nothing(self):
        section = build_section(age_ms=None)
        self.assertIsNone(section.get_primary_position("g", 10.3))


class AcknowledgedTest(unittest.TestCase):
    """What hosts that do and don't note their commits tell the leader."""

    def build_report(self, **options):
        section = build_section()
        section = entry_section.EntrySection(
            section._table, None, None, settings.GroupSettings(), **options
        )
        answer = ttypes.Answer(version=1, changed=[], knows_used_groups=True)
        section._acknowledged_tracker._terms_at_start = {}
        section.receive_answer(catalog.encode_struct(answer), 10.1)
        return catalog.decode_struct(ttypes.Report, section.build_report(10.2))

    def test_host_that_notes_no_commits_tells_nothing_of_them(self):
        self.assertIsNone(self.build_report().acknowledged)

    def test_host_that_notes_commits_tells_that_there_were_none(self):
        told = self.build_report(reports_acknowledged=True).acknowledged
        self.assertEqual([ttypes.Acknowledged("g", 2, 0)], told)


if __name__ == "__main__":
    unittest.main()
