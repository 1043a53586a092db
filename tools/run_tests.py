"""Run every unit test and print a last line ``N passed, N failed, N skipped``.

Failures of tests that are listed in ``KNOWN-RED.txt`` are printed and do not fail the
run. A listed test that passes fails the run, so that the list stays accurate.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FOLDERS = ("sedgeswitch", "standin", "soak")


class CountingResult(unittest.TextTestResult):
    """A text result that also counts the tests that passed."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.passed = 0

    def addSuccess(self, test):  # noqa: N802
        """Count a test that passed."""
        super().addSuccess(test)
        self.passed += 1


def load_known_red(prefix):
    """Return the known failures that are listed in ``KNOWN-RED.txt``.

    Parameters
    ----------
    prefix : str
        ``test:`` for test ids, ``check:`` for commands of benchmarks.

    Returns
    -------
    set of str
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def load_suite(names):
    """Return a suite of the named tests, or of all tests in `TEST_FOLDERS`.

    Parameters
    ----------
    names : list of str
        Dotted test names; empty for all tests.

    Returns
    -------
    unittest.TestSuite
    """
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for folder in TEST_FOLDERS:
        for tests in sorted((ROOT / folder).rglob("tests")):
            suite.addTests(loader.discover(str(tests), top_level_dir=str(ROOT)))
    return suite


def main():
    """Run the tests and return 0, or 1 for a failure, a stale entry or no tests."""
    sys.path.insert(0, str(ROOT))
    known_red = load_known_red("test:")
    result = unittest.TextTestRunner(verbosity=1, resultclass=CountingResult).run(
        load_suite(sys.argv[1:])
    )
    failed = {test.id() for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for test_id in sorted(failed & known_red):
        print(f"known red: {test_id}")
    for command in sorted(load_known_red("check:")):
        print(f"known red, not run here: {command}")
    stale = set() if sys.argv[1:] else known_red - failed
    for test_id in sorted(stale):
        print(f"listed as known red but did not fail: {test_id}")
    skipped = len(result.skipped)
    print(
        f"{result.passed} passed, {len(failed - known_red)} failed, {skipped} skipped"
    )
    return 1 if (failed - known_red) or stale or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
