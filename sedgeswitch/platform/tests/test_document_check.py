"""Tests of the check of a configuration file before it is sent."""

import json
import pathlib
import tempfile
import unittest

import hypothesis
import msgspec
from cleo.io.outputs import buffered_output
from hypothesis import strategies

from sedgeswitch.cli import __main__ as cli
from sedgeswitch.cli import check_document_command
from sedgeswitch.cli import environment as environments
from sedgeswitch.cli import exit_codes
from sedgeswitch.databases import findings
from sedgeswitch.databases import formats
from sedgeswitch.platform import documents
from sedgeswitch.platform.tests import builders
from sedgeswitch.platform.tests import document_builders
from sedgeswitch.utils import checks

FORMAT = formats.get_format(formats.RELAY)


def find_leader_error(text):
    try:
        documents.decode_document(text)
    except checks.CheckError as error:
        return error
    return None


def list_warnings(text, *, with_fleet=False, regions=document_builders.REGIONS):
    fleet = findings.Fleet()
    if with_fleet:
        encoded = msgspec.json.encode(document_builders.INSTANCES)
        fleet = findings.Fleet(FORMAT.decode_instances(encoded), regions)
    report = check_document_command.build_report(
        FORMAT, FORMAT.check(text), fleet=fleet
    )
    return [warning.place for warning in report.warnings]


def list_differences(before, after):
    report = check_document_command.build_report(
        FORMAT, FORMAT.check(after), FORMAT.check(before)
    )
    return {item.place: item for item in report.differences}


class ErrorTest(unittest.TestCase):
    def test_valid_file_has_no_errors(self):
        text = msgspec.json.encode(document_builders.build_plain())
        self.assertEqual((), FORMAT.check(text).errors)

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(document_builders.BROKEN_FIELDS),
            unique_by=lambda broken_field: broken_field[0],
        )
    )
    def test_every_error_is_listed_with_its_place(self, broken_fields):
        """Guards against errors that hide each other, and errors that follow."""
        text = document_builders.break_fields(
            document_builders.build_plain(), broken_fields
        )
        places = [error.place for error in FORMAT.check(text).errors]
        self.assertEqual(sorted(place for *_, place in broken_fields), sorted(places))

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(document_builders.TEXTS)
    def test_check_accepts_what_the_leader_accepts(self, text):
        errors = FORMAT.check(text).errors
        self.assertEqual(find_leader_error(text) is None, errors == ())

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(document_builders.TEXTS)
    def test_first_error_is_the_one_of_the_leader(self, text):
        checked = FORMAT.check(text)
        if checked.document is not None and checked.errors:
            error = find_leader_error(text)
            self.assertEqual(
                f"expected {error.allowed}, got {error.given!r}",
                checked.errors[0].detail,
            )

    def test_routes_of_a_service_with_a_malformed_name_are_not_reported(self):
        plain = document_builders.build_plain()
        plain["services"][0]["name"] = 3
        text = msgspec.json.encode(plain)
        places = [error.place for error in FORMAT.check(text).errors]
        self.assertEqual(["services[0].name"], places)

    def test_fields_of_a_malformed_item_cause_no_further_errors(self):
        plain = document_builders.build_plain()
        plain["routes"][1] = "no object"
        text = msgspec.json.encode(plain)
        places = [error.place for error in FORMAT.check(text).errors]
        self.assertEqual(["routes[1]"], places)

    def test_fault_of_a_database_is_at_its_first_route(self):
        first = builders.ROUTE | {"timeoutMs": 0}
        later = builders.ROUTE | {"pathPrefix": "/later"}
        text = builders.build_configuration(routes=[first, later])
        places = [error.place for error in FORMAT.check(text).errors]
        self.assertEqual(["routes[0].timeoutMs"], places)

    def test_repeated_location_is_an_error_of_the_later_route(self):
        route = builders.ROUTE | {"name": "r-2"}
        text = builders.build_configuration(routes=[builders.ROUTE, route])
        places = [error.place for error in FORMAT.check(text).errors]
        self.assertEqual(["routes[1]"], places)


class WarningTest(unittest.TestCase):
    def test_consistent_file_has_no_warnings(self):
        text = document_builders.build_text(
            route={"allowedRegions": ["koshi"]},
            service={"coldStartS": 6, "coldPerS": 12},
            tenant={"ratePerS": 3, "allowedRegions": ["koshi"]},
        )
        self.assertEqual([], list_warnings(text, with_fleet=True))

    def test_contradictions_are_found_without_a_fleet(self):
        build = document_builders.build_text
        for place, text in {
            "routes[0].targetLatencyMs": build(route={"targetLatencyMs": 2001}),
            "limits.txIdleMs": build(limits={"txIdleMs": 1999}),
            "tenants[0].ratePerS": build(tenant={"apiKeys": []}),
            "tenants[0].burst": build(tenant={"burst": 0.9}),
            "services[0].coldPerS": build(service={"coldPerS": 5}),
            "tenants[0].allowedRegions": build(
                route={"allowedRegions": ["koshi"]},
                tenant={"allowedRegions": ["mechi"]},
            ),
        }.items():
            with self.subTest(place):
                self.assertEqual([place], list_warnings(text))

    def test_route_behind_another_and_its_limits_are_found(self):
        later = builders.ROUTE | {
            "name": "r-2",
            "pathPrefix": "/later",
            "timeoutMs": 1000,
        }
        # An explicit default equals a missing field.
        first = builders.ROUTE | {"public": False}
        del later["public"]
        text = builders.build_configuration(routes=[first, later])
        self.assertEqual(["routes[1]", "routes[1].timeoutMs"], list_warnings(text))

    def test_contradictions_with_the_fleet_are_found(self):
        build = document_builders.build_text
        low_rate = {"ratePerS": 3}
        spare = builders.SERVICE | {"name": "spare"}
        # Two instances of three slots at a target latency of 0.8 s serve 7.5/s, those
        # of one region 3.75/s.
        for places, text in (
            (["tenants[0].ratePerS"], build(tenant={"ratePerS": 7.6})),
            ([], build(tenant={"ratePerS": 7.5})),
            (
                ["tenants[0].ratePerS"],
                build(tenant={"ratePerS": 3.8, "allowedRegions": ["koshi"]}),
            ),
            (
                ["services[1]"],
                build(tenant=low_rate, services=[builders.SERVICE, spare]),
            ),
            (
                ["routes[0].allowedRegions"],
                build(tenant=low_rate, route={"allowedRegions": ["mechi"]}),
            ),
            (
                ["tenants[0].allowedRegions"],
                build(tenant=low_rate | {"allowedRegions": ["mechi"]}),
            ),
            (
                ["routes[0].allowedRegions"],
                build(tenant=low_rate, route={"allowedRegions": ["koshi", "kosi"]}),
            ),
        ):
            with self.subTest(places):
                self.assertEqual(places, list_warnings(text, with_fleet=True))

    def test_capacity_counts_instances_of_all_databases_of_a_service(self):
        """Guards against a warning where two databases divide the regions."""
        routes = [
            builders.ROUTE | {"host": region, "allowedRegions": [region]}
            for region in ("bagmati", "koshi")
        ]
        for rate_per_s, places in ((7.5, []), (7.6, ["tenants[0].ratePerS"])):
            text = document_builders.build_text(
                routes=routes, tenant={"ratePerS": rate_per_s}
            )
            with self.subTest(rate_per_s):
                self.assertEqual(places, list_warnings(text, with_fleet=True))

    def test_instance_of_an_unknown_service_is_found(self):
        text = document_builders.build_text(
            services=[builders.SERVICE | {"name": "other"}],
            route={"service": "other"},
            tenant={"ratePerS": 3},
        )
        self.assertEqual(
            ["services[0]", "instances.i-1", "instances.i-2"],
            list_warnings(text, with_fleet=True),
        )

    def test_regions_are_not_judged_without_the_regions_of_zones(self):
        text = document_builders.build_text(
            tenant={"ratePerS": 3}, route={"allowedRegions": ["mechi"]}
        )
        self.assertEqual([], list_warnings(text, with_fleet=True, regions=None))

    @hypothesis.settings(max_examples=150, deadline=None)
    @hypothesis.given(document_builders.TEXTS, document_builders.TEXTS)
    def test_any_two_files_are_reported(self, text, other):
        """Guards against a rule that fails on a document with errors."""
        list_warnings(text, with_fleet=True)
        in_force = FORMAT.check(other)
        if in_force.document is not None:
            list_differences(other, text)
        self.assertEqual({}, list_differences(text, text))


class DifferenceTest(unittest.TestCase):
    def test_items_are_added_and_removed(self):
        before = document_builders.build_text()
        after = document_builders.build_text(route={"host": "sign-up"}, tenants=[])
        found = list_differences(before, after)
        # The added and the removed route are both at routes[0].
        self.assertEqual({"routes[0]", "tenants[0]"}, found.keys())
        self.assertEqual(
            "1 removed: callers with them are refused", found["tenants[0]"].effect
        )

    def test_callers_of_a_renamed_organisation_are_not_called_refused(self):
        report = check_document_command.build_report(
            FORMAT,
            FORMAT.check(document_builders.build_text(tenant={"name": "other"})),
            FORMAT.check(document_builders.build_text()),
        )
        self.assertEqual(
            ["1 moved to another organisation, whose limits apply"],
            [item.effect for item in report.differences if item.change == "removed"],
        )

    def test_fields_are_compared_in_the_units_of_the_file(self):
        before = document_builders.build_text()
        after = document_builders.build_text(
            route={"timeoutMs": 1000, "kind": "primary"},
            service={"maxConns": 40},
            tenant={"name": "ward", "ratePerS": 20, "burst": 80},
            limits={"txIdleMs": 4000},
        )
        found = list_differences(before, after)
        values = {place: (item.before, item.after) for place, item in found.items()}
        self.assertEqual(
            {
                "routes[0].timeoutMs": (2000, 1000),
                "routes[0].kind": ("bounded", "primary"),
                "services[0].maxConns": (34, 40),
                "tenants[0].ratePerS": (58, 20),
                "tenants[0].burst": (58, 80),
                "limits.txIdleMs": (3000, 4000),
            },
            values,
        )
        self.assertEqual(
            "requests above it are refused", found["tenants[0].ratePerS"].effect
        )
        self.assertIn("ended earlier", found["routes[0].timeoutMs"].effect)

    def test_missing_limit_is_unlimited(self):
        tenant = {"name": "ward", "apiKeys": ["k1"]}
        found = list_differences(
            document_builders.build_text(tenants=[tenant]),
            document_builders.build_text(),
        )
        rate = found["tenants[0].ratePerS"]
        self.assertEqual((None, 58), (rate.before, rate.after))
        self.assertEqual("requests above it are refused", rate.effect)

    def test_keys_are_counted_by_what_happens_to_their_callers(self):
        def build(first, second):
            return document_builders.build_text(
                tenants=[
                    builders.TENANT | {"apiKeys": first},
                    builders.TENANT | {"name": "other", "apiKeys": second},
                ]
            )

        found = list_differences(
            build(["k1", "k2", "k3"], []), build(["k1", "k4"], ["k2"])
        )
        self.assertEqual(
            "1 removed: callers with them are refused; 1 moved to another organisation,"
            " whose limits apply; 1 added: callers with them are served",
            found["tenants[0].apiKeys"].effect,
        )

    def test_version_that_is_not_higher_is_a_warning(self):
        text = document_builders.build_text()
        report = check_document_command.build_report(
            FORMAT, FORMAT.check(text), FORMAT.check(text)
        )
        self.assertEqual(["version"], [item.place for item in report.warnings])


class CommandTest(unittest.TestCase):
    def run_command(self, text, *options, **files):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "document.json"
            path.write_bytes(text)
            arguments = ["check-document", str(path), *options]
            for name, content in files.items():
                path = pathlib.Path(folder) / name
                path.write_bytes(content)
                arguments += [f"--{name}", str(path)]
            return self.run_arguments(arguments)

    def run_arguments(self, arguments):
        output = buffered_output.BufferedOutput()
        errors = buffered_output.BufferedOutput()
        exit_code = cli.run(arguments, environments.build_environment(), output, errors)
        return exit_code, output.fetch(), errors.fetch()

    def test_text_lists_errors_warnings_and_differences(self):
        text = document_builders.build_text(
            route={"timeoutMs": 0}, tenant={"burst": 0.5}
        )
        exit_code, output, errors = self.run_command(
            text, against=document_builders.build_text(version=6)
        )
        self.assertEqual((exit_codes.ExitCode.REFUSED, ""), (exit_code, errors))
        self.assertEqual(
            "error: routes[0].timeoutMs: expected a time in seconds above 0, got 0.0\n"
            "warning: tenants[0].burst: 0.5 is less than one operation\n"
            "~ routes[0].timeoutMs ('draw') 2000.0 -> 0.0: statements that take longer"
            " are ended earlier\n"
            "~ tenants[0].burst ('ward') 58.0 -> 0.5: shorter bursts are admitted;"
            " requests above it are refused\n"
            "errors: 1, warnings: 1, differences: 2\n",
            output,
        )

    def test_json_has_the_same_content(self):
        text = document_builders.build_text(tenant={"burst": 0.5})
        exit_code, output, _ = self.run_command(
            text, "--json", against=document_builders.build_text(version=6)
        )
        self.assertEqual(exit_codes.ExitCode.OK, exit_code)
        report = json.loads(output)
        self.assertEqual([], report["errors"])
        self.assertEqual("tenants[0].burst", report["warnings"][0]["place"])
        self.assertEqual(
            {
                "change": "changed",
                "place": "tenants[0].burst",
                "name": "ward",
                "before": 58.0,
                "after": 0.5,
            },
            {
                name: value
                for name, value in report["differences"][0].items()
                if name != "effect"
            },
        )

    def test_files_that_cannot_be_read_have_their_own_exit_code(self):
        usage = exit_codes.ExitCode.USAGE
        exit_code, _, errors = self.run_arguments(["check-document", "/does/not/exist"])
        self.assertEqual(usage, exit_code)
        self.assertIn("/does/not/exist", errors)
        text = document_builders.build_text()
        for files in (
            {"against": b"{}"},
            {"instances": b"[3]"},
            {"instances": b'[{"id":"i","service":"s","zone":"z","slots":-1}]'},
            {"regions": b"[]"},
            {"regions": b"[" * 100_000},
        ):
            with self.subTest(files):
                exit_code, output, errors = self.run_command(text, **files)
                self.assertEqual((usage, ""), (exit_code, output))
                self.assertIn("error: ", errors)

    def test_keys_are_never_printed(self):
        secret = document_builders.SECRET
        shared = [
            builders.TENANT | {"apiKeys": [secret]},
            builders.TENANT | {"name": "other", "apiKeys": [secret]},
        ]
        plain = builders.TENANT | {"apiKeys": secret}
        moved = [builders.TENANT | {"apiKeys": ["k1"]}, shared[1]]
        before = document_builders.build_text(tenants=shared[:1])
        for tenants in (shared, [plain], moved, [], [secret]):
            text = document_builders.build_text(tenants=tenants)
            for options in ((), ("--json",)):
                with self.subTest(tenants=tenants, options=options):
                    _, output, errors = self.run_command(text, *options, against=before)
                    self.assertNotIn(secret, output + errors)

    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(strategies.binary(max_size=60))
    @hypothesis.example(b"[" * 100_000)
    @hypothesis.example(b'{"version":' * 100_000)
    @hypothesis.example(b'{"version":1e999}')
    @hypothesis.example(b'{"version":"\\ud800"}')
    @hypothesis.example(b"\xff")
    @hypothesis.example(b"null")
    def test_random_bytes_are_an_error(self, text):
        exit_code, output, errors = self.run_command(text)
        self.assertEqual((exit_codes.ExitCode.REFUSED, ""), (exit_code, errors))
        self.assertTrue(output.startswith("error: "))

    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(strategies.data())
    def test_damaged_file_is_checked_without_a_traceback(self, data):
        text = bytearray(document_builders.build_text())
        position = data.draw(strategies.integers(0, len(text) - 1))
        text[position] = data.draw(strategies.integers(0, 255))
        exit_code, _, errors = self.run_command(bytes(text))
        is_accepted = find_leader_error(bytes(text)) is None
        self.assertEqual((not is_accepted, ""), (bool(exit_code), errors))


if __name__ == "__main__":
    unittest.main()
