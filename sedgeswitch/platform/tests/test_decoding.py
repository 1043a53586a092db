"""Tests of decoding the platform's configuration, heartbeats and settings."""

import pathlib
import tempfile
import unittest

import msgspec

from sedgeswitch.databases import documents as product_documents
from sedgeswitch.membership import directory
from sedgeswitch.platform import announcements
from sedgeswitch.platform import documents
from sedgeswitch.platform import settings
from sedgeswitch.platform.tests import builders
from sedgeswitch.scheduling import orders
from sedgeswitch.transport import catalog
from sedgeswitch.transport import peer
from sedgeswitch.utils import checks


class ConfigurationTest(unittest.TestCase):
    def test_route_becomes_a_database(self):
        document = documents.decode_document(builders.build_configuration())
        database = document.databases["draw"]
        self.assertEqual(product_documents.Freshness.BOUNDED, database.freshness)
        self.assertEqual((2.0, 0.8, 1.5), database[4:6] + database[7:8])
        self.assertEqual(34, document.groups["lots"].max_connections)
        self.assertEqual(3.0, document.transaction_idle_s)

    def test_allowed_regions_and_cold_start_are_optional(self):
        document = documents.decode_document(builders.build_configuration())
        self.assertEqual((), document.databases["draw"].allowed_regions)
        self.assertEqual((), document.organisations["ward"].allowed_regions)
        group = document.groups["lots"]
        self.assertEqual((0.0, 0.0), (group.cold_start_s, group.cold_rate_per_s))

    def test_allowed_regions_and_cold_start_are_decoded(self):
        document = documents.decode_document(
            builders.build_configuration(
                routes=[builders.ROUTE | {"allowedRegions": ["bagmati", "koshi"]}],
                tenants=[builders.TENANT | {"allowedRegions": ["koshi"]}],
                services=[builders.SERVICE | {"coldStartS": 6, "coldPerS": 12.5}],
            )
        )
        database = document.databases["draw"]
        self.assertEqual(("bagmati", "koshi"), database.allowed_regions)
        self.assertEqual(("koshi",), document.organisations["ward"].allowed_regions)
        group = document.groups["lots"]
        self.assertEqual((6.0, 12.5), (group.cold_start_s, group.cold_rate_per_s))

    def test_unknown_fields_are_ignored(self):
        documents.decode_document(builders.build_configuration(later={"x": 1}))

    def test_invalid_configuration_raises(self):
        route, tenant = builders.ROUTE, builders.TENANT
        invalid = {
            "cut short": builders.build_configuration()[:-20],
            "not JSON": b"\xff\xfe",
            "no body": b"",
            # Guards against a RecursionError of the decoder that is not caught.
            "nested too deeply": b'{"version":' * 100_000,
            "unknown service": builders.build_configuration(services=[]),
            "same host and prefix": builders.build_configuration(
                routes=[route, route | {"name": "r-2"}]
            ),
            "no timeout": builders.build_configuration(
                routes=[route | {"timeoutMs": 0}]
            ),
            "unknown kind": builders.build_configuration(
                routes=[route | {"kind": "eventual"}]
            ),
            "unknown kind of a route behind another one": builders.build_configuration(
                routes=[
                    route,
                    route | {"pathPrefix": "/later", "kind": "eventual"},
                ]
            ),
            "shared key": builders.build_configuration(
                tenants=[tenant, tenant | {"name": "other"}]
            ),
            "same name": builders.build_configuration(
                tenants=[tenant, tenant | {"apiKeys": ["k2"]}]
            ),
            "version as text": builders.build_configuration(version="7"),
            "no version": builders.build_configuration(version=0),
            "version that messages cannot hold": builders.build_configuration(
                version=2**63
            ),
            "regions as text": builders.build_configuration(
                routes=[route | {"allowedRegions": "koshi"}]
            ),
            "region as number": builders.build_configuration(
                tenants=[tenant | {"allowedRegions": [3]}]
            ),
            "negative cold rate": builders.build_configuration(
                services=[builders.SERVICE | {"coldPerS": -1}]
            ),
            "negative cold start": builders.build_configuration(
                services=[builders.SERVICE | {"coldStartS": -1}]
            ),
            "routes missing": msgspec.json.encode({"version": 1, "services": []}),
        }
        for name, body in invalid.items():
            with self.subTest(name), self.assertRaises(checks.CheckError):
                documents.decode_document(body)


class HeartbeatTest(unittest.TestCase):
    def decode(self, **changes):
        body = builders.build_heartbeat(**changes)
        return announcements.decode_heartbeat("i-1", body, {"lots": 34})

    def test_heartbeat_announces_a_backend_server(self):
        server = self.decode().server
        self.assertEqual(("i-1", "lots", "10.0.0.9", 8080), server[:4])
        self.assertEqual((3, 34, False, False), server[6:])
        self.assertTrue(self.decode(state="draining").server.is_leaving)

    def test_instance_is_cold_only_in_a_group_that_limits_its_rate(self):
        body = builders.build_heartbeat(coldLeftMs=1200.5)
        for limited_groups, is_cold in ((("lots",), True), (("other",), False)):
            decoded = announcements.decode_heartbeat(
                "i-1", body, {"lots": 34}, limited_groups
            )
            self.assertEqual(is_cold, decoded.server.is_cold)

    def test_instance_without_remaining_cold_time_is_warm(self):
        without = builders.HEARTBEAT.keys() - {"coldLeftMs"}
        bodies = (
            builders.build_heartbeat(coldLeftMs=0),
            msgspec.json.encode({name: builders.HEARTBEAT[name] for name in without}),
        )
        for body in bodies:
            decoded = announcements.decode_heartbeat(
                "i-1", body, {"lots": 34}, ("lots",)
            )
            self.assertFalse(decoded.server.is_cold)

    def test_heartbeats_of_a_cold_instance_announce_the_same(self):
        """Guards against changes of the directory with each heartbeat."""
        decoded = {
            announcements.decode_heartbeat(
                "i-1",
                builders.build_heartbeat(coldLeftMs=left_ms),
                {"lots": 34},
                ("lots",),
            ).server.is_cold
            for left_ms in (6000, 5000, 1)
        }
        self.assertEqual({True}, decoded)

    def test_invalid_heartbeat_raises(self):
        for changes in (
            {"state": "resting"},
            {"service": "unknown"},
            {"address": "nowhere"},
            {"slots": "three"},
            {"coldLeftMs": "soon"},
            {"sequence": None},
            {"born": 1.5},
        ):
            with self.subTest(changes), self.assertRaises(checks.CheckError):
                self.decode(**changes)

    def test_outdated_heartbeat_is_rejected(self):
        heartbeat_filter = announcements.HeartbeatFilter()
        self.assertTrue(heartbeat_filter.accept(self.decode(sequence=5)))
        self.assertFalse(heartbeat_filter.accept(self.decode(sequence=4)))
        self.assertTrue(heartbeat_filter.accept(self.decode(sequence=1, born=2000)))
        self.assertFalse(heartbeat_filter.accept(self.decode(sequence=9)))

    def test_later_start_at_an_address_replaces_earlier_instance(self):
        heartbeat_filter = announcements.HeartbeatFilter()
        old = self.decode(born=1000)
        body = builders.build_heartbeat(born=2000, sequence=1)
        new = announcements.decode_heartbeat("i-2", body, {"lots": 34})
        heartbeat_filter.accept(old)
        self.assertTrue(heartbeat_filter.accept(new))
        self.assertEqual(["i-1"], heartbeat_filter.find_replaced(new))
        self.assertFalse(heartbeat_filter.accept(self.decode(born=1000, sequence=99)))


class MalformedHeartbeatTest(unittest.TestCase):
    """Guards against a heartbeat that ends each leader that receives it."""

    def test_values_out_of_range_are_refused(self):
        for changes in (
            {"slots": 2**40},
            {"slots": -1},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "no-address:8080"},
            {"sequence": 2**70},
            {"born": -(2**70)},
        ):
            body = builders.build_heartbeat(**changes)
            with self.subTest(changes), self.assertRaises(checks.CheckError):
                announcements.decode_heartbeat("i-1", body, {"lots": 34})

    def test_instance_id_that_is_no_name_is_refused(self):
        body = builders.build_heartbeat()
        for instance in ("", "i 1", "i-1\r\nQUERY", "i" * 1000):
            with self.subTest(instance), self.assertRaises(checks.CheckError):
                announcements.decode_heartbeat(instance, body, {"lots": 34})

    def test_connection_limit_out_of_range_can_be_sent_to_hosts(self):
        service = builders.SERVICE | {"maxConns": 2**40}
        document = documents.decode_document(
            builders.build_configuration(services=[service])
        )
        limits = {"lots": document.groups["lots"].max_connections}
        decoded = announcements.decode_heartbeat(
            "i-1", builders.build_heartbeat(), limits
        )
        catalog.encode_struct(directory.build_message(decoded.server))


class SettingsTest(unittest.TestCase):
    def load(self, **changes):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.json"
            path.write_bytes(msgspec.json.encode(builders.SETTINGS | changes))
            return settings.load_settings(path)

    def test_empty_list_of_internal_ports_is_rejected(self):
        with self.assertRaises(checks.CheckError):
            self.load(internalPorts=[])

    def test_regions_of_zones_are_optional(self):
        self.assertEqual({}, self.load().region_by_zone)
        regions = {"bagmati-a": "bagmati"}
        self.assertEqual(regions, self.load(zones=regions).region_by_zone)

    def test_seeds_become_control_peers_at_the_internal_port(self):
        loaded = self.load()
        self.assertEqual(
            {
                "control-10.0.0.2": peer.Address("10.0.0.2", 7560),
                "control-10.0.1.2": peer.Address("10.0.1.2", 7560),
            },
            loaded.control_peers,
        )
        self.assertEqual((5, 0.1, 20), loaded.tolerance)

    def test_voter_is_replaced_well_before_its_successor_must_have_caught_up(self):
        for catch_up_s, limit_s in ((6, 1.0), (9, 1.5), (0, 1.0)):
            with self.subTest(catch_up_s):
                loaded = self.load(bounds={"catchUpS": catch_up_s})
                self.assertAlmostEqual(limit_s, loaded.unresponsive_limit_s)

    def test_bound_of_evacuations_is_optional(self):
        self.assertEqual(5.0, self.load().evacuation_bound_s)
        loaded = self.load(bounds={"evacuateMs": 8000})
        self.assertEqual(8.0, loaded.evacuation_bound_s)

    def test_bound_of_evacuations_below_the_lease_is_rejected(self):
        # Guards against a bound that a host without contact to the leader exceeds.
        self.assertEqual(4.0, self.load(bounds={"evacuateMs": 4000}).evacuation_bound_s)
        for bound_ms in (3999, 0, -1):
            with self.subTest(bound_ms), self.assertRaises(checks.CheckError) as caught:
                self.load(bounds={"evacuateMs": bound_ms})
            self.assertIn("4000 ms", str(caught.exception))

    def test_contract_switches_scheduling_on(self):
        """An old settings file, or other contracts, must leave the queue as it is."""
        for contracts in (None, [], ["evacuation"]):
            with self.subTest(contracts):
                self.assertIsNone(self.load(contracts=contracts).scheduling)
        self.assertIsNone(self.load().scheduling)
        loaded = self.load(contracts=["evacuation", "pressure"])
        self.assertEqual(orders.DEFAULT_ORDER, loaded.scheduling)

    def test_invalid_settings_raise(self):
        for changes in ({"ip": 3}, {"seeds": ["x"]}, {"internalPorts": "7560"}):
            with self.subTest(changes), self.assertRaises(checks.CheckError):
                self.load(**changes)


class BoundaryTest(unittest.TestCase):
    def test_platform_names_stay_in_the_adapter(self):
        names = (
            "heartbeatUrl",
            "coldLeftMs",
            "WRONGNODE",
            "CONNLIMIT",
            "INDOUBT",
            "X-Sedgeswitch-",
            "apiKeys",
            "bindAddrs",
            "maxStalenessMs",
            "allowedRegions",
            "coldStartS",
            "coldPerS",
            "timeoutMs",
            "txIdleMs",
            "ratePerS",
        )
        root = pathlib.Path(settings.__file__).parent.parent
        found = [
            str(path)
            for path in root.rglob("*.py")
            if root / "platform" not in path.parents
            and any(name in path.read_text() for name in names)
        ]
        self.assertEqual([], found)
