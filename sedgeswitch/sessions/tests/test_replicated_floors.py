"""Tests that a known floor is at least the session's last acknowledged write."""

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


async def cause_faults(fleet, nursery):
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
            nursery.start_soon(fleet.remove_expired_members)
            for number in range(HOST_COUNT):
                fleet.start_host(nursery, f"e{number}", serve_callers)
            nursery.start_soon(cause_faults, fleet, nursery)
    return fleet


class HistoryTest(unittest.TestCase):
    def test_known_floor_is_never_below_acknowledged_write(self):
        with unittest.mock.patch.object(floor_replica, "MAX_SESSIONS", 3):
            for seed in SEEDS:
                fleet = builders.run_virtual(run_history, seed, seed=seed)
                self.assertFalse(
                    fleet.wrong_floors, f"seed {seed}: {fleet.wrong_floors[:3]}"
                )
                self.assertGreater(fleet.known_count, 100, f"seed {seed}")
                self.assertGreater(len(fleet.acked), 5, f"seed {seed}")


class ManualFleet:
    """A fleet whose members change only by calls of the test."""

    def __init__(self):
        self.fleet = builders.Fleet()
        self.fleet.cut.add("e1")
        self.host = builders.Host(self.fleet, "e1", "1")
        self.session = replicated_floors.get_session(KEYS[1])
        self.bucket = placement.get_bucket(self.session)

    def apply_placement(self, *changes):
        """Change the members, and apply the new placement on the host."""
        current_placement = self.fleet.change_members(*changes)
        self.host.apply_placement(current_placement, trio.current_time())

    async def query_floor(self, version):
        query = messages.FloorQuery(self.session, builders.GROUP, version)
        request = messages.QueryFloors([query])
        return (await self.host.floor_replica.answer_query(request)).answers[0]


class ReplicaTest(unittest.TestCase):
    def test_replica_with_older_members_than_sender_answers_unknown(self):
        async def run():
            manual = ManualFleet()
            manual.apply_placement(manual.host.member)
            await trio.sleep(builders.PLACEMENT_OVERLAP_S)
            manual.host.lease_until_s = trio.current_time() + 1.0
            return await manual.query_floor(1), await manual.query_floor(2)

        known, unknown = builders.run_virtual(run)
        self.assertTrue(known.is_known)
        self.assertFalse(unknown.is_known)

    def test_replica_that_missed_versions_counts_as_newly_assigned(self):
        async def run():
            manual = ManualFleet()
            manual.apply_placement(manual.host.member)
            await trio.sleep(builders.PLACEMENT_OVERLAP_S)
            manual.fleet.commit()
            # Removed and registered again: other hosts held the replicas meanwhile.
            manual.fleet.change_members("e1")
            manual.apply_placement(manual.host.member)
            early = await manual.query_floor(manual.fleet.version)
            manual.host.lease_until_s = trio.current_time() + 3.0
            await trio.sleep(builders.PLACEMENT_OVERLAP_S)
            return early, await manual.query_floor(manual.fleet.version)

        early, late = builders.run_virtual(run)
        self.assertFalse(early.is_known)
        self.assertEqual(late.lsn, 8)

    def test_write_on_host_that_has_just_started_waits(self):
        async def run():
            fleet = builders.Fleet()
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    fleet.start_host(nursery, f"e{number}")
                await trio.sleep(2 * builders.PLACEMENT_OVERLAP_S)
                host = fleet.start_host(nursery, "e4")
                await trio.sleep(0.1)
                started_s = trio.current_time()
                self.assertFalse(host.floors.is_ready(started_s))
                is_ready_early = await host.floors.wait_ready(KEYS[1], started_s + 0.5)
                is_acked = await fleet.write(host, KEYS[1])
                waited_s = trio.current_time() - started_s
                self.assertTrue(host.floors.is_ready(trio.current_time()))
                nursery.cancel_scope.cancel()
            return is_ready_early, is_acked, waited_s

        is_ready_early, is_acked, waited_s = builders.run_virtual(run)
        self.assertFalse(is_ready_early)
        self.assertTrue(is_acked)
        self.assertGreater(waited_s, builders.PLACEMENT_OVERLAP_S - 0.2)

    def test_record_without_lease_fails(self):
        async def run():
            manual = ManualFleet()
            async with trio.open_nursery() as nursery:
                await nursery.start(manual.host.floors.run)
                manual.apply_placement(manual.host.member)
                await trio.sleep(2 * builders.PLACEMENT_OVERLAP_S)
                deadline_s = trio.current_time() + 1.0
                position = manual.fleet.commit()
                record = manual.host.floors.record
                lapsed = await record(KEYS[1], position, deadline_s)
                manual.host.lease_until_s = deadline_s + 1.0
                leased = await record(KEYS[1], position, deadline_s + 1.0)
                nursery.cancel_scope.cancel()
            return lapsed, leased

        self.assertEqual(builders.run_virtual(run), (False, True))

    def test_answers_of_earlier_replicas_are_not_sufficient(self):
        async def run(is_changed):
            manual = ManualFleet()
            query = batching.LocalReplicaClient.query

            async def answer(client, queries):
                answers = await query(client, queries)
                if is_changed:
                    manual.apply_placement(builders.build_member("e2"))
                return answers

            with unittest.mock.patch.object(
                batching.LocalReplicaClient, "query", answer
            ):
                async with trio.open_nursery() as nursery:
                    await nursery.start(manual.host.floors.run)
                    manual.apply_placement(manual.host.member)
                    await trio.sleep(builders.PLACEMENT_OVERLAP_S)
                    manual.host.lease_until_s = deadline_s = trio.current_time() + 1.0
                    floor = await manual.host.floors.get_floor(KEYS[1], deadline_s)
                    nursery.cancel_scope.cancel()
            return floor.is_known

        self.assertTrue(builders.run_virtual(run, False))
        self.assertFalse(builders.run_virtual(run, True))

    def test_evicted_floor_raises_base_floor_of_its_bucket(self):
        async def run():
            manual = ManualFleet()
            manual.apply_placement(manual.host.member)
            await trio.sleep(builders.PLACEMENT_OVERLAP_S)
            manual.host.lease_until_s = trio.current_time() + 1.0
            sessions = range(5)
            record = messages.FloorRecord(manual.session, builders.GROUP, 1, 80)
            others = [
                messages.FloorRecord(session, builders.GROUP, 1, 90)
                for session in sessions
            ]
            await manual.host.floor_replica.answer_record(
                messages.RecordFloors([record, *others])
            )
            return await manual.query_floor(1)

        with unittest.mock.patch.object(floor_replica, "MAX_SESSIONS", 2):
            self.assertEqual(builders.run_virtual(run).lsn, 80)


class PlacementTest(unittest.TestCase):
    def test_buckets_not_moved_had_same_replicas_in_all_versions(self):
        fleet = builders.Fleet(seed=3)
        for number in range(9):
            fleet.change_members(builders.build_member(f"e{number}"))
        before = fleet.change_members(builders.build_member("e9"))
        steps = ["e3", builders.build_member("e10"), "e7", builders.build_member("e11")]
        between = [fleet.change_members(step) for step in steps]
        possibly_moved = set(placement.get_possibly_moved_buckets(before, between[-1]))
        self.assertTrue(0 < len(possibly_moved) < placement.BUCKET_COUNT)
        for bucket in set(range(placement.BUCKET_COUNT)) - possibly_moved:
            for current_placement in between:
                self.assertEqual(
                    current_placement.replicas[bucket], before.replicas[bucket]
                )

    def test_member_removed_and_registered_again_makes_every_bucket_possibly_moved(
        self,
    ):
        fleet = builders.Fleet()
        before = fleet.change_members(builders.build_member("e0"))
        after = fleet.change_members("e0", builders.build_member("e0"))
        possibly_moved = placement.get_possibly_moved_buckets(before, after)
        self.assertEqual(len(possibly_moved), placement.BUCKET_COUNT)


class RecordingClient:
    """A replica client that stores the ids of the hosts that get records."""

    def __init__(self, host_id, recorded_ids):
        self._host_id = host_id
        self._recorded_ids = recorded_ids

    async def record(self, records):
        self._recorded_ids.add(self._host_id)
        return [True] * len(records)

    async def query(self, queries):
        return [None] * len(queries)


class EarlierReplicasTest(unittest.TestCase):
    def test_write_is_recorded_at_earlier_replicas_during_overlap(self):
        async def run(waited_s):
            recorded_ids = set()
            floors = replicated_floors.ReplicatedFloors(
                lambda host_id: RecordingClient(host_id, recorded_ids),
                lambda now_s: True,  # noqa: ARG005
                builders.PLACEMENT_OVERLAP_S,
            )
            fleet = builders.Fleet()
            members = [builders.build_member(f"e{number}") for number in range(4)]
            async with trio.open_nursery() as nursery:
                await nursery.start(floors.run)
                current_placement = fleet.change_members(*members)
                floors.set_placement(current_placement, trio.current_time())
                await trio.sleep(builders.PLACEMENT_OVERLAP_S)
                bucket = placement.get_bucket(replicated_floors.get_session(KEYS[0]))
                removed_id = current_placement.replicas[bucket][0].host_id
                floors.set_placement(
                    fleet.change_members(removed_id), trio.current_time()
                )
                await trio.sleep(waited_s)
                deadline_s = trio.current_time() + 1.0
                await floors.record(KEYS[0], fleet.commit(), deadline_s)
                nursery.cancel_scope.cancel()
            return removed_id in recorded_ids

        self.assertTrue(builders.run_virtual(run, 0.0))
        self.assertFalse(builders.run_virtual(run, builders.PLACEMENT_OVERLAP_S))


class BatcherTest(unittest.TestCase):
    def test_replica_that_does_not_answer_delays_bounded_number_of_requests(self):
        async def run():
            answers = []
            batcher = batching.Batcher(trio.sleep_forever)
            for number in range(batching.MAX_PENDING + 3):
                batcher.submit(number, answers.append)
            return answers

        self.assertEqual(builders.run_virtual(run), [None] * 3)


class TokensTest(unittest.TestCase):
    def test_merged_floor_is_at_least_as_high_as_both(self):
        merged = tokens.merge_floor(
            tokens.decode_token("draw:2:10").ok["draw"],
            tokens.decode_token("draw:1:ff").ok["draw"],
        )
        self.assertEqual(tokens.encode_token({"draw": merged}), "draw:2:ff")

    def test_malformed_token_is_rejected(self):
        for token in ("draw", "draw:-1:0", "draw:1:g", "dr aw:1:1", "draw:1_0:1"):
            with self.subTest(token=token):
                self.assertTrue(tokens.decode_token(token).is_error())
