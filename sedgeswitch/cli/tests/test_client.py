import http.server
import threading
import unittest

from sedgeswitch import verdicts
from sedgeswitch.cli import client
from sedgeswitch.cli import environment as environments
from sedgeswitch.cli.tests import builders
from sedgeswitch.configuration import changes
from sedgeswitch.configuration.tests import builders as configuration_builders

PATH = "/v1/configuration/changes"


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.fleet = builders.FakeFleet()
        change = configuration_builders.build_rate_change(0, "r1")
        self.body = changes.encode_change(change)

    def send(self):
        return builders.build_client(self.fleet).call("POST", PATH, self.body)

    def test_request_with_lost_response_is_resent_with_the_same_bytes(self):
        self.fleet.lost_answers = 2
        self.fleet.leader = builders.HOSTS[2]
        response = self.send()
        self.assertEqual(response.document, {"kind": "accepted", "version": 1})
        self.assertEqual({request.body for request in self.fleet.requests}, {self.body})
        self.assertEqual(self.fleet.machine.version, 1)

    def test_request_is_sent_to_leader_that_was_not_configured(self):
        self.fleet.leader = "10.0.0.9:7000"
        self.assertEqual(self.send().document, {"kind": "accepted", "version": 1})

    def test_request_with_unknown_outcome_is_resent(self):
        self.fleet.unknown_outcomes = 1
        self.assertEqual(self.send().document, {"kind": "accepted", "version": 1})

    def test_unreachable_error_states_whether_the_request_may_have_run(self):
        self.fleet.down = set(builders.HOSTS)
        with self.assertRaises(client.UnreachableError) as caught:
            self.send()
        self.assertIs(caught.exception.verdict, verdicts.Verdict.NOT_RUN)
        self.fleet.down = set()
        self.fleet.lost_answers = 1000
        with self.assertRaises(client.UnreachableError) as caught:
            self.send()
        self.assertIs(caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN)

    def test_plain_key_in_a_change_is_neither_stored_nor_returned(self):
        secret = builders.TOKEN.plain
        operation = f'{{"operation":"set_key","organisation":"{secret}","key_id":"a"}}'
        self.body = b'{"base_version":0,"request_id":"r","author":"a","operations":['
        self.body += operation.encode() + b"]}"
        response = self.send()
        self.assertEqual(response.status, 400)
        self.assertNotIn(secret, str(response.document))
        self.assertNotIn(secret.encode(), self.fleet.machine.save_snapshot())

    def test_response_is_read_from_a_real_socket(self):
        server = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        environment = environments.build_environment()
        address = client.Address(*server.server_address)
        control = client.ControlClient([address], None, 5.0, environment)
        response = control.call("GET", "/v1/configuration")
        self.assertEqual(response, client.Response(200, {"version": 4}))


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):  # noqa: N802
        body = b'{"version": 4}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[:5])
        self.wfile.flush()
        self.wfile.write(body[5:])

    def log_message(self, *_):
        pass
