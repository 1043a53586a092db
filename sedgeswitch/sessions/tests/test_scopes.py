"""Tests of which writes the reads of a session must see."""

import unittest

import trio

from sedgeswitch.groups import positions
from sedgeswitch.sessions import floors

ORGANISATION = floors.SessionKey("ward-1", "", "draw")
IN_SESSION = floors.SessionKey("ward-1", "h1", "draw")
OTHER_SESSION = floors.SessionKey("ward-1", "h2", "draw")
OTHER_ORGANISATION = floors.SessionKey("ward-2", "h1", "draw")
WRITTEN = positions.Position(1, 7)


async def _get_position_after(written: floors.SessionKey, read: floors.SessionKey):
    store = floors.LocalFloors()
    await store.record(written, WRITTEN, 1.0)
    return (await store.get_floor(read, 1.0)).position


class ScopeTest(unittest.TestCase):
    def test_reads_see_writes_of_their_scopes(self):
        cases = [
            (IN_SESSION, IN_SESSION, WRITTEN),
            (IN_SESSION, ORGANISATION, WRITTEN),
            (IN_SESSION, OTHER_SESSION, None),
            (ORGANISATION, ORGANISATION, WRITTEN),
            (ORGANISATION, IN_SESSION, WRITTEN),
            (ORGANISATION, OTHER_ORGANISATION, None),
            (IN_SESSION, OTHER_ORGANISATION, None),
        ]
        for written, read, expected in cases:
            with self.subTest(written=written, read=read):
                found = trio.run(_get_position_after, written, read)
                self.assertEqual(found, expected)
