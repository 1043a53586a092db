import unittest

import trio

from sedgeswitch.groups.tests import builders


async def kill_primary(world):
    world.instances["lots-0"].is_killed = True
    await trio.sleep(0)


class FailoverTest(unittest.TestCase):
    def check_safe(self, world):
        for group in world.get_groups():
            state = world.machine.get_group(group)
            log = set(world.instances[state.primary].log)
            acked = {item for _, permit, item in world.acked if permit.group == group}
            self.assertLessEqual(acked, log, f"{group}: acknowledged writes are lost")

    def test_killed_primary_is_replaced(self):
        world = builders.World(seed=1)
        builders.run(world, kill_primary)
        self.assertEqual(2, world.machine.get_group("lots").term)
        self.check_safe(world)
