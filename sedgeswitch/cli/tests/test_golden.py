import json
import os
import pathlib
import unittest

from sedgeswitch.cli.tests import builders
from sedgeswitch.configuration import indexes
from sedgeswitch.keys import lookup

GOLDEN = pathlib.Path(__file__).parent / "golden"


class GoldenTest(unittest.TestCase):
    """Whole sessions of operators.

    ``SEDGESWITCH_UPDATE_GOLDEN=1`` rewrites the files for review.
    """

    maxDiff = None

    def setUp(self):
        folder = pathlib.Path.cwd()
        self.addCleanup(os.chdir, folder)
        os.chdir(builders.ROOT)

    def test_given_key_works_and_only_its_digest_is_kept(self):
        session = builders.Session()
        session.run_command(["apply", "examples/daura-lots/configuration.json"])
        session.run_command(["key", "give", "depots", "--json"])
        key = json.loads(session.printed)
        machine = session.fleet.machine
        holder = indexes.Index(machine.document).check_key(key["key"])
        self.assertEqual(holder, lookup.KeyHolder("depots", key["key_id"]))
        self.assertNotIn(key["key"].encode(), machine.save_snapshot())

    def test_sessions_print_what_the_golden_files_hold(self):
        for path in sorted(GOLDEN.glob("*.txt")):
            with self.subTest(session=path.name):
                expected = path.read_text()
                found = builders.replay(expected)
                if os.environ.get("SEDGESWITCH_UPDATE_GOLDEN"):
                    path.write_text(found)
                self.assertEqual(found, expected)
