import json
import os
import pathlib
import unittest

from sedgeswitch.cli.tests import builders
from sedgeswitch.configuration import indexes
from sedgeswitch.keys import lookup

GOLDEN = pathlib.Path(__file__).parent / "golden"


class GoldenTest(unittest.TestCase):
    """Compares the output of complete operator sessions with golden files.

    ``SEDGESWITCH_UPDATE_GOLDEN=1`` rewrites the files for review.
    """

    maxDiff = None

    def setUp(self):
        folder = pathlib.Path.cwd()
        self.addCleanup(os.chdir, folder)
        os.chdir(builders.ROOT)

    def test_created_key_is_accepted_and_only_its_digest_is_stored(self):
        session = builders.Session()
        session.run_command(["apply", "examples/daura-lots/configuration.json"])
        session.run_command(["key", "give", "depots", "--json"])
        key = json.loads(session.printed)
        machine = session.fleet.machine
        holder = indexes.Index(machine.document).check_key(key["key"])
        self.assertEqual(holder, lookup.KeyHolder("depots", key["key_id"]))
        self.assertNotIn(key["key"].encode(), machine.save_snapshot())

    def test_output_of_sessions_equals_golden_files(self):
        for path in sorted(GOLDEN.glob("*.txt")):
            with self.subTest(session=path.name):
                expected = path.read_text()
                output = builders.replay(expected)
                if os.environ.get("SEDGESWITCH_UPDATE_GOLDEN"):
                    path.write_text(output)
                self.assertEqual(output, expected)
