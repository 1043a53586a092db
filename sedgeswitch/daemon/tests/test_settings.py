import json
import pathlib
import tempfile
import unittest

from sedgeswitch import settings
from sedgeswitch.configuration import documents
from sedgeswitch.utils import checks

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


class SettingsTest(unittest.TestCase):
    def test_example_is_valid(self):
        loaded = settings.build_settings(settings.build_example_settings())
        self.assertEqual(loaded.callers, settings.Listen("10.0.0.1", 7000))
        self.assertEqual(loaded.heartbeat_interval_s, 0.5)

    def test_error_names_the_field_the_allowed_and_the_given_value(self):
        listen = {"host": "127.0.0.1", "port": 0}
        cases = [
            ({"host_id": "a b"}, "host_id: expected 1 to 64 letters"),
            ({"roles": ["proxy"]}, "roles[0]: expected 'entry' or 'control', got"),
            ({"roles": []}, "roles: expected 'entry', 'control' or both"),
            ({"callers": listen}, "callers.port: expected a whole number from 1 to"),
            ({"callers": 7000}, "callers: expected an object, got 7000"),
            ({"lease": 2}, "lease: expected one of the fields host_id"),
            ({"lease_s": "2"}, "lease_s: expected a number from 0.01 to 3600"),
            ({"lease_s": 0.9}, "lease_s: expected a number from 1.0"),
            ({"pool": {"size": 3}}, "pool.size: expected one of the fields"),
            ({"statsd": {"host": "h"}}, "statsd.port: expected a whole number"),
            ({"trace_sample_share": 2}, "trace_sample_share: expected a number from 0"),
            ({"log_level": "LOUD"}, "log_level: expected 'DEBUG' or"),
            ({"routing_policy": "best"}, "routing_policy: expected"),
            ({"control_hosts": []}, "control_hosts: expected at least one"),
            ({"operator_token_digest": "x"}, "operator_token_digest: expected a SHA"),
        ]
        for change, message in cases:
            with self.subTest(change=change):
                document = {**settings.build_example_settings(), **change}
                with self.assertRaises(checks.CheckError) as caught:
                    settings.build_settings(document)
                self.assertIn(message, str(caught.exception))

    def test_error_names_the_missing_field(self):
        document = settings.build_example_settings()
        del document["data_folder"]
        with self.assertRaisesRegex(checks.CheckError, "data_folder: .*'nothing'"):
            settings.build_settings(document)

    def test_error_of_malformed_json_names_the_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_text('{"host_id": ')
            with self.assertRaisesRegex(checks.CheckError, "settings.json: .*JSON"):
                settings.load_settings(path)


class ExamplesTest(unittest.TestCase):
    def test_files_of_each_example_are_consistent(self):
        for name, host_count in (("daura-lots", 7), ("rijeka", 6)):
            with self.subTest(example=name):
                folder = EXAMPLES / name
                paths = sorted(folder.glob("settings/*.json"))
                hosts = [settings.load_settings(path) for path in paths]
                self.assertEqual(len(hosts), host_count)
                self.assertEqual(len({host.control_hosts for host in hosts}), 1)
                control_ids = {item.host_id for item in hosts[0].control_hosts}
                for host in hosts:
                    is_control = settings.CONTROL_ROLE in host.roles
                    self.assertEqual(is_control, host.host_id in control_ids)
                body = (folder / "configuration.json").read_bytes()
                document = documents.decode_document(body)
                announced = json.loads((folder / "instances.json").read_text())
                instances = announced["instances"]
                groups = [item["group"] for item in instances]
                self.assertEqual(sorted(groups), sorted([*document.groups] * 3))
                ports = [item["port"] for item in instances]
                ports += [host.callers.port for host in hosts]
                ports += [host.peers.port for host in hosts]
                self.assertEqual(len(set(ports)), len(ports))
