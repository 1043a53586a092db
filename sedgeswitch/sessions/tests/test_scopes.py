import unittest

import trio

from sedgeswitch.groups import positions
from sedgeswitch.sessions import floors

DESK = floors.SessionKey("ward-1", "", "draw")
HOUSEHOLD = floors.SessionKey("ward-1", "h1", "draw")
NEIGHBOUR = floors.SessionKey("ward-1", "h2", "draw")
STRANGER = floors.SessionKey("ward-2", "h1", "draw")
WRITTEN = positions.Position(1, 7)


async def _get_position_after(written: floors.SessionKey, read: floors.SessionKey):
    store = floors.LocalFloors()
    await store.record(written, WRITTEN, 1.0)
    return (await store.get_floor(read, 1.0)).position


class ScopeTest(unittest.TestCase):
    def test_reads_see_the_writes_of_their_scopes(self):
        cases = [
            (HOUSEHOLD, HOUSEHOLD, WRITTEN),
            (HOUSEHOLD, DESK, WRITTEN),
            (HOUSEHOLD, NEIGHBOUR, None),
            (DESK, DESK, WRITTEN),
            (DESK, HOUSEHOLD, WRITTEN),
            (DESK, STRANGER, None),
            (HOUSEHOLD, STRANGER, None),
        ]
        for written, read, expected in cases:
            with self.subTest(written=written, read=read):
                found = trio.run(_get_position_after, written, read)
                self.assertEqual(found, expected)
