import contextlib
import functools
import unittest

import msgspec
import psycopg
import psycopg.errors
import trio

from standin import addresses
from standin import http1
from standin.instance.tests import builders

CREATE = "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)"
IDS = "SELECT id FROM t ORDER BY id"


def trio_test(test):
    """Run an asynchronous test method with trio."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self)

    return run


class StatementsTest(unittest.TestCase):
    @trio_test
    async def test_select_returns_its_parameters_as_text(self):
        async with builders.open_group() as (_, (primary,)):
            rows = await primary.fetch("SELECT %s AS a, %s AS b, %s", "x", 7, None)
            self.assertEqual([("x", "7", None)], rows)

    @trio_test
    async def test_rolled_back_transaction_leaves_nothing(self):
        def work(connection):
            connection.execute(CREATE)
            with contextlib.suppress(ZeroDivisionError), connection.transaction():
                connection.execute("INSERT INTO t VALUES (1, 'a')")
                raise ZeroDivisionError
            with connection.transaction():
                connection.execute("INSERT INTO t VALUES (2, 'b')")
            return connection.execute(IDS).fetchall()

        async with builders.open_group() as (_, (primary,)):
            self.assertEqual([("2",)], await primary.in_client(work))

    @trio_test
    async def test_failed_transaction_refuses_until_its_end(self):
        def work(connection):
            connection.execute(CREATE)
            connection.execute("BEGIN")
            connection.execute("INSERT INTO t VALUES (1, 'a')")
            with self.assertRaises(psycopg.errors.UniqueViolation):
                connection.execute("INSERT INTO t VALUES (1, 'a')")
            with self.assertRaises(psycopg.errors.InFailedSqlTransaction):
                connection.execute("SELECT 1")
            status = connection.execute("COMMIT").statusmessage
            return status, connection.execute(IDS).fetchall()

        async with builders.open_group() as (_, (primary,)):
            self.assertEqual(("ROLLBACK", []), await primary.in_client(work))

    @trio_test
    async def test_pipeline_with_an_error_undoes_its_writes(self):
        def work(connection):
            connection.execute(CREATE)
            with (
                contextlib.suppress(psycopg.errors.UndefinedTable),
                connection.pipeline(),
            ):
                connection.execute("INSERT INTO t VALUES (1, 'a')")
                connection.execute("SELECT * FROM nowhere")
            return connection.execute(IDS).fetchall()

        async with builders.open_group() as (_, (primary,)):
            self.assertEqual([], await primary.in_client(work))

    @trio_test
    async def test_read_only_option_refuses_writes(self):
        options = {"options": "-c default_transaction_read_only=on"}
        async with builders.open_group() as (_, (primary,)):
            with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
                await primary.in_client(
                    lambda connection: connection.execute(CREATE), **options
                )

    @trio_test
    async def test_lock_wait_ends_at_its_timeout(self):
        def work(connection):
            with self.assertRaises(psycopg.errors.LockNotAvailable):
                connection.execute("INSERT INTO t VALUES (2, 'b')")

        async with builders.open_group(lock_timeout_ms=20) as (_, (primary,)):
            await primary.fetch(CREATE)
            holder = await trio.to_thread.run_sync(primary.connect)
            await trio.to_thread.run_sync(holder.execute, "BEGIN")
            insert = "INSERT INTO t VALUES (1, 'a')"
            await trio.to_thread.run_sync(holder.execute, insert)
            await primary.in_client(work)
            await trio.to_thread.run_sync(holder.close)

    @trio_test
    async def test_cancel_request_ends_the_statement(self):
        async with builders.open_group(statement_ms=60_000) as (nursery, (primary,)):
            connection = await trio.to_thread.run_sync(primary.connect)
            nursery.start_soon(self._cancel_running, primary, connection)
            with self.assertRaises(psycopg.errors.QueryCanceled):
                await trio.to_thread.run_sync(connection.execute, "SELECT 1")
            await trio.to_thread.run_sync(connection.close)

    async def _cancel_running(self, primary, connection):
        while not (await primary.control("GET", "/stats"))["in_use"]:
            await trio.sleep(builders.POLL_S)
        await trio.to_thread.run_sync(connection.cancel_safe)

    @trio_test
    async def test_statements_beyond_the_slots_wait(self):
        async with builders.open_group(slots=2, statement_ms=5) as (_, (primary,)):
            async with trio.open_nursery() as clients:
                for _ in range(6):
                    clients.start_soon(primary.fetch, "SELECT 1")
            stats = await primary.control("GET", "/stats")
            self.assertEqual(2, stats["highest_running_statements"])
            self.assertEqual(0, stats["in_use"])

    @trio_test
    async def test_lost_connection_rolls_back_and_frees_the_lock(self):
        async with builders.open_group() as (_, (primary,)):
            await primary.fetch(CREATE)
            holder = await trio.to_thread.run_sync(primary.connect)
            await trio.to_thread.run_sync(holder.execute, "BEGIN")
            insert = "INSERT INTO t VALUES (1, 'a')"
            await trio.to_thread.run_sync(holder.execute, insert)
            await trio.to_thread.run_sync(holder.close)
            await primary.fetch("INSERT INTO t VALUES (2, 'b')")
            self.assertEqual([("2",)], await primary.fetch(IDS))

    @trio_test
    async def test_connections_beyond_the_limit_are_refused(self):
        async with builders.open_group(max_connections=1) as (_, (primary,)):
            connection = await trio.to_thread.run_sync(primary.connect)
            with self.assertRaisesRegex(psycopg.OperationalError, "too many clients"):
                await trio.to_thread.run_sync(primary.connect)
            stats = await primary.control("GET", "/stats")
            await trio.to_thread.run_sync(connection.close)
            self.assertEqual(1, stats["refused_connections"])
            self.assertEqual(1, stats["highest_connections"])


class ReplicationTest(unittest.TestCase):
    @trio_test
    async def test_replica_answers_as_one_in_recovery(self):
        state = (
            "SELECT pg_is_in_recovery(), pg_last_wal_replay_lsn(), timeline_id "
            "FROM pg_control_checkpoint()"
        )
        async with builders.open_group(2) as (_, (primary, replica)):
            await primary.fetch(CREATE)
            lsn = (await primary.fetch("SELECT pg_current_wal_lsn()"))[0][0]
            await replica.wait_for(state, [("t", lsn, "1")])
            self.assertEqual([("f", None, "1")], await primary.fetch(state))
            with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
                await replica.fetch("INSERT INTO t VALUES (1, 'a')")
            with self.assertRaises(psycopg.errors.ObjectNotInPrerequisiteState):
                await replica.fetch("SELECT pg_current_wal_lsn()")

    @trio_test
    async def test_lag_holds_back_entries_until_it_is_lowered(self):
        async with builders.open_group(2) as (_, (primary, replica)):
            await primary.fetch(CREATE)
            await replica.wait_for(IDS, [])
            await replica.set_faults(replication_lag_ms=600_000)
            await primary.fetch("INSERT INTO t VALUES (%s, 'a')", "1")
            await trio.sleep(0.1)
            self.assertEqual([], await replica.fetch(IDS))
            await replica.set_faults(replication_lag_ms=0)
            await replica.wait_for(IDS, [("1",)])

    @trio_test
    async def test_replaced_primary_drops_what_its_successor_never_had(self):
        async with builders.open_group(3) as (_, (old, new, third)):
            await old.fetch(CREATE)
            await old.fetch("INSERT INTO t VALUES (1, 'a')")
            for replica in (new, third):
                await replica.wait_for(IDS, [("1",)])
            await old.set_faults(cut_peers=True)
            await old.fetch("INSERT INTO t VALUES (2, 'lost')")
            self.assertEqual([("t",)], await new.fetch("SELECT pg_promote()"))
            await new.fetch("INSERT INTO t VALUES (3, 'c')")
            await third.wait_for(IDS, [("1",), ("3",)])
            self.assertEqual([("1",), ("2",)], await old.fetch(IDS))
            await old.set_faults(cut_peers=False)
            await old.wait_for(IDS, [("1",), ("3",)])
            stats = await old.control("GET", "/stats")
            self.assertEqual((False, 2), (stats["is_primary"], stats["timeline"]))

    @trio_test
    async def test_promotion_applies_what_was_received(self):
        async with builders.open_group(2) as (_, (primary, replica)):
            await primary.fetch(CREATE)
            await replica.wait_for(IDS, [])
            await replica.set_faults(replication_lag_ms=600_000)
            await primary.fetch("INSERT INTO t VALUES (1, 'a')")
            await trio.sleep(0.2)
            await replica.fetch("SELECT pg_promote()")
            self.assertEqual([("1",)], await replica.fetch(IDS))

    @trio_test
    async def test_restart_keeps_the_data_as_a_replica(self):
        async with builders.open_group() as (nursery, (primary,)):
            await primary.fetch(CREATE)
            await primary.fetch("/* id=w1 */ INSERT INTO t VALUES (1, 'a')")
            primary.scope.cancel()
            again = await builders.start(
                nursery, primary.settings._replace(peer_port=0)
            )
            self.assertEqual([("1",)], await again.fetch(IDS))
            self.assertFalse((await again.control("GET", "/stats"))["is_primary"])
            await again.fetch("SELECT pg_promote()")
            await again.fetch("/* id=w2 */ INSERT INTO t VALUES (2, 'b')")
            ran = await again.control("GET", "/ran")
            self.assertEqual(["w1", "w2"], [entry["id"] for entry in ran["logged"]])
            self.assertEqual(["w2"], [entry["id"] for entry in ran["executed"]])

    @trio_test
    async def test_frozen_instance_answers_nothing_until_thawed(self):
        async with builders.open_group() as (_, (primary,)):
            await primary.set_faults(freeze=True)
            with trio.move_on_after(0.1) as scope:
                async with await trio.open_tcp_stream(
                    builders.HOST, primary.ports.port
                ) as stream:
                    await stream.send_all((8).to_bytes(4, "big") + b"\x04\xd2\x16\x2f")
                    await stream.receive_some(1)
            self.assertTrue(scope.cancelled_caught)
            await primary.set_faults(freeze=False)
            self.assertEqual([("1",)], await primary.fetch("SELECT 1"))


class AnnouncerTest(unittest.TestCase):
    @trio_test
    async def test_announcement_names_the_client_port(self):
        sender, receiver = trio.open_memory_channel(1)

        async def answer(request):
            await sender.send(request)
            return http1.build_json_response(b"{}")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=builders.HOST)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(
                trio.serve_listeners,
                lambda stream: http1.serve_connection(stream, answer),
                listeners,
            )
            target = addresses.Address(builders.HOST, port)
            async with builders.open_group(announce_to=(target,)) as (_, (primary,)):
                request = await receiver.receive()
                body = msgspec.json.decode(request.body)
            self.assertEqual("/v1/announcements", request.path)
            self.assertEqual(primary.ports.port, body["port"])
            nursery.cancel_scope.cancel()
