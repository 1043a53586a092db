"""Tests of PostgreSQL connections against a server with scripted answers."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.drivers import postgres
from standin.instance import wire

HANDSHAKE = (
    wire.encode_authentication_ok()
    + wire.encode_parameter_status("client_encoding", "UTF8")
    + wire.encode_backend_key(1, 2)
    + wire.encode_ready(b"I")
)
PARSED = wire.encode_parse_complete() + wire.encode_bind_complete()
NO_ROWS = PARSED + wire.encode_no_data()
DONE = NO_ROWS + wire.encode_command_complete("INSERT 0 1") + wire.encode_ready(b"I")


class PostgresTest(unittest.TestCase):
    def _run(self, body, *answers, is_closing=False, database="lots"):
        """Run `body` with a connection; return the messages that the server received.

        The server sends one of `answers` after each Sync message. With
        `is_closing`, it closes the connection after the first one.
        """
        received = []

        async def serve(stream):
            decoder = wire.Decoder()
            remaining_answers = iter(answers)
            async with stream:
                while data := await stream.receive_some():
                    decoder.feed(data)
                    while (message := decoder.read_message()) is not None:
                        received.append(message)
                        if isinstance(message, wire.Startup):
                            await stream.send_all(HANDSHAKE)
                        elif isinstance(message, wire.Sync):
                            await stream.send_all(next(remaining_answers))
                            if is_closing:
                                return

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, serve, 0)
                port = listeners[0].socket.getsockname()[1]
                target = base.Target("127.0.0.1", port, database)
                connection = await postgres.PostgresDriver().connect(target, 5.0)
                await body(connection)
                await connection.close()
                nursery.cancel_scope.cancel()

        trio.run(main)
        return received

    def _get_error(self, *answers, is_closing=False):
        caught = []

        async def body(connection):
            with self.assertRaises(base.DriverError) as error:
                await connection.execute("INSERT")
            caught.append((error.exception, connection.is_usable))

        self._run(body, *answers, is_closing=is_closing)
        return caught[0]

    def test_rows_and_nulls_are_decoded(self):
        rows = (
            PARSED
            + wire.encode_row_description(["a", "b"])
            + wire.encode_data_row(["1", None])
            + wire.encode_command_complete("SELECT 1")
            + wire.encode_ready(b"I")
        )

        async def body(connection):
            answer = await connection.execute("SELECT", [None, "x"])
            self.assertEqual(answer, (("a", "b"), [("1", None)], "SELECT 1"))
            self.assertTrue(connection.is_usable)

        received = self._run(body, rows)
        (bind,) = [item for item in received if isinstance(item, wire.Bind)]
        self.assertEqual(bind.values, (None, b"x"))

    def test_database_name_cannot_inject_settings(self):
        async def body(connection):
            pass

        name = "lots user=postgres"
        startup = self._run(body, database=name)[0]
        self.assertEqual(startup.parameters["database"], name)
        self.assertEqual(startup.parameters["user"], "sedgeswitch")

    def test_rejected_statement_is_not_run_and_connection_stays_usable(self):
        answer = wire.encode_error("23505", "twice", False) + wire.encode_ready(b"I")
        error, is_usable = self._get_error(answer)
        self.assertIs(error.verdict, verdicts.Verdict.NOT_RUN)
        self.assertEqual((error.sqlstate, is_usable), ("23505", True))

    def test_terminated_session_may_have_run(self):
        # PostgreSQL may terminate a session that waits for replication after its
        # commit has taken effect.
        answer = wire.encode_error("57P01", "terminating", True)
        for is_closing in (False, True):
            error, is_usable = self._get_error(
                answer + wire.encode_ready(b"I"), is_closing=is_closing
            )
            self.assertIs(error.verdict, verdicts.Verdict.MAY_HAVE_RUN)
            self.assertEqual((error.is_lost, is_usable), (True, False))

    def test_lost_connection_may_have_run(self):
        error, is_usable = self._get_error(PARSED, is_closing=True)
        self.assertIs(error.verdict, verdicts.Verdict.MAY_HAVE_RUN)
        self.assertEqual((error.is_lost, is_usable), (True, False))

    def test_open_transaction_is_not_usable(self):
        begun = (
            NO_ROWS + wire.encode_command_complete("BEGIN") + wire.encode_ready(b"T")
        )

        async def body(connection):
            await connection.execute("BEGIN")
            self.assertFalse(connection.is_usable)

        self._run(body, begun)

    def test_cancelled_statement_closes_connection(self):
        async def body(connection):
            with trio.move_on_after(0.01):
                await connection.execute("SELECT")
            self.assertFalse(connection.is_usable)

        self._run(body, PARSED)

    def test_text_with_zero_byte_is_not_sent(self):
        async def body(connection):
            for sql, value in (("SELECT $1", "a\0b"), ("SELECT 1\0; x", None)):
                with self.assertRaises(base.DriverError) as caught:
                    await connection.execute(sql, [value])
                self.assertIs(caught.exception.verdict, verdicts.Verdict.NOT_RUN)
                self.assertTrue(connection.is_usable)
            await connection.execute("INSERT")

        received = self._run(body, DONE)
        self.assertEqual(len([m for m in received if isinstance(m, wire.Bind)]), 1)

    def test_unreachable_instance_is_not_run(self):
        async def main():
            target = base.Target("127.0.0.1", 1, "lots")
            with self.assertRaises(base.DriverError) as caught:
                await postgres.PostgresDriver().connect(target, 1.0)
            self.assertIs(caught.exception.verdict, verdicts.Verdict.NOT_RUN)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
