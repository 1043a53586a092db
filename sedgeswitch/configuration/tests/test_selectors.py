import unittest

from sedgeswitch.configuration import indexes
from sedgeswitch.configuration.tests import builders


class SelectorsTest(unittest.TestCase):
    def setUp(self):
        document = builders.build_document(
            selectors={
                "desk": {"organisations": ["ward-4"], "labels": {"tier": "draw"}},
                "notices": {"open": True, "work": ["notices"], "access": ["read"]},
            },
            backend_servers={"draw-1-b": {"labels": {"tier": "spare"}}},
            drains={"monday": {"labels": {"cleaning": "monday"}}},
        )
        self.index = indexes.Index(document)

    def test_selectors_match_by_organisation_work_and_access(self):
        cases = [
            (("ward-4", "lookup", "read", "draw-1"), 1),
            (("ward-5", "lookup", "read", "draw-1"), 0),
            ((None, "lookup", "read", "draw-1"), 0),
            ((None, "notices", "read", "draw-1"), 1),
            ((None, "notices", "write", "draw-1"), 0),
            (("ward-4", "notices", "read", "draw-1"), 2),
        ]
        for request, expected in cases:
            with self.subTest(request=request):
                self.assertEqual(len(self.index.get_selectors(*request)), expected)

    def test_operator_labels_override_announced_ones_and_drains_exclude(self):
        matched = self.index.get_selectors("ward-4", "lookup", "read", "draw-1")
        draw = {"tier": "draw"}
        cases = [
            ("draw-1-a", draw, True),
            ("draw-1-a", {}, False),
            ("draw-1-b", draw, False),
            ("draw-1-a", {**draw, "cleaning": "monday"}, False),
        ]
        for instance, announced, expected in cases:
            with self.subTest(instance=instance, announced=announced):
                may_serve = self.index.may_serve(matched, instance, announced)
                self.assertEqual(may_serve, expected)
