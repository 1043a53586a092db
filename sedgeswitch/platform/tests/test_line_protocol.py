"""Tests of the line protocol with clients and instances."""

import unittest

import trio
import trio.testing

from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.platform import client_edge
from sedgeswitch.platform import instance_driver
from sedgeswitch.platform import wire
from sedgeswitch.platform.tests import builders
from sedgeswitch.relay import steps
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils.tests import virtual_time

READY = b"READY I 3.7\r\n"
DONE = b"COMPLETE sig\r\n" + READY
QUERY_A = sessions.StatementShape(False, b"a")
QUERY_B = sessions.StatementShape(False, b"b")


class StepTest(unittest.TestCase):
    def test_statements_are_decoded(self):
        kinds = {
            b"BEGIN": steps.Kind.BEGIN,
            b"BEGIN READ": steps.Kind.BEGIN,
            b"COMMIT": steps.Kind.COMMIT,
            b"ROLLBACK": steps.Kind.ROLL_BACK,
            b"READ 1a": steps.Kind.READ,
            b"WRITE 1a some data": steps.Kind.WRITE,
            b"SET tz Europe/Zagreb": steps.Kind.SET_VALUE,
            b"PREPARE s1 WRITE q2c": steps.Kind.PREPARE,
            b"EXECUTE s1 1a4 data": steps.Kind.EXECUTE,
            b"DEALLOC s1": steps.Kind.DEALLOCATE,
        }
        for text, kind in kinds.items():
            with self.subTest(text):
                self.assertEqual(kind, client_edge.decode_step(b"1", text).kind)

    def test_unknown_or_incomplete_statements_are_malformed(self):
        for text in (b"", b"DROP x", b"READ", b"SET n", b"PREPARE s1 q", b"BEGIN NOW",
                     b"COMMIT x", b"AFTER 3.1 READ x"):  # fmt: skip
            with self.subTest(text):
                step = client_edge.decode_step(b"1", text)
                self.assertEqual(steps.Kind.MALFORMED, step.kind)

    def test_failure_is_encoded_without_line_breaks(self):
        outcome = steps.build_failure(sessions.Failure.IN_DOUBT, "two\r\nlines")
        self.assertEqual(
            b"ERROR INDOUBT two  lines\r\nREADY E -\r\n",
            client_edge.encode_outcome(outcome, wire.FAILED_TRANSACTION),
        )

    def test_every_failure_has_a_code(self):
        self.assertEqual(set(sessions.Failure), set(wire.CODE_BY_FAILURE))


class PositionTest(unittest.TestCase):
    """Guards against an instance whose numbers end the hosts that report them."""

    def test_largest_positions_fit_into_reports(self):
        number = 10**18 - 1
        position = wire.decode_position(b"%d.%d" % (number, number))
        health = ttypes.InstanceHealth("a", 0, 0, 0)
        health.timeline, health.lsn = position
        self.assertTrue(catalog.encode_struct(health))

    def test_larger_positions_are_absent(self):
        for field in (b"1." + b"9" * 19, b"9" * 5000 + b".1"):
            self.assertIsNone(wire.decode_position(field))

    def test_state_with_a_larger_term_is_malformed(self):
        with self.assertRaises(checks.CheckError):
            instance_driver.decode_state((b"primary " + b"9" * 19 + b" 1.1 0",))


class ConnectionTest(unittest.TestCase):
    def exchange(self, answers, use):
        """Run `use` on a connection to a scripted instance; return its lines."""
        instance = builders.ScriptedInstance(answers)

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.run)
                await use(instance_driver.LineConnection(instance.client))
                nursery.cancel_scope.cancel()

        virtual_time.run(main)
        return instance.received

    def test_statement_is_forwarded_unchanged_with_floor_prefix(self):
        async def use(connection):
            statement = sessions.Statement(b"5c0e", b"READ 1a4")
            reply = await connection.run(statement, None, positions.Position(3, 7))
            self.assertEqual((b"sig", (b"row one",)), (reply.signature, reply.rows))
            self.assertEqual(positions.Position(3, 7), reply.position)

        lines = self.exchange([b"ROW row one\r\n" + DONE], use)
        self.assertEqual([b"QUERY 5c0e AFTER 3.7 READ 1a4"], lines)

    def test_connection_that_the_instance_closed_is_recognised(self):
        async def main():
            ends = [trio.SocketStream(item) for item in trio.socket.socketpair()]
            connection = instance_driver.LineConnection(ends[0])
            self.assertFalse(connection.is_closed_by_peer)
            await ends[1].aclose()
            self.assertTrue(connection.is_closed_by_peer)
            await connection.close()

        trio.run(main)

    def test_shape_is_prepared_once_per_connection(self):
        shape = sessions.StatementShape(True, b"q2c")

        async def use(connection):
            for number in (b"1", b"2"):
                statement = sessions.Statement(number, b"EXECUTE mine x d", b"x d")
                await connection.run(statement, shape)

        lines = self.exchange([DONE] * 3, use)
        self.assertEqual(
            [b"QUERY - PREPARE s0 WRITE q2c", b"QUERY 1 EXECUTE s0 x d",
             b"QUERY 2 EXECUTE s0 x d"],
            lines,
        )  # fmt: skip

    def run_shapes(self, answers, *shapes):
        """Execute statements of these shapes; return the failures and the lines."""
        failures = []

        async def use(connection):
            for shape in shapes:
                statement = sessions.Statement(b"1", b"EXECUTE mine x", b"x")
                reply = await connection.run(statement, shape)
                failures.append(reply.failure)

        return failures, self.exchange(answers, use)

    # Guards against an execution under a name that the instance never prepared.
    def test_statement_whose_preparation_failed_is_prepared_again(self):
        refused = [b"ERROR READONLY i-1\r\n" + READY, b"ERROR MALFORMED x\r\n" + READY]
        failures, lines = self.run_shapes([*refused, DONE, DONE], QUERY_A, QUERY_A)
        self.assertEqual([sessions.Failure.READ_ONLY, None], failures)
        self.assertEqual(
            [b"QUERY - PREPARE s1 READ a", b"QUERY 1 EXECUTE s1 x"], lines[2:]
        )

    # Guards against two shapes under one name, so that callers got other rows.
    def test_name_of_a_forgotten_statement_is_not_used_again(self):
        answers = [DONE, DONE, DONE, DONE, b"ERROR NOSTMT s0\r\n" + READY, DONE, DONE]
        shapes = (QUERY_A, QUERY_B, QUERY_A)
        failures, lines = self.run_shapes(answers, *shapes)
        self.assertEqual([None, None, None], failures)
        self.assertEqual(
            [b"QUERY - PREPARE s2 READ a", b"QUERY 1 EXECUTE s2 x"], lines[5:]
        )

    # Guards against telling a caller that a statement it has prepared is unknown.
    def test_statement_that_the_instance_keeps_forgetting_is_refused(self):
        unknown = b"ERROR NOSTMT s0\r\n" + READY
        failures, _ = self.run_shapes([DONE, unknown, DONE, unknown], QUERY_A)
        self.assertEqual([sessions.Failure.OVERLOADED], failures)

    def test_values_of_another_session_are_reset(self):
        async def use(connection):
            await connection.set_session_values({b"a": b"1"})
            await connection.set_session_values({b"a": b"1"})
            await connection.set_session_values({b"b": b"2"})

        lines = self.exchange([DONE] * 3, use)
        self.assertEqual(
            [b"QUERY - SET a 1", b"QUERY - RESET", b"QUERY - SET b 2"], lines
        )

    def test_truncated_answer_raises_connection_lost(self):
        async def use(connection):
            with self.assertRaises(sessions.ConnectionLostError):
                await connection.run(sessions.Statement(b"1", b"READ x"))
            self.assertFalse(connection.is_usable)

        self.exchange([None], use)

    def test_cancelled_statement_closes_the_connection(self):
        async def use(connection):
            with trio.move_on_after(1):
                await connection.run(sessions.Statement(b"1", b"READ x"))
            self.assertFalse(connection.is_usable)

        self.exchange([b"", b""], use)

    def test_connection_in_a_transaction_is_not_usable(self):
        async def use(connection):
            reply = await connection.begin(False)
            self.assertTrue(reply.is_in_transaction)
            self.assertFalse(connection.is_usable)

        self.exchange([b"COMPLETE -\r\nREADY T 3.7\r\n"], use)

    def test_refused_handshake_raises_driver_error(self):
        async def use(connection):
            with self.assertRaises(base.DriverError) as caught:
                await connection.handshake(b"lots", b"ward", b"i-1")
            self.assertEqual("WRONG_INSTANCE", caught.exception.sqlstate)

        self.exchange([b"ERROR WRONGNODE i-2\r\n"], use)

    def test_state_of_promoted_primary_has_its_new_term(self):
        async def use(connection):
            state = await connection.read_state()
            self.assertFalse(state.in_recovery)
            self.assertEqual(positions.Position(4, 1209), state.position)

        row = b"ROW primary 4 3.1209 0 0 2 17\r\n"
        self.exchange([row + DONE], use)


class ClientTest(unittest.TestCase):
    def send_lines(self, lines, database="primary", key=relay_builders.KEY):
        """Send each line after the answer to the one before; return all answers."""

        async def main():
            world = relay_builders.World()
            client_stream, server_stream = trio.testing.memory_stream_pair()
            connection = client_edge.ClientConnection(
                server_stream, lambda name, given: world.build_session(name, given)
            )
            received = b""
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                connect_line = f"CONNECT {database} {key}".encode()
                for line in (connect_line, *lines):
                    await client_stream.send_all(line + b"\r\n")
                    answer = b""
                    while b"READY" not in answer:
                        data = await client_stream.receive_some(4096)
                        if not data:
                            return received + answer
                        answer += data
                    received += answer
                await client_stream.aclose()
            return received

        return virtual_time.run(main).decode().splitlines()

    def test_session_runs_reads_and_writes(self):
        lines = self.send_lines([b"QUERY 1 READ x", b"QUERY 2 WRITE x 1"])
        self.assertEqual("READY I -", lines[0])
        self.assertEqual("COMPLETE signed-a", lines[1])
        self.assertEqual("READY I 1.1", lines[-1])

    def test_unknown_database_or_key_is_refused_and_closed(self):
        self.assertTrue(self.send_lines([], "other")[0].startswith("ERROR NODB "))
        self.assertTrue(self.send_lines([], key="wrong")[0].startswith("ERROR NOAUTH "))

    def test_ready_reports_the_transaction_state(self):
        lines = self.send_lines(
            [b"QUERY 1 BEGIN", b"QUERY 2 NONSENSE", b"QUERY 3 READ x",
             b"QUERY 4 ROLLBACK"]
        )  # fmt: skip
        states = [line.split()[1] for line in lines if line.startswith("READY")]
        self.assertEqual(["I", "T", "E", "E", "I"], states)
