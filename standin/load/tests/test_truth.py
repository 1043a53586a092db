import unittest

from sedgeswitch import verdicts
from standin.load import _truth
from standin.load.tests import builders

Kind = _truth.ViolationKind


class TruthTest(unittest.TestCase):
    def setUp(self):
        self.truth = _truth.Truth()

    def _acknowledge(self, write, now_s):
        self.truth.start_attempt(write)
        self.truth.acknowledge(write.request_id, now_s)

    def _refuse(self, write, verdict):
        self.truth.start_attempt(write)
        self.truth.refuse(write.request_id, verdict)

    def _check_kinds(self, *expected):
        found = [violation.kind for violation in self.truth.finish()]
        self.assertEqual(list(expected), found)

    def test_read_below_own_write_is_stale_for_the_household(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self.truth.check_read(builders.build_read(), [builders.build_row(0)])
        self._check_kinds(Kind.STALE_HOUSEHOLD_READ)

    def test_read_below_other_session_is_stale_for_the_organisation(self):
        self._acknowledge(builders.build_set("w1", 1, session="desk"), 5.0)
        self.truth.check_read(builders.build_read(), [builders.build_row(0)])
        self._check_kinds(Kind.STALE_ORGANISATION_READ)

    def test_write_acknowledged_after_the_read_was_sent_is_no_floor(self):
        self._acknowledge(builders.build_set("w1", 1), 10.5)
        self.truth.check_read(builders.build_read(), [builders.build_row(0)])
        self._check_kinds()

    def test_aged_read_is_stale_only_beyond_its_age(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self._acknowledge(builders.build_set("w2", 2), 9.0)
        read = builders.build_read(max_age_s=3.0)
        self.truth.check_read(read, [builders.build_row(1)])
        self._check_kinds()
        self.truth.check_read(read, [builders.build_row(0)])
        self._check_kinds(Kind.STALE_AGED_READ)

    def test_answer_for_another_request_is_crossed(self):
        row = builders.build_row(0, request_id="r2")
        self.truth.check_read(builders.build_read(), [row])
        self._check_kinds(Kind.CROSSED_ANSWER)

    def test_value_that_was_never_sent_is_crossed(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self.truth.check_read(builders.build_read(), [builders.build_row(9)])
        self._check_kinds(Kind.CROSSED_ANSWER)

    def test_missing_row_is_crossed(self):
        self.truth.check_row_count("r1", 1, [])
        self._check_kinds(Kind.CROSSED_ANSWER)

    def test_row_of_another_organisation_is_foreign(self):
        row = builders.build_row(0, organisation="ward-2")
        self.truth.check_read(builders.build_read(), [row])
        self._check_kinds(Kind.FOREIGN_ANSWER)

    def test_register_below_acknowledged_write_is_lost(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self._acknowledge(builders.build_set("w2", 2), 6.0)
        self.truth.audit_registers(builders.ORGANISATION, {builders.HOUSEHOLD: 1})
        self._check_kinds(Kind.LOST_WRITE)

    def test_missing_tag_of_acknowledged_insert_is_lost(self):
        self._acknowledge(builders.build_insert("w1"), 5.0)
        self.truth.audit_tags(builders.ORGANISATION, {})
        self._check_kinds(Kind.LOST_WRITE)

    def test_tag_inserted_twice_is_doubled(self):
        self._acknowledge(builders.build_insert("w1"), 5.0)
        self.truth.audit_tags(builders.ORGANISATION, {"w1": 2})
        self._check_kinds(Kind.DOUBLED_RUN)

    def test_tag_of_refused_insert_makes_not_run_false(self):
        self._refuse(builders.build_insert("w1"), verdicts.Verdict.NOT_RUN)
        self.truth.audit_tags(builders.ORGANISATION, {"w1": 1})
        self._check_kinds(Kind.FALSE_NOT_RUN)

    def test_seen_value_of_refused_write_makes_not_run_false(self):
        self._refuse(builders.build_set("w1", 1), verdicts.Verdict.NOT_RUN)
        self.truth.check_read(builders.build_read(), [builders.build_row(1)])
        self._check_kinds(Kind.FALSE_NOT_RUN)

    def test_write_that_may_have_run_is_right_either_way(self):
        for request_id in ("w1", "w2"):
            write = builders.build_insert(request_id)
            self._refuse(write, verdicts.Verdict.MAY_HAVE_RUN)
            self._refuse(write, verdicts.Verdict.NOT_RUN)
        self.truth.audit_tags(builders.ORGANISATION, {"w1": 1})
        self._check_kinds()
