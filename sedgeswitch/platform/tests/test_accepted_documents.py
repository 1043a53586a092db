"""Tests that a configuration which is accepted is in force as a whole.

They guard against an item that the leader accepts and that a later check, message or
task of the leader or of an entry host rejects: nobody was served any more.
"""

import random
import tempfile
import unittest

import loguru
import msgspec
import trio

from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.daemon.tests import relay_builders
from sedgeswitch.forwarding import messages as forwarding_messages
from sedgeswitch.forwarding.tests import builders as forwarding_builders
from sedgeswitch.membership import directory
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.platform import announcements
from sedgeswitch.platform import documents
from sedgeswitch.platform.tests import builders
from sedgeswitch.platform.tests import document_builders
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay.tests import builders as relay_session_builders
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils.tests import virtual_time

SEEDS = 60
TENANT_NAMES = ("ward-7@sindhuli", "x" * 70, "\u0935\u0921\u093e")
# Names that cannot be sent to an instance as one field of a line.
REFUSED_NAMES = ("", "ward 7", "ward\r\nQUERY - STATUS", "ward\t7", "x" * 300_000)
TEXTS = (b"READ x", b"WRITE x 1", b"BEGIN", b"WRITE x 2", b"COMMIT")


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


def encode(value):
    """Return a message as its receiver decodes it."""
    return catalog.decode_struct(type(value), catalog.encode_struct(value))


def build_odd_texts():
    """Yield the seed and the text of configurations that are accepted."""
    for seed in range(SEEDS):
        rng = random.Random(seed)
        odd = document_builders.build_odd(
            lambda field, choices, rng=rng: rng.choice(choices)
        )
        text = msgspec.json.encode(odd)
        try:
            documents.decode_document(text)
        except checks.CheckError:
            continue
        yield seed, text


class _Hosts:
    """A leader and an entry host with the same configuration in force."""

    def __init__(self, test, text):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        document = documents.read_document(text)
        self.control = relay_builders.build_control(
            folder.name, document, [relay_builders.build_server("a", "bagmati-a")], "a"
        )
        self.control.databases.version = document.version
        member = members_machine.Member("host-1", "1", "bagmati-a", "10.0.0.1", 7000)
        command = members_machine.build_command(member, False)
        self.control.members.apply(2, catalog.encode_struct(command))
        self.entry = relay_builders.build_entry(text, decode=documents.read_document)
        self.now_s = 100.0
        self.control._start_grants(self.now_s, 1)

    def replace(self, text):
        """Put another configuration in force on both."""
        document = documents.read_document(text)
        self.control.view.document = document
        self.control.databases.version = document.version
        self.control._update_limits(self.now_s)
        relay_builders.receive_text(self.entry, document.version, text)

    def list_granted(self):
        """Return the organisations whose requests get a token within 10 s."""
        limiter = self.entry.host_limiter
        granted = set()
        for _ in range(10):
            self.now_s += 1.0
            for name in limiter.list_organisations():
                limiter.take(name, self.now_s)
            draw = limiter.build_draw(self.now_s)
            reply = self.control.grantor.draw(encode(draw), self.now_s)
            if reply.status == admission_messages.DrawStatus.REPORT_WANTED:
                limiter.request_report()
                draw = limiter.build_draw(self.now_s)
                reply = self.control.grantor.draw(encode(draw), self.now_s)
            limiter.receive_grants(encode(reply), self.now_s, self.now_s)
            granted |= {grant.organisation for grant in reply.grants}
        return granted


class LimitTest(unittest.TestCase):
    """Limits at the leader and at the entry host, running and after a restart."""

    def check(self, text, earlier=None):
        async def main():
            hosts = _Hosts(self, earlier or text)
            hosts.replace(text)
            organisations = documents.read_document(text).organisations
            self.assertEqual(
                sorted(organisations),
                sorted(hosts.entry.host_limiter.list_organisations()),
            )
            self.assertEqual(organisations.keys(), hosts.list_granted())

        virtual_time.run(main)

    def test_tenant_of_any_accepted_name_is_limited_as_the_others(self):
        ordinary = builders.build_configuration()
        for name in TENANT_NAMES:
            added = builders.TENANT | {"name": name, "apiKeys": ["k2"]}
            text = builders.build_configuration(
                version=8, tenants=[builders.TENANT, added]
            )
            for earlier in (None, ordinary):
                with self.subTest(name=name[:20], is_running=earlier is not None):
                    documents.decode_document(text)
                    self.check(text, earlier)

    def test_limits_of_any_accepted_configuration_are_enforced(self):
        checked = 0
        for seed, text in build_odd_texts():
            with self.subTest(seed=seed):
                checked += 1
                ordinary = builders.build_configuration(version=1)
                self.check(text, ordinary if seed % 2 else None)
        self.assertGreater(checked, SEEDS // 4)


class StatementTest(unittest.TestCase):
    """Statements that are forwarded, with each message encoded as on the wire."""

    def run_statements(self, text, is_scheduling=False):
        document = documents.read_document(text)
        databases = [
            name
            for name, database in document.databases.items()
            if database.group == "lots" and database.statement_timeout_s >= 1.0
        ]
        self.assertIn("draw", databases)

        async def main():
            fleet = forwarding_builders.Fleet(is_scheduling=is_scheduling)
            fleet.world.put_in_force(document)
            await fleet.run(lambda fleet: self.run_sessions(fleet, databases))

        virtual_time.run(main)

    async def run_sessions(self, fleet, databases):
        for key in (document_builders.ORDINARY_KEY, document_builders.ODD_KEY):
            for database in databases:
                for host in (fleet.get_other(), next(iter(fleet.hosts.values()))):
                    session = host.build_session(database, key)
                    await session.open(1.0)
                    for text in TEXTS:
                        step = relay_session_builders.build_step(text)
                        outcome = await session.run(step)
                        self.assertIsNone(outcome.failure, (text, outcome.detail))
                    await session.close()

    def test_all_organisations_are_served_under_any_accepted_configuration(self):
        for seed, text in build_odd_texts():
            with self.subTest(seed=seed):
                self.run_statements(text, is_scheduling=bool(seed % 2))

    def test_database_with_any_long_timeout_serves(self):
        for timeout_ms in (1000, 2**31, 3e9, 1e300):
            for idle_ms in (-1, 0, 3000, 3e9, 1e18):
                with self.subTest(timeout_ms=timeout_ms, idle_ms=idle_ms):
                    text = builders.build_configuration(
                        routes=[builders.ROUTE | {"timeoutMs": timeout_ms}],
                        limits={"txIdleMs": idle_ms},
                        tenants=[
                            builders.TENANT
                            | {"apiKeys": [document_builders.ORDINARY_KEY]},
                            builders.TENANT
                            | {"name": "o", "apiKeys": [document_builders.ODD_KEY]},
                        ],
                    )
                    self.run_statements(text)


class AnnouncementTest(unittest.TestCase):
    def test_instances_of_any_accepted_group_can_be_announced(self):
        async def announce(text):
            document = documents.read_document(text)
            limits = {
                name: group.max_connections for name, group in document.groups.items()
            }
            entry = relay_builders.build_entry(text, decode=documents.read_document)
            servers = [
                announcements.decode_heartbeat(
                    f"i-{place}", builders.build_heartbeat(service=name), limits
                ).server
                for place, name in enumerate(document.groups)
            ]
            for server in servers:
                encode(directory.build_message(server))
            relay_builders.announce(entry, *servers)
            entry.get_gauges()
            for server in servers:
                entry.forwarder.get_holding(server)

        for seed, text in build_odd_texts():
            with self.subTest(seed=seed):
                virtual_time.run(announce, text)


class SmallRateTest(unittest.TestCase):
    """Waits for a token that are longer than messages and integers hold."""

    def test_refusal_of_the_lowest_rate_can_be_sent(self):
        limiter = host_limiter.HostLimiter("host-1", "run-1", 0.0)
        limiter.set_limits({"ward": admission_settings.Limit(1e-6, 10)})
        waiting = [limiter.take("ward", 1.0) for _ in range(5)]
        denied = limiter.give_up(waiting[0])
        encode(
            forwarding_messages.AdmitAnswer(False, retry_after_ms=denied.retry_after_ms)
        )

    def test_cold_instance_of_the_lowest_rate_refuses_statements(self):
        async def main():
            service = builders.SERVICE | {"coldStartS": 5, "coldPerS": 1e-320}
            text = builders.build_configuration(services=[service])
            entry = relay_builders.build_entry(text, decode=documents.read_document)
            member = members_machine.Member("host-1", "1", "bagmati-a", "10.0.0.1", 1)
            entry._set_members(1, [member], 0.0)
            cold = relay_builders.build_server("a", "bagmati-a", is_cold=True)
            relay_builders.announce(entry, cold)
            await entry._cold.take("a", trio.current_time() + 1.0, is_waiting=False)
            with self.assertRaises(cold_instances.ColdInstanceError):
                await entry._cold.take("a", trio.current_time() + 1.0, is_waiting=False)

        virtual_time.run(main)


class RefusedNameTest(unittest.TestCase):
    """Names that no instance can be told, also if an earlier release accepted them."""

    def test_name_that_no_instance_can_be_told_is_refused(self):
        for name in REFUSED_NAMES:
            for field, item, place in (
                ("tenants", builders.TENANT, "organisations.name"),
                ("services", builders.SERVICE, "groups.name"),
            ):
                added = item | {"name": name, "apiKeys": ["k2"]}
                text = builders.build_configuration(**{field: [item, added]})
                with self.subTest(name=name[:20], field=field):
                    with self.assertRaises(checks.CheckError) as caught:
                        documents.decode_document(text)
                    self.assertEqual(place, caught.exception.field)
                    self.assertLess(len(str(caught.exception)), 1000)

    def test_items_refused_since_are_left_out_and_the_others_are_in_force(self):
        for name in REFUSED_NAMES:
            tenant = builders.TENANT | {"name": name, "apiKeys": ["k2"]}
            service = builders.SERVICE | {"name": name}
            route = builders.ROUTE | {"host": "other", "service": name}
            text = builders.build_configuration(
                tenants=[tenant, builders.TENANT],
                services=[service, builders.SERVICE],
                routes=[route, builders.ROUTE],
            )
            with self.subTest(name=name[:20]):
                document = documents.read_document(text)
                self.assertEqual(["draw"], list(document.databases))
                self.assertEqual(["lots"], list(document.groups))
                self.assertEqual(["ward"], list(document.organisations))

    def test_text_without_faults_is_read_as_it_was_accepted(self):
        text = builders.build_configuration()
        self.assertEqual(documents.decode_document(text), documents.read_document(text))


class ListenerTest(unittest.TestCase):
    def test_failing_listener_does_not_stop_the_others(self):
        calls = []

        def fail():
            raise ValueError("a test")

        async def main():
            entry = relay_builders.build_entry(relay_builders.build_document(1))
            entry.databases._listeners[:0] = [fail]
            entry.databases.register_listener(lambda: calls.append("later"))
            relay_builders.receive_text(entry, 2, b"x")

        virtual_time.run(main)
        self.assertEqual(["later"], calls)


if __name__ == "__main__":
    unittest.main()
