"""Runs the examples that embed membership and write leases, in virtual time."""

import contextlib
import io
import pathlib
import runpy
import unittest

from sedgeswitch.utils.tests import virtual_time

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def run_example(name):
    """Return what an example prints."""
    main = runpy.run_path(str(EXAMPLES / name))["main"]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        virtual_time.run(main)
    return output.getvalue()


class EmbeddedTest(unittest.TestCase):
    def test_stopped_host_loses_its_lease_and_other_host_keeps_its(self):
        output = run_example("membership_embedded.py")
        self.assertIn("directory of entry-2: lots-0", output)
        self.assertTrue(output.endswith("lease holders: entry-1\n"))

    def test_write_begun_before_change_of_primary_is_not_acknowledged(self):
        output = run_example("write_leases_embedded.py")
        self.assertEqual(output.count("may acknowledge the write: False"), 2)
        self.assertIn("term=2, primary='lots-1'", output)


if __name__ == "__main__":
    unittest.main()
