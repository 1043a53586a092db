"""Tests of authorisation while operators change keys, selectors and drains."""

import random
import types
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.configuration import indexes
from sedgeswitch.configuration.tests import builders as configuration_builders
from sedgeswitch.keys import key_format
from sedgeswitch.statements import authorisation
from sedgeswitch.statements.tests import builders

SELECTOR_FIELDS = authorisation.SelectorFields(builders.GROUP, "lookup", "read")
FRESHNESS_BOUND_S = 5.0


def build_index(**sections):
    groups = {builders.GROUP: {"database": "draw"}}
    selectors = {"desk": {"organisations": ["ward-4"], "groups": [builders.GROUP]}}
    sections = {"groups": groups, "selectors": selectors, **sections}
    return indexes.Index(configuration_builders.build_document(**sections))


class AuthorisationTest(unittest.TestCase):
    def run_authorised(self, scenario, evacuated=()):
        async def run(group, host):  # noqa: ARG001
            configuration = types.SimpleNamespace(
                index=build_index(), get_age_s=lambda now_s: now_s
            )
            authoriser = authorisation.Authoriser(
                configuration,
                host.backends,
                FRESHNESS_BOUND_S,
                lambda server: server.instance in evacuated,
            )
            await trio.lowlevel.checkpoint()
            return scenario(authoriser, configuration)

        return builders.run_group(run)

    def get_refusal_status(self, function, *arguments):
        with self.assertRaises(verdicts.RefusedError) as caught:
            function(*arguments)
        self.assertIs(caught.exception.refusal.verdict, verdicts.Verdict.NOT_RUN)
        return caught.exception.refusal.status

    def test_drain_applies_to_work_authorised_before_it(self):
        def scenario(authoriser, configuration):
            eligibility = authoriser.authorise("ward-4", SELECTOR_FIELDS).eligibility
            before = eligibility.may_run_on("draw-1")
            configuration.index = build_index(
                backend_servers={"draw-1": {"labels": {"cleaning": "monday"}}},
                drains={"monday": {"labels": {"cleaning": "monday"}}},
            )
            names = [server.instance for server in eligibility.list_servers()]
            return before, eligibility.may_run_on("draw-1"), names

        found = self.run_authorised(scenario)
        self.assertEqual(found, (True, False, ["draw-0", "draw-2"]))

    def test_evacuation_applies_to_work_authorised_before_it(self):
        evacuated = set()

        def scenario(authoriser, configuration):  # noqa: ARG001
            eligibility = authoriser.authorise("ward-4", SELECTOR_FIELDS).eligibility
            before = eligibility.may_run_on("draw-1")
            evacuated.add("draw-1")
            names = [server.instance for server in eligibility.list_servers()]
            return before, eligibility.may_run_on("draw-1"), names

        found = self.run_authorised(scenario, evacuated)
        self.assertEqual(found, (True, False, ["draw-0", "draw-2"]))

    def test_work_is_refused_at_once_if_all_servers_are_evacuated(self):
        def scenario(authoriser, configuration):  # noqa: ARG001
            return self.get_refusal_status(
                authoriser.authorise, "ward-4", SELECTOR_FIELDS
            )

        evacuated = {"draw-0", "draw-1", "draw-2"}
        self.assertEqual(self.run_authorised(scenario, evacuated), 503)

    def test_key_withdrawn_while_request_waits_is_refused(self):
        key = key_format.generate_key(random.Random(1).randbytes)

        def build_keyed(withdrawn):
            keys = {key.key_id: {"digest": key.digest, "withdrawn": withdrawn}}
            ward = {"rate_per_s": 10, "burst": 20, "keys": keys}
            return build_index(organisations={"ward-4": ward})

        def scenario(authoriser, configuration):
            configuration.index = build_keyed(withdrawn=False)
            header = f"Bearer {key.plain}"
            self.assertEqual(authoriser.check_caller(header, 1.0), "ward-4")
            eligibility = authoriser.authorise(
                "ward-4", SELECTOR_FIELDS, header
            ).eligibility
            self.assertTrue(eligibility.may_run_on("draw-1"))
            configuration.index = build_keyed(withdrawn=True)
            return [
                self.get_refusal_status(eligibility.may_run_on, "draw-1"),
                self.get_refusal_status(eligibility.list_servers),
            ]

        self.assertEqual(self.run_authorised(scenario), [401, 401])

    def test_work_without_matching_selector_is_refused(self):
        def scenario(authoriser, configuration):  # noqa: ARG001
            unknown = SELECTOR_FIELDS._replace(group="other")
            return [
                self.get_refusal_status(
                    authoriser.authorise, "ward-5", SELECTOR_FIELDS
                ),
                self.get_refusal_status(authoriser.authorise, None, SELECTOR_FIELDS),
                self.get_refusal_status(authoriser.authorise, "ward-4", unknown),
            ]

        self.assertEqual(self.run_authorised(scenario), [403, 401, 404])

    def test_invalid_key_or_stale_configuration_is_refused(self):
        def scenario(authoriser, configuration):  # noqa: ARG001
            check = authoriser.check_caller
            self.assertIsNone(check(None, 1.0))
            return [
                self.get_refusal_status(check, "Bearer unknown", 1.0),
                self.get_refusal_status(check, "Basic a", 1.0),
                self.get_refusal_status(check, None, FRESHNESS_BOUND_S + 1.0),
            ]

        self.assertEqual(self.run_authorised(scenario), [401, 401, 503])
