"""Tests of allowed regions: what runs where, and what is refused."""

import unittest

import loguru
import trio

from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.observability import exposition
from sedgeswitch.relay import access
from sedgeswitch.relay.tests import builders
from sedgeswitch.routing import eligibility
from sedgeswitch.utils.tests import virtual_time


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


REGIONS = {"bagmati-a": "bagmati", "koshi-a": "koshi"}


def build_world(**zones):
    """Return a world whose primary is in bagmati, and its replicas in koshi."""
    world = builders.World()
    world.restrictions = eligibility.Restrictions(region_by_zone=REGIONS)
    for name, zone in (
        {"a": "bagmati-a", "b": "koshi-a", "c": "koshi-a"} | zones
    ).items():
        world.change_server(name, availability_zone=zone)
    return world


def run_in_world(body, **zones):
    async def main():
        await body(build_world(**zones))

    virtual_time.run(main)


async def observe_primary(world):
    """Let the host learn the position of the primary, so that replicas may be read."""
    world.restrict(2)
    [outcome] = await builders.run_texts(world.build_session(), b"WRITE x 1")
    assert outcome.failure is None
    world.replicate()
    await trio.sleep(0.1)


class AccessTest(unittest.TestCase):
    def check(self, database_regions, organisation_regions):
        world = build_world()
        world.restrict(2, database_regions, organisation_regions)
        return access.check_access(
            world.databases, "bounded", builders.KEY, 0.0
        ).allowed_regions

    def test_both_lists_apply(self):
        self.assertIsNone(self.check((), ()))
        self.assertEqual({"koshi"}, self.check(("koshi",), ()))
        self.assertEqual({"koshi"}, self.check((), ("koshi",)))
        self.assertEqual(
            {"koshi"}, self.check(("koshi", "mechi"), ("bagmati", "koshi"))
        )

    def test_lists_without_a_common_region_allow_none(self):
        self.assertEqual(frozenset(), self.check(("koshi",), ("bagmati",)))

    def test_caller_without_organisation_has_the_regions_of_the_database(self):
        world = build_world()
        database = (
            builders.build_document()
            .databases["bounded"]
            ._replace(is_public=True, allowed_regions=("koshi",))
        )
        document = builders.build_document(2, databases={"bounded": database})
        world.put_in_force(document)
        granted = access.check_access(world.databases, "bounded", "", 0.0)
        self.assertEqual({"koshi"}, granted.allowed_regions)
        wider = database._replace(allowed_regions=("koshi", "mechi"))
        document = documents.Document(3, {"bounded": wider})
        updated = access.update_regions(granted, document)
        self.assertEqual({"koshi", "mechi"}, updated.allowed_regions)

    def test_removed_database_keeps_the_regions_of_the_operation(self):
        world = build_world()
        world.restrict(2, ("koshi",))
        granted = access.check_access(world.databases, "bounded", builders.KEY, 0.0)
        updated = access.update_regions(granted, documents.Document(3))
        self.assertEqual({"koshi"}, updated.allowed_regions)


class StatementTest(unittest.TestCase):
    def assert_refused_at_once(self, outcome, started_s, *reasons):
        self.assertIs(sessions.Failure.OVERLOADED, outcome.failure)
        self.assertTrue(outcome.failure.has_no_effect)
        for reason in reasons:
            self.assertIn(reason, outcome.detail)
        self.assertLess(trio.current_time() - started_s, 0.05)

    def test_reads_run_only_on_replicas_in_allowed_regions(self):
        async def body(world):
            await observe_primary(world)
            world.restrict(3, ("koshi",))
            for _ in range(20):
                [outcome] = await builders.run_texts(
                    world.build_session("bounded"), b"READ x"
                )
                self.assertEqual(b"signed-b", outcome.signature)

        run_in_world(body, c="bagmati-a")

    def test_read_that_needs_a_primary_outside_is_refused_at_once(self):
        async def body(world):
            await observe_primary(world)
            world.restrict(3, ("koshi",))
            started_s = trio.current_time()
            for database in ("primary", "bounded"):
                world.instances["b"].failures = [sessions.Failure.OVERLOADED]
                world.instances["c"].failures = [sessions.Failure.OVERLOADED]
                session = world.build_session(database)
                [outcome] = await builders.run_texts(session, b"READ x")
                self.assert_refused_at_once(
                    outcome, started_s, "the primary a", "allowed regions: koshi"
                )
            self.assertEqual(
                [(b"WRITE x 1")], [row[0] for row in world.instances["a"].ran]
            )

        run_in_world(body)

    def test_write_that_needs_a_primary_outside_is_refused_at_once(self):
        async def body(world):
            world.restrict(2, ("koshi",))
            excluded = exposition.EXCLUSIONS._value.get()
            started_s = trio.current_time()
            [outcome] = await builders.run_texts(world.build_session(), b"WRITE x 1")
            self.assert_refused_at_once(outcome, started_s, "the primary a")
            self.assertEqual([], world.log)
            self.assertEqual(excluded + 1, exposition.EXCLUSIONS._value.get())

        run_in_world(body)

    def test_write_runs_once_the_primary_has_moved_into_the_regions(self):
        async def body(world):
            world.restrict(2, ("koshi",))
            world.promote("b", 2, 2)
            [outcome] = await builders.run_texts(world.build_session(), b"WRITE x 1")
            self.assertEqual(b"signed-b", outcome.signature)

        run_in_world(body)

    def test_no_allowed_region_refuses_without_waiting_for_a_primary(self):
        async def body(world):
            world.groups.set_lease(0.0)
            started_s = trio.current_time()
            for regions in (("mechi",), ("koshi", "mechi")):
                world.restrict(world.document.version + 1, regions, ("bagmati",))
                for text in (b"READ x", b"WRITE x 1"):
                    session = world.build_session("bounded")
                    [outcome] = await builders.run_texts(session, text)
                    self.assert_refused_at_once(
                        outcome, started_s, "allowed regions: none"
                    )

        run_in_world(body)

    def test_regions_without_an_instance_refuse_without_waiting_for_a_primary(self):
        async def body(world):
            world.groups.set_lease(0.0)
            world.restrict(2, ("mechi",))
            started_s = trio.current_time()
            [outcome] = await builders.run_texts(world.build_session(), b"WRITE x 1")
            self.assert_refused_at_once(outcome, started_s, "allowed regions: mechi")

        run_in_world(body)

    def test_instance_of_unknown_region_runs_nothing(self):
        async def body(world):
            world.restrict(2, ("bagmati",))
            started_s = trio.current_time()
            [outcome] = await builders.run_texts(world.build_session(), b"WRITE x 1")
            self.assert_refused_at_once(outcome, started_s)

        run_in_world(body, a="zone-of-a-later-release")


class TransactionTest(unittest.TestCase):
    def test_transaction_on_a_primary_outside_is_refused(self):
        async def body(world):
            world.restrict(2, ("koshi",))
            outcomes = await builders.run_texts(
                world.build_session(), b"BEGIN", b"WRITE x 1"
            )
            self.assertIs(sessions.Failure.OVERLOADED, outcomes[1].failure)
            self.assertEqual([], world.instances["a"].ran)

        run_in_world(body)

    def test_read_only_transaction_runs_in_an_allowed_region(self):
        async def body(world):
            await observe_primary(world)
            world.restrict(3, ("koshi",))
            outcomes = await builders.run_texts(
                world.build_session("bounded"), b"BEGIN READ", b"READ x", b"COMMIT"
            )
            self.assertEqual([None] * 3, [outcome.failure for outcome in outcomes])
            self.assertIn(outcomes[1].signature, (b"signed-b", b"signed-c"))

        run_in_world(body)

    def run_with_change(self, text, regions):
        """Change the allowed regions in a transaction; return the next outcome."""
        result = []

        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            world.restrict(2, regions)
            result.extend(await builders.run_texts(session, text))
            result.append(list(world.log))
            result.append(world.instances["a"].ran)

        run_in_world(body)
        return result

    def test_statement_after_a_change_that_excludes_the_instance_is_aborted(self):
        for text in (b"READ x", b"WRITE y 1", b"COMMIT"):
            with self.subTest(text):
                outcome, log, ran = self.run_with_change(text, ("koshi",))
                self.assertIs(sessions.Failure.ABORTED, outcome.failure)
                self.assertEqual([], log)
                self.assertEqual(1, len(ran))

    def test_commit_after_a_change_that_allows_the_instance_runs(self):
        outcome, log, _ = self.run_with_change(b"COMMIT", ("bagmati",))
        self.assertIsNone(outcome.failure)
        self.assertEqual([b"WRITE x 1"], log)


if __name__ == "__main__":
    unittest.main()
