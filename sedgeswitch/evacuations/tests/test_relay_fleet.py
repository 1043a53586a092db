"""Tests of evacuations in a small relay fleet on loopback addresses."""

import json
import unittest

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.evacuations import sections
from sedgeswitch.evacuations.tests import fleet_builders as builders
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.utils import clocks

FAILURE = sessions.Failure
BOUND_S = sections.DEFAULT_BOUND_S
PATH = "/-/evacuations"


async def list_evacuated(fleet):
    response = await fleet.request("GET", PATH)
    return json.loads(response.body)["evacuations"]


class RelayFleetTest(unittest.TestCase):
    def test_evacuation_moves_the_primary_and_its_end_does_not(self):
        async def body(fleet):
            [outcome] = await fleet.run_texts(b"WRITE x 1")
            self.assertEqual(b"signed-a", outcome.signature)
            response = await fleet.request("POST", f"{PATH}/zone-a")
            self.assertEqual(200, response.status)
            acknowledged_s = clocks.get_now_s()
            await fleet.wait_until(lambda: fleet.entry.evacuations.zones)
            self.assertLess(clocks.get_now_s() - acknowledged_s, 1.0)
            before = len(fleet.world.instances["a"].ran)
            outcomes = [
                (await fleet.run_texts(text))[0]
                for text in (b"WRITE x 2", b"READ x", b"WRITE x 3")
            ]
            self.assertEqual([None] * 3, [item.failure for item in outcomes])
            self.assertEqual(before, len(fleet.world.instances["a"].ran))
            self.assertEqual(
                [b"WRITE x 1", b"WRITE x 2", b"WRITE x 3"], fleet.world.log
            )
            for gauges in (fleet.entry, (await fleet.wait_for_leader()).control):
                self.assertEqual(1, gauges.get_gauges()["evacuated_zones"])
            primary, promoted = (
                fleet.get_primary(),
                len(fleet.instance_control.promoted),
            )
            self.assertNotEqual("a", primary)
            self.assertEqual(["zone-a"], await list_evacuated(fleet))
            response = await fleet.request("DELETE", f"{PATH}/zone-a")
            self.assertEqual(200, response.status)
            await fleet.wait_until(lambda: not fleet.entry.evacuations.zones)
            await trio.sleep(1.0)
            self.assertEqual(primary, fleet.get_primary())
            self.assertEqual(promoted, len(fleet.instance_control.promoted))

        builders.run_fleet(body)

    def test_idle_transaction_in_the_zone_ends_within_the_bound(self):
        async def body(fleet):
            # All instances are evacuated, so that the primary stays and the
            # transaction is not ended by a change of primary.
            session = fleet.entry.build_session("primary", relay_builders.KEY)
            await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            for zone in ("zone-b", "zone-c", "zone-a"):
                await fleet.request("POST", f"{PATH}/{zone}")
            acknowledged_s = clocks.get_now_s()
            await fleet.wait_until(lambda: len(fleet.entry.evacuations.zones) == 3)
            [refused] = await fleet.run_texts(b"WRITE x 2")
            self.assertIs(FAILURE.OVERLOADED, refused.failure)
            [outcome] = await relay_builders.run_texts(session, b"WRITE x 3")
            self.assertIsNone(outcome.failure)
            await fleet.wait_until(lambda: not session._transaction.is_bound)
            self.assertLess(clocks.get_now_s() - acknowledged_s, BOUND_S)
            [outcome] = await relay_builders.run_texts(session, b"COMMIT")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], fleet.world.log)
            self.assertEqual([], fleet.instance_control.promoted)

        builders.run_fleet(body)

    def test_request_is_repeated_after_the_loss_of_the_leader(self):
        async def body(fleet):
            first = await fleet.request("POST", f"{PATH}/zone-b")
            leader = next(
                name
                for name, process in fleet.controls.items()
                if process.control.is_leading()
            )
            await fleet.stop_control(leader)
            second = await fleet.request("POST", f"{PATH}/zone-b")
            self.assertEqual(first, second)
            self.assertEqual(["zone-b"], await list_evacuated(fleet))

        builders.run_fleet(body)

    def test_evacuation_stays_in_force_in_a_rolling_stop_of_all_hosts(self):
        async def body(fleet):
            await fleet.request("POST", f"{PATH}/zone-a")
            await fleet.wait_until(lambda: fleet.get_primary() not in (None, "a"))
            before = len(fleet.world.instances["a"].ran)
            for host_id in list(fleet.controls):
                await fleet.stop_control(host_id)
                await fleet.wait_for_leader()
                await fleet.start_control(host_id)
                [outcome] = await fleet.run_texts(b"WRITE x 1")
                self.assertIsNone(outcome.failure)
            await fleet.stop_entry()
            await fleet.start_entry()
            await fleet.wait_until(lambda: fleet.get_primary() is not None)
            self.assertEqual({"zone-a"}, fleet.entry.evacuations.zones)
            outcomes = await fleet.run_texts(b"WRITE x 2", b"READ x")
            self.assertEqual([None, None], [item.failure for item in outcomes])
            self.assertEqual(before, len(fleet.world.instances["a"].ran))

        builders.run_fleet(body)

    def test_host_that_loses_contact_sends_nothing_after_its_lease(self):
        async def body(fleet):
            await fleet.run_texts(b"READ x", database="bounded")
            reader = fleet.entry.build_session("bounded", relay_builders.KEY)
            await relay_builders.run_texts(reader, b"BEGIN READ", b"READ x")
            for host_id in list(fleet.controls):
                await fleet.stop_control(host_id)
            await trio.sleep(builders.LEASE_S + 0.2)
            ran = [len(item.ran) for item in fleet.world.instances.values()]
            for text, database in (
                (b"READ x", "bounded"),
                (b"READ x", "session"),
                (b"WRITE x 1", "primary"),
            ):
                [outcome] = await fleet.run_texts(text, database=database)
                self.assertIs(FAILURE.OVERLOADED, outcome.failure)
            [outcome] = await relay_builders.run_texts(reader, b"READ x")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual(
                ran, [len(item.ran) for item in fleet.world.instances.values()]
            )

        builders.run_fleet(body)


class OperatorEdgeTest(unittest.TestCase):
    def test_requests_are_checked_and_redirected(self):
        async def body(fleet):
            leader = await fleet.wait_for_leader()
            follower = next(
                name for name, item in fleet.controls.items() if item is not leader
            )
            for method, path in (
                ("POST", f"{PATH}/zone-b"),
                ("DELETE", f"{PATH}/zone-b"),
                ("GET", PATH),
            ):
                response = await fleet.request_once(method, path, follower)
                self.assertEqual(307, response.status)
                self.assertTrue(response.headers[0][1].endswith(path))
            for method in ("POST", "DELETE"):
                response = await fleet.request(method, f"{PATH}/nowhere")
                self.assertEqual(400, response.status)
                detail = json.loads(response.body)["detail"]
                self.assertIn("zone-a, zone-b, zone-c", detail)
                self.assertIn("'nowhere'", detail)
            for method in ("POST", "POST", "DELETE", "DELETE"):
                response = await fleet.request(
                    method, f"{PATH}/{builders.SETTINGS_ZONE}"
                )
                self.assertEqual(200, response.status)
            self.assertEqual([], await list_evacuated(fleet))

        builders.run_fleet(body)


if __name__ == "__main__":
    unittest.main()
