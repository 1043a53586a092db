"""Test of the embedding example with real connections, files and time."""

import contextlib
import io
import pathlib
import runpy
import unittest

import trio

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "agreement_embedded.py"
TIMEOUT_S = 60.0


class EmbeddedTest(unittest.TestCase):
    def test_example_counts_over_real_connections(self):
        main = runpy.run_path(str(EXAMPLE))["main"]

        async def run():
            with trio.fail_after(TIMEOUT_S):
                await main()

        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            trio.run(run)
        self.assertIn("the counter is 42", output.getvalue())


if __name__ == "__main__":
    unittest.main()
