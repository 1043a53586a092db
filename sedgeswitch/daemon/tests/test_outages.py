"""Loads of the heaviest days, each test named after its pattern; no network."""

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
# Of the limit, as organisations usually send.
DEMAND_SHARE = 1 / 1.6
TOLERANCE = relay_groups.Tolerance(5.0, 0.1, 20.0)


def build_organisation(rate_per_s):
    return documents.Organisation(ORGANISATION, (), rate_per_s, rate_per_s)


class Fleet:
    """Entry hosts under a steady load of one organisation, and their leader."""

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
        self.is_silent = False
        self.cut_hosts = set()
        self.admitted_s = []
        self.refused_s = []
        # How long each refused request had waited.
        self.waits_s = []

    def replace_leader(self, now_s, term):
        self.leader = grantor.Grantor(lambda: self.hosts, self.options)
        self.leader.set_limits(self.limits, now_s)
        self.leader.start_leadership(now_s, term)

    def note_leader(self):
        """Tell the hosts, as their heartbeats do, that another leader answers."""
        for item in self.host_limiters:
            item.request_report()

    async def call(self, request):
        await trio.sleep(0.012)
        while self.is_silent or request.host_id in self.cut_hosts:
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
        asked_s = trio.current_time()
        try:
            await admission.admit(ORGANISATION, trio.current_time() + 1.0)
            self.admitted_s.append(trio.current_time())
        except verdicts.RefusedError:
            self.refused_s.append(trio.current_time())
            self.waits_s.append(trio.current_time() - asked_s)

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

    def get_most(self, window_s):
        """Return the most requests that were admitted in any window."""
        times = sorted(self.admitted_s)
        return max(
            sum(start <= time <= start + window_s for time in times) for start in times
        )


async def stay_calm(world):
    await trio.sleep(0)


async def freeze_leader(world):
    await trio.sleep(4)
    world.is_silent = True
    await trio.sleep(1.5)
    world.is_silent = False


async def lose_leader(world):
    await trio.sleep(4)
    world.is_silent = True
    await trio.sleep(2)
    world.replace_leader(trio.current_time(), 2)
    world.is_silent = False
    world.note_leader()


async def cut_all_hosts(world):
    await trio.sleep(4)
    world.is_silent = True
    await trio.sleep(3.8)
    world.is_silent = False


async def cut_some_hosts(world):
    await trio.sleep(4)
    world.cut_hosts = set(world.hosts[:2])
    await trio.sleep(3)
    world.cut_hosts = set()


class LimitTest(unittest.TestCase):
    def play(
        self,
        load,
        scenario,
        options=relay_groups.ADMISSION,
        rate_per_s=40.0,
        hosts=HOSTS,
    ):
        world = Fleet(rate_per_s, options, hosts=hosts)
        virtual_time.run(world.run, rate_per_s * load, 9.0, scenario)
        return world

    def test_usual_load_is_admitted(self):
        world = self.play(DEMAND_SHARE, stay_calm)
        self.assertLess(len(world.refused_s), 0.01 * len(world.admitted_s))

    def test_usual_load_is_admitted_while_the_leader_is_frozen(self):
        world = self.play(DEMAND_SHARE, freeze_leader)
        silent = [time for time in world.refused_s if 4 <= time <= 6.5]
        # A tenth of what comes while no leader answers and just after.
        self.assertLess(len(silent), 0.1 * 40 * DEMAND_SHARE * 2.5)

    def test_usual_load_is_admitted_while_a_leader_is_replaced(self):
        for rate_per_s in (14.0, 60.0):
            with self.subTest(rate_per_s=rate_per_s):
                world = self.play(DEMAND_SHARE, lose_leader, rate_per_s=rate_per_s)
                silent = [time for time in world.refused_s if 4 <= time <= 8]
                # A hundredth of what comes in the outage and until all hosts
                # have reported, or one request.
                most = max(1, 0.01 * rate_per_s * DEMAND_SHARE * 4)
                self.assertLessEqual(len(silent), most)

    def test_usual_load_is_admitted_until_the_lease_of_hosts_behind_a_cut_ends(self):
        world = self.play(DEMAND_SHARE, cut_all_hosts, rate_per_s=60.0)
        silent = [time for time in world.refused_s if 4 <= time <= 7.8]
        self.assertLessEqual(len(silent), 0.01 * 60 * DEMAND_SHARE * 3.8)

    def test_flood_at_hosts_behind_a_long_cut_is_refused_at_once(self):
        world = self.play(5.0, cut_all_hosts, rate_per_s=60.0)
        late = [
            waited_s
            for time, waited_s in zip(world.refused_s, world.waits_s, strict=True)
            if 7.0 <= time <= 7.8
        ]
        self.assertTrue(late)
        self.assertLess(max(late), 0.01)

    def test_hosts_without_traffic_do_not_hold_tokens_back(self):
        # Ten times as many hosts as the organisation has requests per second.
        hosts = [f"entry-{number}" for number in range(80)]
        world = self.play(DEMAND_SHARE, lose_leader, rate_per_s=12.0, hosts=hosts)
        after = [time for time in world.refused_s if time >= 6.5]
        self.assertEqual([], after)

    def test_flood_passes_no_more_than_the_tolerated_limit(self):
        for scenario in (
            stay_calm,
            freeze_leader,
            lose_leader,
            cut_all_hosts,
            cut_some_hosts,
        ):
            with self.subTest(scenario.__name__):
                world = self.play(5.0, scenario)
                allowed = (40.0 * 5 + 40.0) * 1.1 + 20
                self.assertLessEqual(world.get_most(5.0), allowed)

    def test_bucket_holds_a_share_of_the_tolerance(self):
        size = relay_groups.build_limits(
            documents.Document(1, {}, {}, {ORGANISATION: build_organisation(40.0)}),
            TOLERANCE,
        )[ORGANISATION]
        self.assertEqual(admission_settings.Limit(40.0, 40 + int(0.7 * 44)), size)


class FakePeer:
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


class SilentLeaderTest(unittest.TestCase):
    def test_frozen_leader_is_passed_over_before_its_calls_time_out(self):
        async def body():
            address = peer.Address("10.0.0.1", 1)
            control = heartbeat_client.ControlPeers({"c1": address, "c2": address})
            control._peers = {"c1": FakePeer(None), "c2": FakePeer("answer")}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.run)

                async def call_the_frozen_one():
                    with self.assertRaises(failures.CallError):
                        await control.call(messages.Heartbeat(), 1.0)

                nursery.start_soon(call_the_frozen_one)
                await trio.sleep(heartbeat_client.ANSWER_TIMEOUT_S * 1.5)
                self.assertEqual("answer", await control.call("message", 1.0))
                self.assertLess(trio.current_time(), 1.0)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        virtual_time.run(body)

    def test_another_leader_is_told_to_listeners_once(self):
        async def body():
            address = peer.Address("10.0.0.1", 1)
            control = heartbeat_client.ControlPeers({"c1": address, "c2": address})
            control._peers = {"c1": FakePeer("answer"), "c2": FakePeer("answer")}
            told = []
            control.register_leader_listener(lambda: told.append(control._order[0]))
            for _ in range(2):
                await control.call("message", 1.0)
            control._order.reverse()
            await control.call("message", 1.0)
            self.assertEqual(["c1", "c2"], told)

        virtual_time.run(body)

    def test_watch_that_waits_is_no_silence(self):
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
    def test_read_whose_answer_is_lost_runs_again_within_its_time(self):
        async def body():
            world = relay_builders.World()
            session = world.build_session()
            await session.run(relay_builders.build_step(b"READ x"))
            primary = world.instances["a"]
            primary.is_silent = True

            async def answer_again():
                await trio.sleep(0.3)
                primary.is_silent = False
                for connection in primary.connections:
                    connection.is_open = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer_again)
                outcome = await session.run(relay_builders.build_step(b"READ y"))
            self.assertIsNone(outcome.failure)
            self.assertLess(trio.current_time(), relay_builders.TIMEOUT_S)

        virtual_time.run(body)
