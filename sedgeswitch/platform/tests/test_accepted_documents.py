"""Tests that a configuration which is accepted is in force as a whole.

They guard against an item that the leader accepts and that a later check, message or
task of the leader or of an entry host rejects: nobody was served any more.
"""

import tempfile
import unittest

import loguru

from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.daemon.tests import relay_builders
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.platform import documents
from sedgeswitch.platform.tests import builders
from sedgeswitch.transport import catalog
from sedgeswitch.utils.tests import virtual_time

TENANT_NAMES = ("ward-7@sindhuli", "x" * 70, "\u0935\u0921\u093e")


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


def encode(value):
    """Return a message as its receiver decodes it."""
    return catalog.decode_struct(type(value), catalog.encode_struct(value))


class _Hosts:
    """A leader and an entry host with the same configuration in force."""

    def __init__(self, test, text):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        document = documents.decode_document(text)
        self.control = relay_builders.build_control(
            folder.name, document, [relay_builders.build_server("a", "bagmati-a")], "a"
        )
        self.control.databases.version = document.version
        member = members_machine.Member("host-1", "1", "bagmati-a", "10.0.0.1", 7000)
        command = members_machine.build_command(member, False)
        self.control.members.apply(2, catalog.encode_struct(command))
        self.entry = relay_builders.build_entry(text, decode=documents.decode_document)
        self.now_s = 100.0
        self.control._start_grants(self.now_s, 1)

    def replace(self, text):
        """Put another configuration in force on both."""
        document = documents.decode_document(text)
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
            organisations = documents.decode_document(text).organisations
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


if __name__ == "__main__":
    unittest.main()
