"""Tests of scheduling between a caller's host and the holders of an instance."""

import unittest

import trio
import trio.testing

from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import encoding
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding.tests import builders
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.scheduling import backlogs
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils.tests import virtual_time

# Fields of messages that only scheduling sets.
WORK_FIELDS = ("priority", "organisation_priority", "target_ms", "is_write")


def run_in_fleet(body, is_scheduling=True, **options):
    async def main():
        await builders.Fleet(is_scheduling=is_scheduling, **options).run(body)

    virtual_time.run(main)


def get_scheduler(fleet, instance="a"):
    home = fleet.hosts[fleet.get_home(instance)]
    server = fleet.world.servers.servers[instance]
    return home.backends.get_pool(server, server.group).scheduler


def set_priorities(fleet, **changes):
    document = relay_builders.build_document(2)
    organisation = document.organisations[relay_builders.ORGANISATION]
    databases = {
        name: item._replace(**changes) for name, item in document.databases.items()
    }
    fleet.world.put_in_force(
        document._replace(
            databases=databases,
            organisations={organisation.name: organisation._replace(priority=1)},
        )
    )


async def run_texts(session, *texts):
    return await relay_builders.run_texts(session, *texts)


def list_failures(outcomes):
    return [outcome.failure for outcome in outcomes]


class WithoutSettingTest(unittest.TestCase):
    """Without the setting, messages, queues and connections must be as before."""

    def test_messages_and_queue_are_as_before(self):
        async def body(fleet):
            session = fleet.get_other().build_session()
            outcomes = await run_texts(
                session, b"READ x", b"WRITE x 1", b"BEGIN", b"READ x", b"COMMIT"
            )
            self.assertEqual([None] * 5, list_failures(outcomes))
            self.assertTrue(fleet.requests)
            for request in fleet.requests:
                values = [getattr(request, name) for name in WORK_FIELDS]
                self.assertEqual([None] * len(WORK_FIELDS), values)
            self.assertEqual({None}, {answer.load for answer in fleet.answers})
            home = fleet.hosts[fleet.get_home()]
            server = fleet.world.servers.servers["a"]
            instance_pool = home.backends.get_pool(server, server.group)
            self.assertIsNone(instance_pool.scheduler)
            self.assertIs(fair_queue.FairQueue, type(instance_pool._slots))
            acquired = await home.components.connector.acquire(
                server, "ward-4", trio.current_time() + 1
            )
            self.assertIs(relay_builders.FakeConnection, type(acquired.connection))
            await acquired.release()

        run_in_fleet(body, is_scheduling=False)

    def test_decisions_are_the_same_for_the_same_statements(self):
        """Both kinds of fleet serve an uncontended load alike."""

        def record(is_scheduling):
            recorded = []

            async def body(fleet):
                for host in fleet.hosts.values():
                    for database in ("primary", "bounded", "session"):
                        outcomes = await run_texts(
                            host.build_session(database), b"WRITE x 1", b"READ x"
                        )
                        recorded.extend(
                            (outcome.failure, outcome.signature) for outcome in outcomes
                        )
                recorded.append(list(fleet.calls))

            run_in_fleet(body, is_scheduling)
            return recorded

        self.assertEqual(record(False), record(True))


class ForwardedWorkTest(unittest.TestCase):
    def test_description_of_work_travels_with_the_statement(self):
        async def body(fleet):
            set_priorities(fleet, priority=2, target_latency_s=0.6)
            await run_texts(fleet.get_other().build_session(), b"WRITE x 1", b"READ x")
            write, read = fleet.requests[-2:]
            self.assertEqual((2, 1), (write.priority, write.organisation_priority))
            self.assertTrue(write.is_write)
            self.assertIsNone(read.is_write)
            self.assertAlmostEqual(600, read.target_ms, delta=5)

        run_in_fleet(body)

    def test_statement_of_earlier_release_is_served(self):
        """During an upgrade, requests without the fields come from old hosts."""

        async def body(fleet):
            request = messages.ForwardRequest(
                "a",
                "ward-4",
                messages.Operation.RUN,
                500,
                statement=_build_statement(),
            )
            holder = fleet.hosts[fleet.get_home()].holder
            answer = await holder.answer(request)
            self.assertEqual(messages.Outcome.ANSWERED, answer.outcome)

        run_in_fleet(body)

    def test_absurd_fields_are_limited(self):
        async def body(fleet):
            holder = fleet.hosts[fleet.get_home()].holder
            for priority, target_ms in ((-5, -(2**31)), (2**31 - 1, 2**31 - 1)):
                request = messages.ForwardRequest(
                    "a",
                    "ward-4",
                    messages.Operation.RUN,
                    500,
                    statement=_build_statement(),
                    priority=priority,
                    organisation_priority=priority,
                    target_ms=target_ms,
                )
                answer = await holder.answer(request)
                self.assertEqual(messages.Outcome.ANSWERED, answer.outcome)
            classes = get_scheduler(fleet).get_class_loads(trio.current_time())
            self.assertEqual({0, works.LOWEST_PRIORITY}, set(classes))

        run_in_fleet(body)

    def test_answers_carry_load_of_instance_and_backlog_by_class(self):
        async def body(fleet):
            set_priorities(fleet, priority=1)
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    session = fleet.get_other().build_session()
                    nursery.start_soon(run_texts, session, b"READ x")
            loads = [answer.load for answer in fleet.answers]
            self.assertEqual({(3, 2)}, {(load.slots, load.holders) for load in loads})
            self.assertTrue(all(load.service_ms >= 1 for load in loads))
            waiting = [(load.waiting_by_priority or {}).get(1, 0) for load in loads]
            self.assertEqual([load.waiting for load in loads], waiting)
            self.assertGreater(max(waiting), 0)

        run_in_fleet(body)


class MixedFleetTest(unittest.TestCase):
    """During an upgrade some hosts schedule and others do not."""

    def test_all_hosts_serve_statements_and_transactions_of_all_others(self):
        async def body(fleet):
            for host in fleet.hosts.values():
                for database in ("primary", "bounded"):
                    session = host.build_session(database)
                    outcomes = await run_texts(
                        session,
                        b"READ x",
                        b"WRITE x 1",
                        b"BEGIN",
                        b"WRITE x 2",
                        b"READ x",
                        b"COMMIT",
                        b"BEGIN READ",
                        b"READ x",
                        b"ROLLBACK",
                    )
                    self.assertEqual([None] * 9, list_failures(outcomes))

        for scheduling in (("host-0", "host-1"), ("host-2", "host-3"), ("host-1",)):
            with self.subTest(scheduling):
                run_in_fleet(body, is_scheduling=scheduling)


class BacklogTest(unittest.TestCase):
    def build_load(self, **changes):
        values = {
            "slots": 4,
            "running": 2,
            "waiting": 100,
            "holders": 2,
            "service_ms": 50,
            "waiting_by_priority": {1: 100},
        }
        return messages.InstanceLoad(**(values | changes))

    def find(self, load, priority=1, left_s=0.5, age_s=0.0):
        known = backlogs.Backlogs()
        known.record("a", "host-1", load, 10.0)
        work = works.build_work(works.Kind.READ, priority, 0, 11.0)
        now_s = 10.0 + age_s
        return known.find_retry_after_ms("a", "host-1", work, now_s + left_s, now_s)

    def test_statement_behind_long_backlog_is_refused_with_its_wait(self):
        # 100 statements of 50 ms on 2 slots.
        self.assertAlmostEqual(2500, self.find(self.build_load()), delta=50)

    def test_higher_class_and_patient_work_are_forwarded(self):
        self.assertIsNone(self.find(self.build_load(), priority=0))
        self.assertIsNone(self.find(self.build_load(), left_s=3.0))

    def test_old_and_malformed_reports_refuse_nothing(self):
        self.assertIsNone(self.find(self.build_load(), age_s=1.1))
        self.assertIsNone(self.find(self.build_load(), age_s=-5.0))
        for changes in (
            {"slots": 0},
            {"slots": None},
            {"service_ms": None},
            {"service_ms": -5},
            {"waiting_by_priority": None},
            {"waiting_by_priority": {1: -100}},
        ):
            with self.subTest(changes):
                self.assertIsNone(self.find(self.build_load(**changes)))

    def test_read_runs_on_other_replica_without_hop_to_the_busy_one(self):
        async def body(fleet):
            fleet.world.replicate()
            await run_texts(fleet.get_other().build_session("bounded"), b"READ x")
            caller = fleet.get_other()
            load = self.build_load(waiting_by_priority={0: 1000})
            caller.forwarder._backlogs.record(
                "b", fleet.get_home("b"), load, trio.current_time()
            )
            fleet.requests.clear()
            for _ in range(5):
                outcomes = await run_texts(caller.build_session("bounded"), b"READ x")
                self.assertEqual([None], list_failures(outcomes))
            self.assertNotIn("b", [request.instance for request in fleet.requests])

        run_in_fleet(body)

    def test_write_is_refused_without_hop_while_the_backlog_lasts(self):
        async def body(fleet):
            caller = fleet.get_other()
            load = self.build_load(waiting_by_priority={0: 1000})
            caller.forwarder._backlogs.record(
                "a", fleet.get_home(), load, trio.current_time()
            )
            [outcome] = await run_texts(caller.build_session(), b"WRITE x 1")
            self.assertEqual(sessions.Failure.OVERLOADED, outcome.failure)
            self.assertIn("retry after", outcome.detail)
            self.assertEqual([], fleet.requests)
            await trio.sleep(backlogs.MAX_AGE_S + 0.1)
            [outcome] = await run_texts(caller.build_session(), b"WRITE x 1")
            self.assertIsNone(outcome.failure)

        run_in_fleet(body)


class BurstTest(unittest.TestCase):
    """A burst from all hosts that is far beyond the slots."""

    def test_each_statement_is_served_or_refused_with_spread_retry_times(self):
        async def body(fleet):
            outcomes = []

            async def call(host):
                outcomes.extend(await run_texts(host.build_session(), b"WRITE x 1"))

            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    for host in fleet.hosts.values():
                        nursery.start_soon(call, host)
            refused = [item for item in outcomes if item.failure is not None]
            served = len(outcomes) - len(refused)
            self.assertEqual(served, len(fleet.world.log))
            self.assertGreater(served, 50)
            self.assertGreater(len(refused), 50)
            for outcome in refused:
                self.assertEqual(sessions.Failure.OVERLOADED, outcome.failure)
                self.assertIn("retry after", outcome.detail)
            times = {item.detail.rpartition("retry after ")[2] for item in refused}
            self.assertGreater(len(times), len(refused) / 2)

        run_in_fleet(body)


class TransactionTest(unittest.TestCase):
    def test_idle_transactions_take_no_slot(self):
        """Load pattern: idle transactions hold connections, here all from far."""

        async def body(fleet):
            host = fleet.get_other()
            open_sessions = [host.build_session() for _ in range(3)]
            for session in open_sessions:
                outcomes = await run_texts(session, b"BEGIN", b"WRITE x 1")
                self.assertEqual([None, None], list_failures(outcomes))
            self.assertEqual(0, get_scheduler(fleet).running_statements)
            outcomes = await run_texts(host.build_session(), b"WRITE y 1")
            self.assertEqual([None], list_failures(outcomes))
            for session in open_sessions:
                outcomes = await run_texts(session, b"COMMIT")
                self.assertEqual([None], list_failures(outcomes))
            self.assertEqual(0, get_scheduler(fleet).running)

        run_in_fleet(body)

    def test_commit_without_slot_in_time_is_aborted_not_in_doubt(self):
        """It was never sent, so that the caller must be told that it has no effect."""

        async def check(fleet, host):
            session = host.build_session()
            outcomes = await run_texts(session, b"BEGIN", b"WRITE x 1")
            self.assertEqual([None, None], list_failures(outcomes))
            for other in fleet.hosts.values():
                server = fleet.world.servers.servers["a"]
                queue = other.backends.get_pool(server, server.group).scheduler
                queue.set_instance_slots(0, 2, trio.current_time())
            [outcome] = await run_texts(session, b"COMMIT")
            self.assertEqual(sessions.Failure.ABORTED, outcome.failure)
            self.assertEqual([], fleet.world.log)
            await trio.sleep(0.1)
            self.assertEqual(0, get_scheduler(fleet).running)

        async def body_remote(fleet):
            await check(fleet, fleet.get_other())

        async def body_local(fleet):
            await check(fleet, fleet.hosts[fleet.get_home()])

        run_in_fleet(body_remote)
        run_in_fleet(body_local)


class LeavingHolderTest(unittest.TestCase):
    """A holder leaves with a full queue."""

    def test_everything_accepted_is_answered(self):
        async def body(fleet):
            outcomes = []
            holder = fleet.hosts[fleet.get_home()].holder

            async def call():
                [outcome] = await run_texts(
                    fleet.get_other().build_session(), b"WRITE x 1"
                )
                outcomes.append(outcome)

            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(call)
                await trio.sleep(0.03)
                self.assertGreater(get_scheduler(fleet).waiting, 10)
                holder.leave()
                with trio.fail_after(2.0):
                    await holder.wait_idle()
            self.assertEqual([None] * 30, list_failures(outcomes))
            self.assertEqual(30, len(fleet.world.log))

        run_in_fleet(body)


class ChangedConfigurationTest(unittest.TestCase):
    """The configuration changes priority and target while work waits."""

    def test_waiting_statements_are_answered_and_new_ones_have_the_new_class(self):
        async def body(fleet):
            outcomes = []

            async def call():
                outcomes.extend(
                    await run_texts(fleet.get_other().build_session(), b"READ x")
                )

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(call)
                await trio.sleep(0.015)
                waiting = get_scheduler(fleet).get_waiting_by_priority()
                self.assertEqual([0], list(waiting))
                set_priorities(fleet, priority=2, target_latency_s=0.05)
                for _ in range(20):
                    nursery.start_soon(call)
                await trio.sleep(0.005)
                waiting = get_scheduler(fleet).get_waiting_by_priority()
                self.assertEqual({0, 2}, set(waiting))
            self.assertEqual([None] * 40, list_failures(outcomes))

        run_in_fleet(body)


class AnnouncementTest(unittest.TestCase):
    def test_slots_follow_announcements(self):
        async def body(fleet):
            await run_texts(fleet.get_other().build_session(), b"READ x")
            queue = get_scheduler(fleet)
            server = fleet.world.servers.servers["a"]
            home = fleet.hosts[fleet.get_home()]
            for slots, part in ((9, 5), (1, 1), (0, 0), (-4, 0), (10**9, 5 * 10**8)):
                fleet.world.servers.servers["a"] = server._replace(slots=slots)
                home.backends.update_capacities()
                self.assertEqual(part, queue.limit.fair)
            fleet.world.servers.servers["a"] = server
            home.backends.update_capacities()
            outcomes = await run_texts(fleet.get_other().build_session(), b"READ x")
            self.assertEqual([None], list_failures(outcomes))

        run_in_fleet(body)


class GaugeTest(unittest.TestCase):
    def test_gauges_name_each_class(self):
        async def body(fleet):
            await run_texts(fleet.get_other().build_session(), b"READ x", b"WRITE x 1")
            home = fleet.hosts[fleet.get_home()]
            gauges = home.scheduling.get_gauges(trio.current_time())
            self.assertEqual(2, gauges["scheduling_on_time_0"])
            for name in ("waiting", "running", "deferred", "refused", "late"):
                self.assertEqual(0, gauges[f"scheduling_{name}_0"])
            self.assertEqual(0.0, gauges["scheduling_oldest_s_0"])

        run_in_fleet(body)


def _build_statement():
    return encoding.encode_statement(sessions.Statement(b"id", b"READ x"), None)


if __name__ == "__main__":
    unittest.main()
