"""Tests of rate limits, leader changes and lost answers under load, without a network.

Time is virtual. Each test guards a service objective during one kind of outage.
"""

import random
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import drawing
from sedgeswitch.admission import fleet
from sedgeswitch.admission import grantor
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.daemon import relay_groups
from sedgeswitch.databases import documents
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import messages
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

HOSTS = [f"entry-{number}" for number in range(6)]
ORGANISATION = "ward-4"
# Usual request rate of an organisation, as a fraction of its limit.
USUAL_LOAD = 1 / 1.6
TOLERANCE = relay_groups.Tolerance(5.0, 0.1, 20.0)


def build_organisation(rate_per_s):
    return documents.Organisation(ORGANISATION, (), rate_per_s, rate_per_s)


class SimulatedFleet:
    """Entry hosts with a steady load from one organisation, and their leader."""

    def __init__(self, rate_per_s, options, tolerance=TOLERANCE, seed=1, hosts=HOSTS):
        self.rng = random.Random(seed)
        organisation = build_organisation(rate_per_s)
        document = documents.Document(1, {}, {}, {ORGANISATION: organisation})
        self.limits = relay_groups.build_limits(document, tolerance)
        self.options = options
        self.hosts = hosts
        self.replace_leader(0.0, 1)
        self.host_limiters = [
            host_limiter.HostLimiter(name, "run-1", 0.0, options) for name in hosts
        ]
        for item in self.host_limiters:
            item.set_limits(self.limits)
        self.is_leader_unreachable = False
        self.disconnected_hosts = set()
        self.admitted_s = []
        self.refused_s = []
        # Time that each refused request had waited, in the order of `refused_s`.
        self.waits_s = []

    def replace_leader(self, now_s, term):
        self.leader = grantor.Grantor(lambda: self.hosts, self.options)
        self.leader.set_limits(self.limits, now_s)
        self.leader.start_leadership(now_s, term)

    def notify_hosts_of_leader(self):
        """Notify the hosts of another leader, as their heartbeats would."""
        for item in self.host_limiters:
            item.request_report()

    async def call(self, request):
        await trio.sleep(0.012)
        while self.is_leader_unreachable or request.host_id in self.disconnected_hosts:
            await trio.sleep(0.05)
        reply = self.leader.draw(request, trio.current_time())
        await trio.sleep(0.012)
        return reply

    async def send(self, item, rate_per_s):
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(rate_per_s))
                nursery.start_soon(self.request, fleet.FleetAdmission(item))

    async def request(self, admission):
        started_s = trio.current_time()
        try:
            await admission.admit(ORGANISATION, trio.current_time() + 1.0)
            self.admitted_s.append(trio.current_time())
        except verdicts.RefusedError:
            self.refused_s.append(trio.current_time())
            self.waits_s.append(trio.current_time() - started_s)

    async def run(self, rate_per_s, duration_s, scenario):
        async with trio.open_nursery() as nursery:
            for item in self.host_limiters:
                nursery.start_soon(drawing.run, item, self.call, self.options)
                nursery.start_soon(
                    self.send, item, rate_per_s / len(self.host_limiters)
                )
            with trio.move_on_after(duration_s):
                await scenario(self)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()

    def get_max_admitted(self, window_s):
        """Return the largest number of requests admitted in any window."""
        times = sorted(self.admitted_s)
        return max(
            sum(start <= time <= start + window_s for time in times) for start in times
        )


async def run_undisturbed(simulation):
    await trio.sleep(0)


async def freeze_leader(simulation):
    await trio.sleep(4)
    simulation.is_leader_unreachable = True
    await trio.sleep(1.5)
    simulation.is_leader_unreachable = False


async def lose_leader(simulation):
    await trio.sleep(4)
    simulation.is_leader_unreachable = True
    await trio.sleep(2)
    simulation.replace_leader(trio.current_time(), 2)
    simulation.is_leader_unreachable = False
    simulation.notify_hosts_of_leader()


async def disconnect_all_hosts(simulation):
    await trio.sleep(4)
    simulation.is_leader_unreachable = True
    await trio.sleep(3.8)
    simulation.is_leader_unreachable = False


async def disconnect_some_hosts(simulation):
    await trio.sleep(4)
    simulation.disconnected_hosts = set(simulation.hosts[:2])
    await trio.sleep(3)
    simulation.disconnected_hosts = set()


class LimitTest(unittest.TestCase):
    def simulate(
        self,
        load,
        scenario,
        options=relay_groups.ADMISSION,
        rate_per_s=40.0,
        hosts=HOSTS,
    ):
        simulation = SimulatedFleet(rate_per_s, options, hosts=hosts)
        virtual_time.run(simulation.run, rate_per_s * load, 9.0, scenario)
        return simulation

    def test_usual_load_is_admitted(self):
        simulation = self.simulate(USUAL_LOAD, run_undisturbed)
        self.assertLess(len(simulation.refused_s), 0.01 * len(simulation.admitted_s))

    def test_usual_load_is_admitted_while_the_leader_is_frozen(self):
        simulation = self.simulate(USUAL_LOAD, freeze_leader)
        refused_in_outage = [time for time in simulation.refused_s if 4 <= time <= 6.5]
        # A tenth of the requests that arrive while no leader answers and just after.
        self.assertLess(len(refused_in_outage), 0.1 * 40 * USUAL_LOAD * 2.5)

    def test_usual_load_is_admitted_while_a_leader_is_replaced(self):
        for rate_per_s in (14.0, 60.0):
            with self.subTest(rate_per_s=rate_per_s):
                simulation = self.simulate(
                    USUAL_LOAD, lose_leader, rate_per_s=rate_per_s
                )
                refused_in_outage = [
                    time for time in simulation.refused_s if 4 <= time <= 8
                ]
                # A hundredth of the requests that arrive during the outage and until
                # all hosts have reported, but at least one request.
                max_refused = max(1, 0.01 * rate_per_s * USUAL_LOAD * 4)
                self.assertLessEqual(len(refused_in_outage), max_refused)

    def test_usual_load_is_admitted_until_the_lease_of_disconnected_hosts_ends(self):
        simulation = self.simulate(USUAL_LOAD, disconnect_all_hosts, rate_per_s=60.0)
        refused_in_outage = [time for time in simulation.refused_s if 4 <= time <= 7.8]
        self.assertLessEqual(len(refused_in_outage), 0.01 * 60 * USUAL_LOAD * 3.8)

    def test_overload_of_long_disconnected_hosts_is_refused_immediately(self):
        simulation = self.simulate(5.0, disconnect_all_hosts, rate_per_s=60.0)
        late = [
            waited_s
            for time, waited_s in zip(
                simulation.refused_s, simulation.waits_s, strict=True
            )
            if 7.0 <= time <= 7.8
        ]
        self.assertTrue(late)
        self.assertLess(max(late), 0.01)

    def test_hosts_without_traffic_do_not_reserve_tokens(self):
        # About ten hosts for each request per second of the organisation.
        hosts = [f"entry-{number}" for number in range(80)]
        simulation = self.simulate(
            USUAL_LOAD, lose_leader, rate_per_s=12.0, hosts=hosts
        )
        after = [time for time in simulation.refused_s if time >= 6.5]
        self.assertEqual([], after)

    def test_overload_is_admitted_up_to_the_limit_and_tolerance_only(self):
        for scenario in (
            run_undisturbed,
            freeze_leader,
            lose_leader,
            disconnect_all_hosts,
            disconnect_some_hosts,
        ):
            with self.subTest(scenario.__name__):
                simulation = self.simulate(5.0, scenario)
                max_admitted = (40.0 * 5 + 40.0) * 1.1 + 20
                self.assertLessEqual(simulation.get_max_admitted(5.0), max_admitted)

    def test_bucket_size_includes_a_share_of_the_tolerance(self):
        size = relay_groups.build_limits(
            documents.Document(1, {}, {}, {ORGANISATION: build_organisation(40.0)}),
            TOLERANCE,
        )[ORGANISATION]
        self.assertEqual(admission_settings.Limit(40.0, 40 + int(0.7 * 44)), size)


class FakePeer:
    is_connected = True

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    async def call(self, message, timeout_s, expects_prompt_reply=True):
        self.calls += 1
        with trio.move_on_after(timeout_s):
            if self.answer is None:
                await trio.sleep_forever()
            return self.answer
        raise failures.CallError("timeout", "", verdicts.Verdict.MAY_HAVE_RUN)

    async def run(self):
        await trio.sleep_forever()

    async def wait_connected(self):
        pass


class UnresponsiveLeaderTest(unittest.TestCase):
    def test_frozen_leader_is_skipped_before_its_calls_time_out(self):
        async def body():
            address = peer.Address("10.0.0.1", 1)
            control = heartbeat_client.ControlPeers({"c1": address, "c2": address})
            control._peers = {"c1": FakePeer(None), "c2": FakePeer("answer")}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.run)

                async def call_frozen_leader():
                    with self.assertRaises(failures.CallError):
                        await control.call(messages.Heartbeat(), 1.0)

                nursery.start_soon(call_frozen_leader)
                await trio.sleep(heartbeat_client.ANSWER_TIMEOUT_S * 1.5)
                self.assertEqual("answer", await control.call("message", 1.0))
                self.assertLess(trio.current_time(), 1.0)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        virtual_time.run(body)

    def test_listeners_are_notified_once_of_another_leader(self):
        async def body():
            address = peer.Address("10.0.0.1", 1)
            control = heartbeat_client.ControlPeers({"c1": address, "c2": address})
            control._peers = {"c1": FakePeer("answer"), "c2": FakePeer("answer")}
            leaders = []
            control.register_leader_listener(lambda: leaders.append(control._order[0]))
            for _ in range(2):
                await control.call("message", 1.0)
            control._order.reverse()
            await control.call("message", 1.0)
            self.assertEqual(["c1", "c2"], leaders)

        virtual_time.run(body)

    def test_waiting_watch_does_not_count_as_unresponsive(self):
        async def body():
            address = peer.Address("10.0.0.1", 1)
            control = heartbeat_client.ControlPeers({"c1": address, "c2": address})
            control._peers = {"c1": FakePeer(None), "c2": FakePeer("answer")}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.run)
                with trio.move_on_after(3 * heartbeat_client.ANSWER_TIMEOUT_S):
                    await control.call(messages.Watch({}, 5000), 5.0)
                self.assertEqual(0, control._peers["c2"].calls)
                self.assertEqual("c1", control._order[0])
                nursery.cancel_scope.cancel()

        virtual_time.run(body)


class LostAnswerTest(unittest.TestCase):
    def test_read_with_a_lost_answer_is_retried_within_its_timeout(self):
        async def body():
            world = relay_builders.World()
            session = world.build_session()
            await session.run(relay_builders.build_step(b"READ x"))
            primary = world.instances["a"]
            primary.is_frozen = True

            async def recover():
                await trio.sleep(0.3)
                primary.is_frozen = False
                for connection in primary.connections:
                    connection.is_open = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(recover)
                outcome = await session.run(relay_builders.build_step(b"READ y"))
            self.assertIsNone(outcome.failure)
            self.assertLess(trio.current_time(), relay_builders.TIMEOUT_S)

        virtual_time.run(body)
