"""Tests of the conversion of messages and of the delays of instances."""

import unittest

from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import delays
from sedgeswitch.forwarding import encoding
from sedgeswitch.forwarding import messages
from sedgeswitch.groups import positions
from sedgeswitch.transport import catalog


def send(message):
    """Return a message as its receiver decodes it."""
    return catalog.decode_struct(type(message), catalog.encode_struct(message))


class ReplyTest(unittest.TestCase):
    def check_unchanged(self, reply):
        self.assertEqual(
            reply, encoding.decode_reply(send(encoding.encode_reply(reply)))
        )

    def test_success_is_unchanged(self):
        self.check_unchanged(
            sessions.Reply(
                (b"row\xff", b""),
                b"signature",
                None,
                "",
                True,
                False,
                positions.Position(3, 1207),
            )  # fmt: skip
        )

    def test_each_failure_is_unchanged(self):
        for failure in sessions.Failure:
            with self.subTest(failure=failure):
                self.check_unchanged(
                    sessions.Reply((), b"", failure, "detail", True, True, None)
                )

    def test_unknown_failure_is_malformed(self):
        answer = messages.ForwardAnswer(messages.Outcome.ANSWERED, failure="LATER")
        with self.assertRaises(catalog.MessageError):
            encoding.decode_reply(answer)


class StatementTest(unittest.TestCase):
    def test_statement_and_shape_are_unchanged(self):
        statement = sessions.Statement(b"id", b"EXECUTE s1 x y", b"x y")
        shape = sessions.StatementShape(True, b"q2c")
        for given in ((statement, shape), (statement._replace(text=b""), None)):
            message = send(encoding.encode_statement(*given))
            self.assertEqual(given, encoding.decode_statement(message))

    def test_missing_statement_is_malformed(self):
        with self.assertRaises(catalog.MessageError):
            encoding.decode_statement(None)


class ServiceDelaysTest(unittest.TestCase):
    """A slow instance is avoided, and tried again once it has had time to recover."""

    def test_slow_answers_raise_the_expected_time(self):
        observed = delays.ServiceDelays()
        for _ in range(10):
            observed.record("a", 0.5, 1.0)
        self.assertGreater(observed.get_service_s("a", 1.0), 0.4)
        self.assertEqual(delays.DEFAULT_SERVICE_S, observed.get_service_s("b", 1.0))

    def test_expected_time_returns_to_the_default(self):
        observed = delays.ServiceDelays()
        observed.record("a", 2.0, 1.0)
        later_s = observed.get_service_s("a", 1.0 + 10 * delays.HALF_LIFE_S)
        self.assertLess(later_s, 1.1 * delays.DEFAULT_SERVICE_S)


if __name__ == "__main__":
    unittest.main()
