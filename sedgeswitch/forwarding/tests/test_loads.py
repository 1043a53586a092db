"""Tests of the load that holders measure, report and bound, and that hosts keep."""

import inspect
import random
import tempfile
import unittest

import trio

from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.daemon import relay_control
from sedgeswitch.daemon import relay_entry
from sedgeswitch.daemon import relay_groups
from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import loads
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding.tests import builders
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.observability import exposition
from sedgeswitch.observability import metrics
from sedgeswitch.pools import pool
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.routing import candidates
from sedgeswitch.routing import eligibility
from sedgeswitch.routing import meters
from sedgeswitch.routing import policies
from sedgeswitch.routing.tests import builders as routing_builders
from sedgeswitch.transport import catalog
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils.tests import virtual_time


def run_in_fleet(body, policy=policies.LOCAL_FIRST, **options):
    async def main():
        fleet = builders.Fleet(policy=policy, **options)
        fleet.world.replicate()
        await fleet.run(body)

    virtual_time.run(main)


async def run_texts(host, *texts, database="primary"):
    return await relay_builders.run_texts(host.build_session(database), *texts)


def decode_answers(fleet):
    return [
        catalog.decode_struct(messages.ForwardAnswer, body)
        for body in fleet.encoded_answers
    ]


class ReportTest(unittest.TestCase):
    def test_answer_carries_load_that_callers_host_keeps(self):
        async def body(fleet):
            host = fleet.get_other()
            await run_texts(host, *[b"WRITE x 1"] * 20)
            load = decode_answers(fleet)[-1].load
            self.assertEqual((3, 2), (load.slots, load.holders))
            self.assertAlmostEqual(10, load.service_ms, delta=2)
            self.assertGreater(load.demand_percent, 0)
            view = host.router.reports.get_view("a", 3, 0.02, clocks.get_now_s())
            self.assertLess(view.age_s, 0.1)
            self.assertAlmostEqual(load.demand_percent / 100, view.utilisation, 1)

        run_in_fleet(body)

    def test_load_costs_few_bytes(self):
        """Bytes between regions are expensive."""
        load = messages.InstanceLoad(5, 3, 40, 4, 33, 3, None, True, 140)
        answer = messages.ForwardAnswer(messages.Outcome.ANSWERED)
        without = len(catalog.encode_struct(answer))
        answer.load = load
        self.assertLessEqual(len(catalog.encode_struct(answer)) - without, 22)

    def test_failures_of_an_instance_are_reported(self):
        async def body(fleet):
            fleet.world.instances["a"].failures += [sessions.Failure.FAILED] * 12
            host = fleet.get_other()
            for _ in range(12):
                await run_texts(host, b"WRITE x 1")
            load = decode_answers(fleet)[-1].load
            self.assertTrue(load.is_unhealthy)
            self.assertEqual(100, load.failed_percent)
            holder = fleet.hosts[fleet.get_home()]
            self.assertEqual(["a"], holder.loads.list_unhealthy(clocks.get_now_s()))

        run_in_fleet(body)

    def test_failures_of_own_callers_statements_are_reported(self):
        async def body(fleet):
            fleet.world.instances["a"].failures += [sessions.Failure.FAILED] * 12
            holder = fleet.hosts[fleet.get_home()]
            for _ in range(12):
                await run_texts(holder, b"WRITE x 1")
            self.assertEqual([], fleet.calls)
            self.assertEqual(["a"], holder.loads.list_unhealthy(clocks.get_now_s()))
            await run_texts(holder, b"BEGIN", b"WRITE x 1", b"COMMIT")
            self.assertEqual([b"WRITE x 1"], fleet.world.log)

        run_in_fleet(body)

    def test_refusals_of_a_busy_instance_are_no_failures(self):
        async def body(fleet):
            fleet.world.instances["a"].failures += [sessions.Failure.OVERLOADED] * 12
            for _ in range(6):
                await run_texts(fleet.get_other(), b"READ x")
            self.assertIsNone(decode_answers(fleet)[-1].load.failed_percent)

        run_in_fleet(body)

    def test_hanging_instance_is_noticed_while_statements_hang(self):
        async def body(fleet):
            await run_texts(fleet.get_other(), b"WRITE x 1")
            fleet.world.instances["a"].is_frozen = True
            holder = fleet.hosts[fleet.get_home()]
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(run_texts, fleet.get_other(), b"WRITE x 1")
                await trio.sleep(0.7)
                unhealthy = holder.loads.list_unhealthy(clocks.get_now_s())
                fleet.world.instances["a"].is_frozen = False
            self.assertEqual(["a"], unhealthy)

        run_in_fleet(body)

    def test_meter_counts_nothing_after_statements_transactions_and_refusals(self):
        """Guards against a load that grows with each failure and never falls."""

        async def body(fleet):
            host = fleet.get_other()
            await run_texts(host, b"BEGIN", b"WRITE x 1", b"READ x", b"COMMIT")
            await run_texts(host, b"BEGIN", b"WRITE x 1", b"ROLLBACK")
            home = fleet.hosts[fleet.get_home()]
            await run_texts(home, b"BEGIN", b"WRITE x 1", b"COMMIT", b"READ x")
            fleet.world.instances["a"].failures.append(sessions.Failure.FAILED)
            await run_texts(host, b"WRITE x 2")
            fleet.world.instances["a"].loses_answers = True
            await run_texts(host, b"WRITE x 3")
            fleet.world.instances["a"].is_refusing = True
            await run_texts(host, b"WRITE x 4")
            for other in fleet.hosts.values():
                meter = other.loads.get_meter("a")
                self.assertEqual((0, 0), (meter.running, meter.waiting))

        run_in_fleet(body)

    def test_incomplete_load_of_another_release_is_no_report(self):
        self.assertIsNone(loads.decode_load(messages.InstanceLoad(slots=3)))
        self.assertIsNotNone(loads.decode_load(messages.InstanceLoad(3, 1, 0, 2, 20)))


class ChoiceTest(unittest.TestCase):
    """Instance a is the primary; b is reported idle and c is reported full."""

    def record_reports(self, host, **demands):
        for instance, demand in demands.items():
            for holder in ("h-1", "h-2"):
                report = routing_builders.build_report(demand)
                now_s = clocks.get_now_s()
                host.router.reports.record(instance, holder, report, now_s)

    async def read(self, fleet, host, count=40):
        session = host.build_session("bounded")
        await relay_builders.run_texts(session, b"READ x")
        for name in "abc":
            fleet.world.instances[name].ran.clear()
        for _ in range(count):
            await relay_builders.run_texts(session, b"READ x")
        return [len(fleet.world.instances[name].ran) for name in "abc"]

    def test_unhealthy_replica_gets_only_probes(self):
        async def body(fleet):
            host = fleet.get_other()
            self.record_reports(host, b=0.1, c=0.1)
            host.router.set_holders_unhealthy({"c": 2})
            await run_texts(host, b"WRITE x 1")
            fleet.world.replicate()
            primary, usable, ejected = await self.read(fleet, host)
            self.assertEqual(0, primary)
            self.assertLess(ejected, 5)
            self.assertGreater(usable, 30)

        run_in_fleet(body)

    def test_restrictions_bind_before_the_policy(self):
        """An evacuated replica gets nothing, also if all others are unhealthy."""

        async def body(fleet):
            host = fleet.get_other()
            evacuated = fleet.world.servers.servers["c"]._replace(
                availability_zone="koshi"
            )
            fleet.world.servers.servers["c"] = evacuated
            fleet.world.servers._by_group = {}
            host.components = host.components._replace(
                get_restrictions=lambda: eligibility.Restrictions(frozenset(["koshi"]))
            )
            self.record_reports(host, b=4.0, c=0.1)
            host.router.set_holders_unhealthy({"b": 2})
            await run_texts(host, b"WRITE x 1")
            fleet.world.replicate()
            counts = await self.read(fleet, host)
            self.assertEqual(0, counts[2])
            self.assertEqual(40, sum(counts))

        run_in_fleet(body)

    def test_reads_that_left_are_counted_with_the_time_gained(self):
        async def body(fleet):
            host = fleet.get_other()
            far = fleet.world.servers.servers["c"]._replace(availability_zone="koshi")
            fleet.world.servers.servers["c"] = far
            fleet.world.servers._by_group = {}
            self.record_reports(host, b=4.0, c=0.1)
            replicas = [fleet.world.servers.servers[name] for name in "bc"]
            load = pool.PoolLoad(9, 0, 0, 1, 0.02, 0.0)
            host.backends.order_replicas(replicas, "a", lambda item: load)

            def get_value(name):
                labels = {"place": "other_region", "outcome": "gained"}
                return exposition.REGISTRY.get_sample_value(name, labels) or 0.0

            names = (
                "sedgeswitch_reads_left_total",
                "sedgeswitch_reads_left_seconds_total",
            )
            before = [get_value(name) for name in names]
            host.backends.record_read(far, 0.05)
            gained = [get_value(names[n]) - before[n] for n in range(2)]
            self.assertEqual(1, gained[0])
            self.assertGreater(gained[1], 0.05)

        run_in_fleet(body)


class BoundTest(unittest.TestCase):
    def test_next_holder_takes_some_of_a_flood_of_one_organisation(self):
        """The pattern: one organisation at many times its usual load."""

        async def body(fleet):
            callers = [
                host for name, host in fleet.hosts.items() if name != fleet.get_home()
            ]

            async def call(host):
                for _ in range(60):
                    await run_texts(host, b"WRITE x 1")

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(call, callers[number % len(callers)])
            takers = {callee for _, callee, _ in fleet.calls}
            self.assertGreater(len(takers), 1)

        run_in_fleet(body, max_connections=40)


class MeterTest(unittest.TestCase):
    def run_queue(self, rate_per_s, service_s=0.03, seconds=20.0):
        """Return a meter after arrivals at a holder with one slot."""
        rng, meter = random.Random(1), meters.LoadMeter()
        meter.set_part(2, 2)
        now_s = free_s = 0.0
        ends = []
        while now_s < seconds:
            now_s += rng.expovariate(rate_per_s)
            while ends and ends[0] <= now_s:
                meter.end(ends.pop(0))
            meter.arrive(now_s)
            meter.send(now_s)
            free_s = max(free_s, now_s) + service_s
            ends.append(free_s)
        return meter, now_s

    def test_demand_is_what_arrives(self):
        meter, now_s = self.run_queue(16.0)
        self.assertAlmostEqual(0.48, meter.get_demand(now_s), delta=0.2)
        self.assertAlmostEqual(0.03, meter.get_service_s(now_s), delta=0.004)

    def test_queue_inside_the_instance_does_not_count_as_service_time(self):
        """Guards against a busy instance that is taken for a slow one."""
        meter, now_s = self.run_queue(50.0)
        self.assertAlmostEqual(0.03, meter.get_service_s(now_s), delta=0.004)
        self.assertGreater(meter.get_demand(now_s), 1.2)

    def test_clock_step_back_does_not_raise(self):
        meter, now_s = self.run_queue(16.0)
        meter.arrive(now_s - 100.0)
        self.assertGreaterEqual(meter.get_demand(now_s - 100.0), 0.0)


class SettingTest(unittest.TestCase):
    """Without the setting, every decision and every byte is as before."""

    def inspect_entry(self, **changes):
        """Return the names of the sections and the gauges of an entry host."""
        options = relay_entry.EntryOptions(
            "host-1", "bagmati-a", peer.Address("127.0.0.1", 1), {}, 0.5,
            groups_settings.GroupSettings(), relay_groups.Tolerance(), {}, **changes,
        )  # fmt: skip

        async def build():
            entry = relay_entry.RelayEntry(
                options, lambda text: None, None, server.Server(), random.Random(1)
            )
            return set(entry.heartbeat_client._sections), entry.get_gauges()

        return virtual_time.run(build)

    def test_setting_is_off_by_default(self):
        parameters = inspect.signature(relay_entry.EntryOptions).parameters
        default = parameters["routing_policy"].default
        self.assertEqual("least_expected_delay", default)

    def test_entry_host_measures_nothing_without_the_setting(self):
        sections, gauges = self.inspect_entry()
        self.assertNotIn("health", sections)
        self.assertNotIn("instances_ejected", gauges)

    def test_setting_registers_the_section_and_the_gauges(self):
        sections, gauges = self.inspect_entry(routing_policy=policies.LOCAL_FIRST)
        self.assertIn("health", sections)
        self.assertEqual(0, gauges["instances_ejected"])

    def test_control_host_answers_the_section(self):
        async def build(folder):
            control = relay_control.RelayControl(
                relay_control.ControlOptions(
                    agreement_settings.NodeSettings("control-1", ()), folder, 4.0,
                    groups_settings.GroupSettings(), relay_groups.Tolerance(),
                    peer.Address("127.0.0.1", 1), {}, 1, 1.0,
                ),
                lambda text: None, None, server.Server(), None, metrics.Metrics(),
                random.Random(1),
            )  # fmt: skip
            return set(control.heartbeat_server._sections)

        with tempfile.TemporaryDirectory() as folder:
            self.assertIn("health", virtual_time.run(build, folder))

    def test_answers_and_choices_are_as_before_without_the_setting(self):
        async def body(fleet):
            for host in fleet.hosts.values():
                await run_texts(host, b"WRITE x 1", b"READ x", b"BEGIN", b"COMMIT")
            self.assertTrue(fleet.encoded_answers)
            self.assertEqual({None}, {x.load for x in decode_answers(fleet)})
            callees = {callee for _, callee, _ in fleet.calls}
            self.assertEqual({fleet.get_home()}, callees)
            for host in fleet.hosts.values():
                self.assertEqual({}, host.backends._choices)

        run_in_fleet(body, policies.DEFAULT_POLICY)

    def test_without_reports_choice_is_that_of_the_default_policy(self):
        servers = relay_builders.World().servers.servers.values()
        eligible = [
            candidates.Candidate(
                item, False, pool.PoolLoad(9, number, 0, 1, 0.02, 0.0), 0.001
            )
            for number, item in enumerate(servers)
        ]
        expected, found = (
            [
                policies.get_policy(policy)(eligible, random.Random(seed))
                for seed in range(20)
            ]
            for policy in (policies.DEFAULT_POLICY, policies.LOCAL_FIRST)
        )
        self.assertEqual(expected, found)


if __name__ == "__main__":
    unittest.main()
