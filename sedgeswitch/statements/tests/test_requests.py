"""Tests that any request is decoded to a statement or refused with 400."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.statements import requests

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=300),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)
_FIELD_NAMES = sorted(requests._FIELDS)
_GIVEN = strategies.dictionaries(strategies.sampled_from(_FIELD_NAMES), _VALUES)
_HEADERS = strategies.dictionaries(
    strategies.sampled_from(
        [
            requests.IDEMPOTENCY_HEADER,
            requests.SESSION_HEADER,
            requests.POSITION_HEADER,
            "traceparent",
        ]
    ),
    strategies.text(max_size=300) | strategies.from_regex(r"\w+:-?\w+:\w+"),
)
_VALID = {"group": "draw", "work": "draw", "access": "write", "sql": "SELECT 1"}


def build_request(body, headers=None):
    return http.Request("POST", "/v1/statements", headers or {}, body)


class RequestsTest(unittest.TestCase):
    def check(self, body, headers=None):
        try:
            statement = requests.build_statement(build_request(body, headers), 1000, 0)
        except verdicts.RefusedError as error:
            self.assertEqual(error.refusal.status, 400)
            self.assertIs(error.refusal.verdict, verdicts.Verdict.NOT_RUN)
        else:
            self.assertIsInstance(statement, requests.Statement)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(given=_GIVEN, headers=_HEADERS, is_valid=strategies.booleans())
    def test_any_object_gives_statement_or_400(self, given, headers, is_valid):
        body = {**_VALID, **given} if not is_valid else {**given, **_VALID}
        self.check(msgspec.json.encode(body), headers)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(body=strategies.binary(max_size=200))
    def test_any_bytes_give_400(self, body):
        self.check(body)

    def test_deeply_nested_body_gives_400(self):
        self.check(b"[" * 100_000)

    def test_transaction_control_after_comments_is_refused(self):
        for sql in (
            "COMMIT",
            "/* x */ COMMIT",
            "-- x\nBEGIN",
            "/* a /* b */ c */ -- d\r\n\tROLLBACK",
            ";;COMMIT",
            "commit/**/work",
            "END--x",
            "/* open COMMIT",
            "-- nothing",
            "SELECT 1\0",
        ):
            with self.subTest(sql=sql), self.assertRaises(verdicts.RefusedError):
                requests.check_sql(sql)

    def test_statement_after_comments_is_accepted(self):
        for sql in ("/* COMMIT */ SELECT 1", "-- BEGIN\n(SELECT 1)", "begin_lots()"):
            self.assertEqual(requests.check_sql(sql), sql)

    def test_nul_in_parameter_is_refused(self):
        with self.assertRaises(verdicts.RefusedError):
            requests.encode_parameters(["lot\0"])
