"""Tests of the limits that are derived from a configuration document."""

import math
import unittest

from sedgeswitch.admission import grantor
from sedgeswitch.admission import host_limiter
from sedgeswitch.daemon import relay_groups
from sedgeswitch.databases import documents

TOLERANCE = relay_groups.Tolerance(5.0, 0.1, 20.0)


class LimitTest(unittest.TestCase):
    def test_any_numbers_of_a_document_give_usable_limits(self):
        # Guards against one organisation without limits, or with absurd ones, whose
        # limit is rejected together with those of all other organisations.
        for number in (0.0, -5.0, 1e9, 1e308, math.inf):
            with self.subTest(number):
                organisation = documents.Organisation("ward-4", ("k",), number, number)
                other = documents.Organisation("ward-5", ("l",), 5.0, 5.0)
                document = documents.Document(
                    1, organisations={"ward-4": organisation, "ward-5": other}
                )
                limits = relay_groups.build_limits(document, TOLERANCE)
                host_limiter.HostLimiter("entry-1", "run-1", 0.0).set_limits(limits)
                grantor.Grantor(list).set_limits(limits, 0.0)


if __name__ == "__main__":
    unittest.main()
