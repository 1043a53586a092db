"""Tests of session settings in startup options."""

import unittest

from standin.instance import options


class StartupOptionsTest(unittest.TestCase):
    def test_all_forms_are_read(self):
        for text in ("-c lock_timeout=5", "-clock_timeout=5", "--lock-timeout=5"):
            with self.subTest(text):
                self.assertEqual("5", options.Options(text).get(options.LOCK_TIMEOUT))

    def test_value_that_contains_the_option_is_kept(self):
        given = options.Options("-c application_name=pool-c-2 -c lock_timeout=5")
        self.assertEqual("pool-c-2", given.get("application_name"))
        self.assertEqual("5", given.get(options.LOCK_TIMEOUT))


if __name__ == "__main__":
    unittest.main()
