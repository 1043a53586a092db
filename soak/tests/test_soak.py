"""Unit tests of the fault soak, and short runs with fixed seeds."""

import contextlib
import itertools
import pathlib
import tempfile
import time
import traceback
import unittest
import unittest.mock

import cleo.testers.command_tester
import trio
import trio.testing

from soak import __main__
from soak import faults
from soak import fleet
from soak import operator
from soak import proxy
from soak import run

SEED = 1
DURATION_S = 14.0
FIRST_PORT = 23400
# Seed and duration of each run that once violated a guarantee, with the cause.
REGRESSIONS = {
    (106, 25.0): "hosts that record no commits reported that none were acknowledged,"
    " and acknowledged writes were lost",
    (108, 25.0): "requests failed on a host after a pause, because their remaining wait"
    " for a rate-limit token was negative",
}


class FakeFleet:
    names = ["c1", "e1", "i1"]
    control = ["c1"]
    instances = ["i1"]

    def __init__(self, organisations=(), version=0):
        self.document = {"organisations": dict.fromkeys(organisations, {})}
        self.version = version

    def find_leader(self):
        return "c1"

    def exchange_control(self, host_id, method, path, body=None):
        return 200, {"version": self.version, "document": self.document}


class PlanTest(unittest.TestCase):
    def test_equal_seeds_give_equal_plans(self):
        plans = [faults.plan_faults(FakeFleet(), 7, 60.0) for _ in range(2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], faults.plan_faults(FakeFleet(), 8, 60.0))

    def test_faults_overlap_and_end_before_the_run(self):
        plan = faults.plan_faults(FakeFleet(), 7, 120.0)
        ends_s = [fault.at_s + fault.duration_s for fault in plan]
        self.assertTrue(
            any(
                first.at_s + first.duration_s > second.at_s
                for first, second in itertools.pairwise(plan)
            )
        )
        self.assertLess(max(ends_s), 120.0)
        self.assertEqual(set(faults.list_kinds()), {fault.kind for fault in plan})


class OperatorTest(unittest.TestCase):
    def check(self, fleet):
        operators = operator.Operators(fleet)
        operators.acknowledged = [operator.Acknowledged(3, "added-1")]
        operators.check()
        return operators.violations

    def test_missing_acknowledged_change_is_a_violation(self):
        self.assertEqual([], self.check(FakeFleet(["added-1"], 3)))
        self.assertEqual(1, len(self.check(FakeFleet([], 3))))

    def test_version_below_acknowledged_one_is_a_violation(self):
        self.assertEqual(1, len(self.check(FakeFleet(["added-1"], 2))))


class LostAnswerFleet(FakeFleet):
    """Applies the first change but loses its answer; rejects changed repetitions."""

    def __init__(self):
        super().__init__()
        self.bodies = {}

    def exchange_control(self, host_id, method, path, body=None):
        if method == "GET":
            return super().exchange_control(host_id, method, path)
        known = self.bodies.get(body["request_id"])
        if known is not None:
            return (200, {"version": 1}) if known == body else (422, {})
        self.bodies[body["request_id"]] = body
        self.version = 1
        raise ConnectionResetError


class RepeatedChangeTest(unittest.TestCase):
    def test_change_whose_answer_was_lost_is_repeated_unchanged(self):
        # Guards against a set-up that is never acknowledged.
        operators = operator.Operators(LostAnswerFleet())
        self.assertIsNone(operators.send([], "setup"))
        self.assertEqual(1, operators.send([], "setup"))


class LinkTest(unittest.TestCase):
    """Tests faults on connections through a link to an echo server."""

    def run_with_link(self, body):
        streams = []

        async def main():
            async with trio.open_nursery() as nursery:
                echo = await nursery.start(trio.serve_tcp, self.echo, 0)
                target_port = echo[0].socket.getsockname()[1]
                link = proxy.Link(0, target_port)
                listeners = await nursery.start(link.serve)
                port = listeners[0].socket.getsockname()[1]

                async def connect():
                    streams.append(await trio.open_tcp_stream(proxy.HOST, port))
                    return streams[-1]

                await body(link, connect)
                for stream in streams:
                    await trio.aclose_forcefully(stream)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def echo(self, stream):
        # Resetting a link also resets its connections to the target.
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                await stream.send_all(data)

    async def exchange_byte(self, stream, timeout_s=0.3):
        with trio.move_on_after(timeout_s):
            await stream.send_all(b"x")
            return await stream.receive_some(1)
        return None

    def test_cut_holds_back_bytes_until_it_ends(self):
        async def body(link, connect):
            stream = await connect()
            self.assertEqual(b"x", await self.exchange_byte(stream, 5.0))
            for direction in proxy.Direction:
                link.cut_directions = {direction}
                self.assertIsNone(await self.exchange_byte(stream))
                link.cut_directions = set()
                with trio.fail_after(5.0):
                    self.assertEqual(b"x", await stream.receive_some(1))

        self.run_with_link(body)

    def test_silence_affects_open_connections_only(self):
        async def body(link, connect):
            stream = await connect()
            self.assertEqual(b"x", await self.exchange_byte(stream, 5.0))
            link.silence()
            self.assertIsNone(await self.exchange_byte(stream))
            self.assertEqual(b"x", await self.exchange_byte(await connect(), 5.0))

        self.run_with_link(body)

    def test_reset_breaks_open_connections(self):
        async def body(link, connect):
            stream = await connect()
            self.assertEqual(b"x", await self.exchange_byte(stream, 5.0))
            link.reset()
            with self.assertRaises(trio.BrokenResourceError), trio.fail_after(5.0):
                while await stream.receive_some(1):
                    pass
                raise trio.BrokenResourceError

        self.run_with_link(body)

    def test_reset_accepts_connections_that_one_side_has_closed(self):
        # Guards against the end of the proxy, after which a run cannot go on.
        async def body(link, connect):
            await self.exchange_byte(await connect(), 5.0)
            (connection,) = link._connections
            connection.client.socket.close()
            link.reset()
            self.assertEqual(-1, connection.target.socket.fileno())

        self.run_with_link(body)


class ProxyTest(unittest.TestCase):
    def test_proxy_without_links_runs_until_it_is_stopped(self):
        # Guards against a proxy whose end depends on the time of the first change.
        links = proxy.Proxy({})
        links.start()
        links._thread.join(0.2)
        self.assertTrue(links._thread.is_alive())
        links.stop()
        self.assertFalse(links._thread.is_alive())

    def test_change_after_an_error_in_the_proxy_names_the_error(self):
        def fail(link):
            raise ValueError("not a link")

        links = proxy.Proxy({})
        links.start()
        links.links = {"c1": None}
        with self.assertRaises(OSError) as caught:
            for _ in range(100):
                links.change("c1", fail)
                time.sleep(0.01)
        trace = "".join(traceback.format_exception(caught.exception))
        self.assertIn("not a link", trace)


class FleetTest(unittest.TestCase):
    def test_tools_end_with_the_fleet(self):
        # Guards against load that goes on after a run was ended by a signal.
        with tempfile.TemporaryDirectory() as folder:
            soaked = fleet.Fleet(pathlib.Path(folder), FIRST_PORT)
            options = ["--bind", proxy.HOST, "0"]
            tool = soaked.start_tool("tool", "http.server", options)
            self.addCleanup(tool.stop)
            soaked.stop()
            self.assertFalse(tool.is_running)


class RunCommandTest(unittest.TestCase):
    def test_seed_that_is_not_completed_fails_and_the_next_ones_run(self):
        results = [OSError("no report"), run.Result(2, 0, 0, 1.0, [])]
        tester = cleo.testers.command_tester.CommandTester(__main__.RunCommand())
        with unittest.mock.patch.object(run, "run", side_effect=results) as run_seed:
            self.assertEqual(1, tester.execute("--seeds 1-2"))
        self.assertEqual(2, run_seed.call_count)


class ShortRunTest(unittest.TestCase):
    def check_run(self, seed, duration_s):
        with tempfile.TemporaryDirectory() as folder:
            options = run.Options(
                seed, duration_s, FIRST_PORT, pathlib.Path(folder) / "seed"
            )
            result = run.run(options)
        self.assertEqual([], result.violations)
        self.assertGreater(result.faults, 0)
        self.assertGreater(result.changes, 0)
        self.assertGreater(result.success_share, 0.0)

    def test_short_run_has_no_violations(self):
        self.check_run(SEED, DURATION_S)

    def test_seeds_that_once_failed_have_no_violations(self):
        for (seed, duration_s), cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                self.check_run(seed, duration_s)


if __name__ == "__main__":
    unittest.main()
