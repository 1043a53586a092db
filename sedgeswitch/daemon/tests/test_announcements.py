"""Tests of the HTTP endpoint at which backend servers announce themselves."""

import json
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.daemon import announcements
from sedgeswitch.membership import directory
from sedgeswitch.membership.tests import builders


class AnnouncementTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.EntryDirectory()
        self.endpoint = announcements.AnnouncementEndpoint(self.directory)

    def _announce(self, **changes):
        body = json.dumps({**builders.build_server()._asdict(), **changes})
        request = http.Request("POST", announcements.PATH, {}, body.encode())
        return trio.run(self.endpoint.handle, request, ())

    def test_announcement_is_included_in_the_next_report(self):
        self.assertEqual(self._announce().status, 204)
        self.assertIn(b"lots-0", self.directory.build_report(0.0))

    def test_error_names_the_malformed_field(self):
        for field, value in (
            ("host", "10.0.0.1 user=postgres"),
            ("host", "/var/run"),
            ("port", 0),
            ("instance", "a b"),
            ("slots", -1),
            ("labels", {"a": "b\n"}),
            ("other", 1),
        ):
            with self.subTest(field=field, value=value):
                with self.assertRaises(verdicts.RefusedError) as caught:
                    self._announce(**{field: value})
                refusal = caught.exception.refusal
                self.assertEqual(refusal.status, 400)
                self.assertIn(field, refusal.detail)


if __name__ == "__main__":
    unittest.main()
