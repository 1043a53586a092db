"""A floor is at least the session's last acknowledged write, or unknown."""

import unittest
import unittest.mock

import trio

from sedgeswitch.sessions import batching
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import replicated_floors
from sedgeswitch.sessions import tokens
from sedgeswitch.sessions.tests import builders

SEEDS = (0, 1, 2, 3, 4, 5, 10, 11)
HOST_COUNT = 6
SCENARIO_S = 40.0
KEYS = [
    builders.build_key(session, organisation)
    for organisation in ("ward-4", "ward-5")
    for session in ("", "h1", "h2", "h3")
]


async def serve_callers(host):
    fleet = host.fleet

    async def write():
        while True:
            await fleet.write(host, fleet.rng.choice(KEYS))
            await trio.sleep(fleet.rng.uniform(0.0, 2.0))

    async def read():
        while True:
            await fleet.read(host, fleet.rng.choice(KEYS))
            await trio.sleep(fleet.rng.uniform(0.0, 0.2))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        nursery.start_soon(read)


async def disturb(fleet, nursery):
    async def cut(host_id):
        fleet.cut.add(host_id)
        await trio.sleep(fleet.rng.uniform(0.1, 6.0))
        fleet.cut.discard(host_id)

    async def restart(host_id):
        fleet.stop_host(host_id)
        await trio.sleep(fleet.rng.uniform(0.0, 5.0))
        if host_id not in fleet.hosts:
            fleet.start_host(nursery, host_id, serve_callers)

    async def fail_over(host_id):  # noqa: ARG001
        fleet.fail_over()

    while True:
        await trio.sleep(fleet.rng.uniform(0.1, 4.0))
        fault = fleet.rng.choice([cut, cut, restart, fail_over])
        nursery.start_soon(fault, f"e{fleet.rng.randrange(HOST_COUNT)}")


async def run_history(seed):
    fleet = builders.Fleet(seed, loss_share=0.02)
    with trio.move_on_after(SCENARIO_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.remove_silent)
            for place in range(HOST_COUNT):
                fleet.start_host(nursery, f"e{place}", serve_callers)
            nursery.start_soon(disturb, fleet, nursery)
    return fleet


class HistoryTest(unittest.TestCase):
    def test_floor_is_never_below_an_acknowledged_write(self):
        with unittest.mock.patch.object(floor_replica, "MAX_SESSIONS", 3):
            for seed in SEEDS:
                fleet = builders.run_virtual(run_history, seed, seed=seed)
                self.assertFalse(fleet.wrong, f"seed {seed}: {fleet.wrong[:3]}")
                self.assertGreater(fleet.known, 100, f"seed {seed}")
                self.assertGreater(len(fleet.acked), 5, f"seed {seed}")


class Quiet:
    """A fleet whose members change only when the test says so."""

    def __init__(self):
        self.fleet = builders.Fleet()
        self.fleet.cut.add("e1")
        self.home = builders.Host(self.fleet, "e1", "1")
        self.session = replicated_floors.get_session(KEYS[1])
        self.bucket = placement.get_bucket(self.session)

    def follow(self, *changes):
        placed = self.fleet.change_members(*changes)
        self.home.follow(placed, trio.current_time())

    async def ask(self, version):
        query = messages.FloorQuery(self.session, builders.GROUP, version)
        request = messages.QueryFloors([query])
        return (await self.home.floor_replica.answer_query(request)).answers[0]


class HomeTest(unittest.TestCase):
    def test_home_does_not_answer_a_host_that_follows_newer_members(self):
        async def run():
            quiet = Quiet()
            quiet.follow(quiet.home.member)
            await trio.sleep(builders.SETTLE_S)
            quiet.home.lease_until_s = trio.current_time() + 1.0
            return await quiet.ask(1), await quiet.ask(2)

        known, unknown = builders.run_virtual(run)
        self.assertTrue(known.is_known)
        self.assertFalse(unknown.is_known)

    def test_home_that_missed_versions_counts_as_new(self):
        async def run():
            quiet = Quiet()
            quiet.follow(quiet.home.member)
            await trio.sleep(builders.SETTLE_S)
            quiet.fleet.commit()
            # Removed and registered again: others were the homes in between.
            quiet.fleet.change_members("e1")
            quiet.follow(quiet.home.member)
            early = await quiet.ask(quiet.fleet.version)
            quiet.home.lease_until_s = trio.current_time() + 3.0
            await trio.sleep(builders.SETTLE_S)
            return early, await quiet.ask(quiet.fleet.version)

        early, late = builders.run_virtual(run)
        self.assertFalse(early.is_known)
        self.assertEqual(late.lsn, 8)

    def test_write_on_a_host_that_has_just_started_waits(self):
        async def run():
            fleet = builders.Fleet()
            async with trio.open_nursery() as nursery:
                for place in range(4):
                    fleet.start_host(nursery, f"e{place}")
                await trio.sleep(2 * builders.SETTLE_S)
                host = fleet.start_host(nursery, "e4")
                await trio.sleep(0.1)
                started_s = trio.current_time()
                self.assertFalse(host.floors.is_ready(started_s))
                is_soon = await host.floors.wait_ready(KEYS[1], started_s + 0.5)
                is_acked = await fleet.write(host, KEYS[1])
                waited_s = trio.current_time() - started_s
                self.assertTrue(host.floors.is_ready(trio.current_time()))
                nursery.cancel_scope.cancel()
            return is_soon, is_acked, waited_s

        is_soon, is_acked, waited_s = builders.run_virtual(run)
        self.assertFalse(is_soon)
        self.assertTrue(is_acked)
        self.assertGreater(waited_s, builders.SETTLE_S - 0.2)

    def test_record_without_a_lease_is_not_done(self):
        async def run():
            quiet = Quiet()
            async with trio.open_nursery() as nursery:
                await nursery.start(quiet.home.floors.run)
                quiet.follow(quiet.home.member)
                await trio.sleep(2 * builders.SETTLE_S)
                deadline_s = trio.current_time() + 1.0
                position = quiet.fleet.commit()
                record = quiet.home.floors.record
                lapsed = await record(KEYS[1], position, deadline_s)
                quiet.home.lease_until_s = deadline_s + 1.0
                leased = await record(KEYS[1], position, deadline_s + 1.0)
                nursery.cancel_scope.cancel()
            return lapsed, leased

        self.assertEqual(builders.run_virtual(run), (False, True))

    def test_answers_of_homes_of_before_are_not_enough(self):
        async def run(is_changed):
            quiet = Quiet()
            query = batching.LocalReplicaClient.query

            async def answer(home, queries):
                answers = await query(home, queries)
                if is_changed:
                    quiet.follow(builders.build_member("e2"))
                return answers

            with unittest.mock.patch.object(
                batching.LocalReplicaClient, "query", answer
            ):
                async with trio.open_nursery() as nursery:
                    await nursery.start(quiet.home.floors.run)
                    quiet.follow(quiet.home.member)
                    await trio.sleep(builders.SETTLE_S)
                    quiet.home.lease_until_s = deadline_s = trio.current_time() + 1.0
                    floor = await quiet.home.floors.get_floor(KEYS[1], deadline_s)
                    nursery.cancel_scope.cancel()
            return floor.is_known

        self.assertTrue(builders.run_virtual(run, False))
        self.assertFalse(builders.run_virtual(run, True))

    def test_dropped_entry_is_covered_by_its_bucket(self):
        async def run():
            quiet = Quiet()
            quiet.follow(quiet.home.member)
            await trio.sleep(builders.SETTLE_S)
            quiet.home.lease_until_s = trio.current_time() + 1.0
            sessions = range(5)
            record = messages.FloorRecord(quiet.session, builders.GROUP, 1, 80)
            others = [
                messages.FloorRecord(session, builders.GROUP, 1, 90)
                for session in sessions
            ]
            await quiet.home.floor_replica.answer_record(
                messages.RecordFloors([record, *others])
            )
            return await quiet.ask(1)

        with unittest.mock.patch.object(floor_replica, "MAX_SESSIONS", 2):
            self.assertEqual(builders.run_virtual(run).lsn, 80)


class PlacementTest(unittest.TestCase):
    def test_clear_buckets_had_the_same_homes_all_the_time(self):
        fleet = builders.Fleet(seed=3)
        for place in range(9):
            fleet.change_members(builders.build_member(f"e{place}"))
        before = fleet.change_members(builders.build_member("e9"))
        steps = ["e3", builders.build_member("e10"), "e7", builders.build_member("e11")]
        between = [fleet.change_members(step) for step in steps]
        unclear = set(placement.get_possibly_moved_buckets(before, between[-1]))
        self.assertTrue(0 < len(unclear) < placement.BUCKET_COUNT)
        for bucket in set(range(placement.BUCKET_COUNT)) - unclear:
            for placed in between:
                self.assertEqual(placed.replicas[bucket], before.replicas[bucket])

    def test_member_that_left_and_returned_makes_every_bucket_unclear(self):
        fleet = builders.Fleet()
        before = fleet.change_members(builders.build_member("e0"))
        after = fleet.change_members("e0", builders.build_member("e0"))
        unclear = placement.get_possibly_moved_buckets(before, after)
        self.assertEqual(len(unclear), placement.BUCKET_COUNT)


class Asked:
    """A home that notes who is sent records."""

    def __init__(self, host_id, asked):
        self._host_id = host_id
        self._asked = asked

    async def record(self, records):
        self._asked.add(self._host_id)
        return [True] * len(records)

    async def query(self, queries):
        return [None] * len(queries)


class EarlierHomesTest(unittest.TestCase):
    def test_write_is_recorded_at_the_homes_of_before_until_settled(self):
        async def run(waited_s):
            asked = set()
            floors = replicated_floors.ReplicatedFloors(
                lambda host_id: Asked(host_id, asked),
                lambda now_s: True,  # noqa: ARG005
                builders.SETTLE_S,
            )
            fleet = builders.Fleet()
            members = [builders.build_member(f"e{place}") for place in range(4)]
            async with trio.open_nursery() as nursery:
                await nursery.start(floors.run)
                placed = fleet.change_members(*members)
                floors.set_placement(placed, trio.current_time())
                await trio.sleep(builders.SETTLE_S)
                bucket = placement.get_bucket(replicated_floors.get_session(KEYS[0]))
                left = placed.replicas[bucket][0].host_id
                floors.set_placement(fleet.change_members(left), trio.current_time())
                await trio.sleep(waited_s)
                deadline_s = trio.current_time() + 1.0
                await floors.record(KEYS[0], fleet.commit(), deadline_s)
                nursery.cancel_scope.cancel()
            return left in asked

        self.assertTrue(builders.run_virtual(run, 0.0))
        self.assertFalse(builders.run_virtual(run, builders.SETTLE_S))


class BatcherTest(unittest.TestCase):
    def test_home_that_does_not_answer_holds_up_a_bounded_number(self):
        async def run():
            answers = []
            batcher = batching.Batcher(trio.sleep_forever)
            for place in range(batching.MAX_WAITING + 3):
                batcher.submit(place, answers.append)
            return answers

        self.assertEqual(builders.run_virtual(run), [None] * 3)


class TokensTest(unittest.TestCase):
    def test_merged_floor_is_at_least_as_high_as_both(self):
        merged = tokens.merge_floor(
            tokens.decode_token("draw:2:10").ok["draw"],
            tokens.decode_token("draw:1:ff").ok["draw"],
        )
        self.assertEqual(tokens.encode_token({"draw": merged}), "draw:2:ff")

    def test_wrong_token_is_refused(self):
        for token in ("draw", "draw:-1:0", "draw:1:g", "dr aw:1:1", "draw:1_0:1"):
            with self.subTest(token=token):
                self.assertTrue(tokens.decode_token(token).is_error())
