import unittest

from sedgeswitch import verdicts
from standin.load import _consistency
from standin.load.tests import builders

Kind = _consistency.ViolationKind


class ConsistencyCheckerTest(unittest.TestCase):
    def setUp(self):
        self.checker = _consistency.ConsistencyChecker()

    def _acknowledge(self, write, now_s):
        self.checker.start_attempt(write)
        self.checker.acknowledge(write.request_id, now_s)

    def _record_failure(self, write, verdict):
        self.checker.start_attempt(write)
        self.checker.record_failure(write.request_id, verdict)

    def _assert_violations(self, *expected):
        kinds = [violation.kind for violation in self.checker.finish()]
        self.assertEqual(list(expected), kinds)

    def test_read_older_than_write_of_same_session_is_stale_for_household(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self.checker.check_read(builders.build_read(), [builders.build_row(0)])
        self._assert_violations(Kind.STALE_HOUSEHOLD_READ)

    def test_read_older_than_write_of_other_session_is_stale_for_organisation(self):
        self._acknowledge(builders.build_set("w1", 1, session="desk"), 5.0)
        self.checker.check_read(builders.build_read(), [builders.build_row(0)])
        self._assert_violations(Kind.STALE_ORGANISATION_READ)

    def test_read_need_not_return_write_acknowledged_after_it_was_sent(self):
        self._acknowledge(builders.build_set("w1", 1), 10.5)
        self.checker.check_read(builders.build_read(), [builders.build_row(0)])
        self._assert_violations()

    def test_read_with_maximum_age_is_stale_only_beyond_that_age(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self._acknowledge(builders.build_set("w2", 2), 9.0)
        read = builders.build_read(max_age_s=3.0)
        self.checker.check_read(read, [builders.build_row(1)])
        self._assert_violations()
        self.checker.check_read(read, [builders.build_row(0)])
        self._assert_violations(Kind.STALE_AGED_READ)

    def test_answer_with_other_request_id_is_crossed(self):
        row = builders.build_row(0, request_id="r2")
        self.checker.check_read(builders.build_read(), [row])
        self._assert_violations(Kind.CROSSED_ANSWER)

    def test_value_that_was_never_sent_is_crossed(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self.checker.check_read(builders.build_read(), [builders.build_row(9)])
        self._assert_violations(Kind.CROSSED_ANSWER)

    def test_missing_row_is_crossed(self):
        self.checker.check_row_count("r1", 1, [])
        self._assert_violations(Kind.CROSSED_ANSWER)

    def test_row_of_other_organisation_is_foreign(self):
        row = builders.build_row(0, organisation="ward-2")
        self.checker.check_read(builders.build_read(), [row])
        self._assert_violations(Kind.FOREIGN_ANSWER)

    def test_final_register_below_acknowledged_value_is_lost_write(self):
        self._acknowledge(builders.build_set("w1", 1), 5.0)
        self._acknowledge(builders.build_set("w2", 2), 6.0)
        self.checker.audit_registers(builders.ORGANISATION, {builders.HOUSEHOLD: 1})
        self._assert_violations(Kind.LOST_WRITE)

    def test_missing_tag_of_acknowledged_insert_is_lost_write(self):
        self._acknowledge(builders.build_insert("w1"), 5.0)
        self.checker.audit_tags(builders.ORGANISATION, {})
        self._assert_violations(Kind.LOST_WRITE)

    def test_tag_inserted_twice_is_doubled_run(self):
        self._acknowledge(builders.build_insert("w1"), 5.0)
        self.checker.audit_tags(builders.ORGANISATION, {"w1": 2})
        self._assert_violations(Kind.DOUBLED_RUN)

    def test_tag_of_insert_answered_as_not_run_is_false_not_run(self):
        self._record_failure(builders.build_insert("w1"), verdicts.Verdict.NOT_RUN)
        self.checker.audit_tags(builders.ORGANISATION, {"w1": 1})
        self._assert_violations(Kind.FALSE_NOT_RUN)

    def test_seen_value_of_write_answered_as_not_run_is_false_not_run(self):
        self._record_failure(builders.build_set("w1", 1), verdicts.Verdict.NOT_RUN)
        self.checker.check_read(builders.build_read(), [builders.build_row(1)])
        self._assert_violations(Kind.FALSE_NOT_RUN)

    def test_write_that_may_have_run_may_be_present_or_absent(self):
        for request_id in ("w1", "w2"):
            write = builders.build_insert(request_id)
            self._record_failure(write, verdicts.Verdict.MAY_HAVE_RUN)
            self._record_failure(write, verdicts.Verdict.NOT_RUN)
        self.checker.audit_tags(builders.ORGANISATION, {"w1": 1})
        self._assert_violations()
