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
    async def test_select_returns_parameters_as_text(self):
        async with builders.open_group() as (_, (primary,)):
            rows = await primary.fetch("SELECT %s AS a, %s AS b, %s", "x", 7, None)
            self.assertEqual([("x", "7", None)], rows)

    @trio_test
    async def test_rolled_back_transaction_writes_no_rows(self):
        def run_statements(connection):
            connection.execute(CREATE)
            with contextlib.suppress(ZeroDivisionError), connection.transaction():
                connection.execute("INSERT INTO t VALUES (1, 'a')")
                raise ZeroDivisionError
            with connection.transaction():
                connection.execute("INSERT INTO t VALUES (2, 'b')")
            return connection.execute(IDS).fetchall()

        async with builders.open_group() as (_, (primary,)):
            self.assertEqual([("2",)], await primary.run_in_client(run_statements))

    @trio_test
    async def test_failed_transaction_rejects_statements_until_it_ends(self):
        def run_statements(connection):
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
            self.assertEqual(
                ("ROLLBACK", []), await primary.run_in_client(run_statements)
            )

    @trio_test
    async def test_failed_pipeline_rolls_back_its_writes(self):
        def run_statements(connection):
            connection.execute(CREATE)
            with (
                contextlib.suppress(psycopg.errors.UndefinedTable),
                connection.pipeline(),
            ):
                connection.execute("INSERT INTO t VALUES (1, 'a')")
                connection.execute("SELECT * FROM nowhere")
            return connection.execute(IDS).fetchall()

        async with builders.open_group() as (_, (primary,)):
            self.assertEqual([], await primary.run_in_client(run_statements))

    @trio_test
    async def test_read_only_option_rejects_writes(self):
        options = {"options": "-c default_transaction_read_only=on"}
        async with builders.open_group() as (_, (primary,)):
            with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
                await primary.run_in_client(
                    lambda connection: connection.execute(CREATE), **options
                )

    @trio_test
    async def test_write_lock_wait_times_out(self):
        def run_statements(connection):
            with self.assertRaises(psycopg.errors.LockNotAvailable):
                connection.execute("INSERT INTO t VALUES (2, 'b')")

        async with builders.open_group(lock_timeout_ms=20) as (_, (primary,)):
            await primary.fetch(CREATE)
            holder = await trio.to_thread.run_sync(primary.connect)
            await trio.to_thread.run_sync(holder.execute, "BEGIN")
            insert = "INSERT INTO t VALUES (1, 'a')"
            await trio.to_thread.run_sync(holder.execute, insert)
            await primary.run_in_client(run_statements)
            await trio.to_thread.run_sync(holder.close)

    @trio_test
    async def test_cancel_request_cancels_running_statement(self):
        async with builders.open_group(statement_ms=60_000) as (nursery, (primary,)):
            connection = await trio.to_thread.run_sync(primary.connect)
            nursery.start_soon(self._cancel_running, primary, connection)
            with self.assertRaises(psycopg.errors.QueryCanceled):
                await trio.to_thread.run_sync(connection.execute, "SELECT 1")
            await trio.to_thread.run_sync(connection.close)

    async def _cancel_running(self, primary, connection):
        while not (await primary.call_control("GET", "/stats"))["in_use"]:
            await trio.sleep(builders.POLL_S)
        await trio.to_thread.run_sync(connection.cancel_safe)

    @trio_test
    async def test_statements_beyond_slot_limit_wait(self):
        async with builders.open_group(slots=2, statement_ms=5) as (_, (primary,)):
            async with trio.open_nursery() as clients:
                for _ in range(6):
                    clients.start_soon(primary.fetch, "SELECT 1")
            stats = await primary.call_control("GET", "/stats")
            self.assertEqual(2, stats["highest_running_statements"])
            self.assertEqual(0, stats["in_use"])

    @trio_test
    async def test_closed_connection_rolls_back_and_releases_write_lock(self):
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
    async def test_connections_beyond_limit_are_rejected(self):
        async with builders.open_group(max_connections=1) as (_, (primary,)):
            connection = await trio.to_thread.run_sync(primary.connect)
            with self.assertRaisesRegex(psycopg.OperationalError, "too many clients"):
                await trio.to_thread.run_sync(primary.connect)
            stats = await primary.call_control("GET", "/stats")
            await trio.to_thread.run_sync(connection.close)
            self.assertEqual(1, stats["refused_connections"])
            self.assertEqual(1, stats["highest_connections"])


class ReplicationTest(unittest.TestCase):
    @trio_test
    async def test_replica_reports_recovery_and_rejects_writes(self):
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
    async def test_replication_lag_delays_entries_until_lowered(self):
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
    async def test_replaced_primary_discards_diverged_commits(self):
        async with builders.open_group(3) as (_, (old_primary, new_primary, replica)):
            await old_primary.fetch(CREATE)
            await old_primary.fetch("INSERT INTO t VALUES (1, 'a')")
            for instance in (new_primary, replica):
                await instance.wait_for(IDS, [("1",)])
            await old_primary.set_faults(cut_peers=True)
            await old_primary.fetch("INSERT INTO t VALUES (2, 'lost')")
            self.assertEqual([("t",)], await new_primary.fetch("SELECT pg_promote()"))
            await new_primary.fetch("INSERT INTO t VALUES (3, 'c')")
            await replica.wait_for(IDS, [("1",), ("3",)])
            self.assertEqual([("1",), ("2",)], await old_primary.fetch(IDS))
            await old_primary.set_faults(cut_peers=False)
            await old_primary.wait_for(IDS, [("1",), ("3",)])
            stats = await old_primary.call_control("GET", "/stats")
            self.assertEqual((False, 2), (stats["is_primary"], stats["timeline"]))

    @trio_test
    async def test_promotion_applies_received_entries(self):
        async with builders.open_group(2) as (_, (primary, replica)):
            await primary.fetch(CREATE)
            await replica.wait_for(IDS, [])
            await replica.set_faults(replication_lag_ms=600_000)
            await primary.fetch("INSERT INTO t VALUES (1, 'a')")
            await trio.sleep(0.2)
            await replica.fetch("SELECT pg_promote()")
            self.assertEqual([("1",)], await replica.fetch(IDS))

    @trio_test
    async def test_promotion_after_its_deadline_has_no_effect(self):
        promote = "SELECT pg_promote() WHERE clock_timestamp() < %s::timestamptz"
        deadline = "SELECT clock_timestamp() + %s::interval"
        async with builders.open_group(2) as (_, (_primary, replica)):
            ((soon,),) = await replica.fetch(deadline, "100 milliseconds")
            await trio.sleep(0.2)
            self.assertEqual([], await replica.fetch(promote, soon))
            stats = await replica.call_control("GET", "/stats")
            self.assertFalse(stats["is_primary"])
            ((later,),) = await replica.fetch(deadline, "10000 milliseconds")
            self.assertEqual([("t",)], await replica.fetch(promote, later))

    @trio_test
    async def test_restarted_primary_keeps_data_as_replica(self):
        async with builders.open_group() as (nursery, (primary,)):
            await primary.fetch(CREATE)
            await primary.fetch("/* id=w1 */ INSERT INTO t VALUES (1, 'a')")
            primary.scope.cancel()
            restarted = await builders.start(
                nursery, primary.settings._replace(peer_port=0)
            )
            self.assertEqual([("1",)], await restarted.fetch(IDS))
            self.assertFalse(
                (await restarted.call_control("GET", "/stats"))["is_primary"]
            )
            await restarted.fetch("SELECT pg_promote()")
            await restarted.fetch("/* id=w2 */ INSERT INTO t VALUES (2, 'b')")
            statements = await restarted.call_control("GET", "/ran")
            self.assertEqual(
                ["w1", "w2"], [entry["id"] for entry in statements["logged"]]
            )
            self.assertEqual(["w2"], [entry["id"] for entry in statements["executed"]])

    @trio_test
    async def test_frozen_instance_sends_nothing_until_unfrozen(self):
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
    async def test_announcement_contains_client_port(self):
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
