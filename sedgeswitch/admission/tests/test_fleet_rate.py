import random
import unittest

import hypothesis
from hypothesis import strategies

from sedgeswitch.admission import grantor
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages
from sedgeswitch.admission import settings
from sedgeswitch.admission.tests import builders
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks

DRIFT = settings.Settings().drift
HOST_COUNT = 3

DELAYS = strategies.sampled_from([0.0, 0.01, 0.3, 1.9, 2.5])
HOSTS = strategies.integers(0, HOST_COUNT - 1)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("draw"),
        HOSTS,
        strategies.lists(DELAYS, max_size=2),
        strategies.one_of(strategies.none(), DELAYS),
    ),
    strategies.tuples(strategies.just("exchange"), HOSTS),
    strategies.tuples(strategies.just("take"), HOSTS, strategies.integers(1, 30)),
    strategies.tuples(strategies.just("advance"), strategies.floats(0.0, 2.5)),
    strategies.tuples(strategies.just("restart"), HOSTS),
    strategies.tuples(strategies.just("change_leader")),
)


def run_step(fleet, step):
    name, *arguments = step
    if name == "take":
        host, count = arguments
        for _ in range(count):
            fleet.take(host)
    else:
        getattr(fleet, name)(*arguments)


def build_up_tokens(fleet, host):
    """Let a host prefetch tokens by creating demand for them."""
    for _ in range(4):
        for _ in range(3):
            fleet.take(host)
        fleet.draw(host)
        fleet.advance(0.021)


def spend_all(fleet, host):
    """Request more tokens at a host than it can be granted."""
    for _ in range(6):
        for _ in range(40):
            fleet.take(host)
        fleet.draw(host)
        fleet.advance(0.021)


def spend_available(fleet, host):
    """Spend the tokens that a host has, without a draw."""
    for _ in range(40):
        fleet.take(host)


def change_leader_and_report(fleet, host, pause_s=0.0):
    """Change the leader and let all hosts report to it, `host` first."""
    fleet.change_leader()
    fleet.advance(pause_s)
    for offset in range(HOST_COUNT):
        fleet.exchange((host + offset) % HOST_COUNT)


def choose_random_step(fleet, rng):
    host = rng.randrange(HOST_COUNT)
    delays = [rng.choice([0.0, 0.01, 0.01, 0.3, 1.9]) for _ in range(2)]
    reply_delay_s = rng.choice([None, 0.01, 1.5, 1.9])
    steps = [
        (8, lambda: fleet.exchange(host)),
        (6, lambda: fleet.draw(host, delays[: rng.randrange(3)], reply_delay_s)),
        (6, lambda: fleet.take(host)),
        (8, lambda: build_up_tokens(fleet, host)),
        (8, lambda: spend_all(fleet, host)),
        (10, lambda: fleet.advance(rng.choice([0.005, 0.05, 0.3, 1.0, 2.1, 6.0]))),
        (3, lambda: fleet.restart(host)),
        (2, fleet.change_leader),
        (4, lambda: change_leader_and_report(fleet, host, rng.choice([0.0, 0.0, 1.0]))),
        (4, lambda: spend_available(fleet, host)),
    ]
    weights, actions = zip(*steps, strict=True)
    return rng.choices(actions, weights)[0]


class FleetBoundTest(unittest.TestCase):
    """The fleet spends no more than rate and burst, whatever is lost or restarted."""

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        steps=strategies.lists(STEPS, max_size=60),
        drifts=strategies.lists(
            strategies.sampled_from([-DRIFT, 0.0, DRIFT]),
            min_size=HOST_COUNT,
            max_size=HOST_COUNT,
        ),
        burst=strategies.sampled_from([1, 2, 10, 100]),
        rate_per_s=strategies.sampled_from([0.5, 10.0, 200.0]),
    )
    def test_any_history_spends_within_rate_and_burst(
        self, steps, drifts, burst, rate_per_s
    ):
        clocks = [builders.Clock(1e4 * i, drift) for i, drift in enumerate(drifts)]
        fleet = builders.Fleet(settings.Limit(rate_per_s, burst), clocks)
        for step in steps:
            run_step(fleet, step)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_long_random_history_spends_within_rate_and_burst(self):
        for seed in range(120):
            rng = random.Random(seed)
            clocks = [
                builders.Clock(rng.uniform(0, 1e4), rng.choice([-DRIFT, DRIFT]))
                for _ in range(HOST_COUNT)
            ]
            limit = settings.Limit(rng.choice([4.0, 20.0]), rng.choice([2, 20, 100]))
            share = rng.choice([0.2, 0.5])
            prefetch_s = rng.choice([0.25, 2.0])
            given = settings.Settings(
                host_share_max=share, prefetch_s=prefetch_s, demand_window_s=prefetch_s
            )
            fleet = builders.Fleet(limit, clocks, given)
            for _ in range(150):
                choose_random_step(fleet, rng)()
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, f"seed {seed}")
            self.assertGreater(fleet.spent, 0, f"seed {seed}")

    def test_fast_leader_clock_adds_no_tokens(self):
        given = settings.Settings(drift=0.1)
        clocks = [builders.Clock(0.0, given.drift)] * HOST_COUNT
        fleet = builders.Fleet(settings.Limit(200.0, 10), clocks, given)
        for _ in range(20):
            spend_all(fleet, 0)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_new_leader_counts_unreported_hosts_as_holding_tokens(self):
        given = settings.Settings(prefetch_s=2.0, demand_window_s=2.0)
        clocks = [builders.Clock(host) for host in range(HOST_COUNT)]
        fleet = builders.Fleet(settings.Limit(20.0, 20), clocks, given)
        for host in (0, 1, 2, 1, 2):
            fleet.exchange(host)
            build_up_tokens(fleet, host)
        fleet.advance(1.0)
        for host in (1, 2, 1, 2):
            fleet.exchange(host)
        fleet.change_leader()
        fleet.exchange(0)
        fleet.advance(1.2)
        spend_all(fleet, 0)
        available_tokens = [
            fleet.host_limiters[host].get_available_tokens(
                builders.ORGANISATION, fleet.read(host)
            )
            for host in (1, 2)
        ]
        self.assertGreater(sum(available_tokens), 5)
        for host in (1, 2):
            for _ in range(20):
                fleet.take(host)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_tokens_spent_before_leader_change_are_not_granted_again(self):
        # Host 1 spends its tokens after its last draw, so that only its report shows
        # them to the new leader.
        for pause_s in (0.0, 0.05, 0.5):
            given = settings.Settings(prefetch_s=2.0, demand_window_s=2.0)
            clocks = [builders.Clock(host) for host in range(HOST_COUNT)]
            fleet = builders.Fleet(settings.Limit(20.0, 20), clocks, given)
            for host in (0, 1, 2, 1, 2, 1):
                fleet.exchange(host)
                build_up_tokens(fleet, host)
            fleet.advance(1.0)
            fleet.end_waits()
            build_up_tokens(fleet, 1)
            fleet.advance(0.5)
            for host in (0, 2, 1):
                fleet.exchange(host)
            fleet.advance(1.5)
            before = fleet.spent
            spend_available(fleet, 1)
            self.assertGreater(fleet.spent - before, 3)
            fleet.advance(pause_s)
            change_leader_and_report(fleet, 0)
            spend_all(fleet, 0)
            spend_all(fleet, 2)
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, f"pause {pause_s}")

    def test_restart_of_host_prevents_restore_from_outdated_state(self):
        # Host 0 loses its bucket state with the restart; the states that the other
        # hosts report are from before its spending.
        for others_drew in (False, True):
            clocks = [builders.Clock(host) for host in range(HOST_COUNT)]
            fleet = builders.Fleet(settings.Limit(4.0, 20), clocks)
            fleet.advance(10.0)
            for host in range(HOST_COUNT):
                fleet.exchange(host)
                if others_drew:
                    build_up_tokens(fleet, host)
            fleet.advance(8.0)
            spend_all(fleet, 0)
            fleet.restart(0)
            fleet.advance(0.1)
            change_leader_and_report(fleet, 0)
            spend_all(fleet, 1)
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, others_drew)


class DrawTest(unittest.TestCase):
    def setUp(self):
        clocks = [builders.Clock(100.0 * host) for host in range(HOST_COUNT)]
        self.limit = settings.Limit(10.0, 20)
        self.fleet = builders.Fleet(self.limit, clocks)
        self.fleet.advance(10.0)
        for host in range(HOST_COUNT):
            self.fleet.exchange(host)

    def test_first_request_of_idle_host_is_admitted_by_next_draw(self):
        pending = self.fleet.take(2)
        self.fleet.draw(2)
        self.fleet.advance(0.021)
        self.assertEqual(pending.outcome, host_limiter.Admitted(builders.ORGANISATION))

    def test_resent_draw_gets_same_reply(self):
        self.fleet.take(0)
        request = self.fleet.host_limiters[0].build_draw(self.fleet.read(0))
        now_s = self.fleet.leader_clock.read(self.fleet.true_s)
        first = self.fleet.leader.draw(request, now_s)
        self.assertEqual(self.fleet.leader.draw(request, now_s + 1.0), first)
        self.assertEqual(first.grants[0].granted >= 1, True)

    def test_tokens_of_lost_reply_are_granted_by_next_draw(self):
        for _ in range(10):
            self.fleet.take(0)
        self.fleet.draw(0, reply_delay_s=None)
        self.fleet.advance(0.021)
        self.fleet.draw(0)
        self.fleet.advance(0.021)
        self.assertGreaterEqual(self.fleet.spent, 10)

    def test_late_reply_is_ignored_once_a_new_draw_is_built(self):
        pending = self.fleet.take(0)
        self.fleet.draw(0, reply_delay_s=0.3)
        self.fleet.advance(0.2)
        self.fleet.draw(0, request_delays_s=())
        self.fleet.advance(0.2)
        self.assertIsNone(pending.outcome)

    def test_new_leader_restores_the_bucket_once_all_hosts_reported(self):
        for _ in range(4):
            self.fleet.take(0)
        self.fleet.draw(0)
        self.fleet.advance(0.021)
        self.fleet.change_leader()
        for host in range(HOST_COUNT):
            self.fleet.exchange(host)
        pending = [self.fleet.take(1) for _ in range(8)]
        self.fleet.draw(1)
        self.fleet.advance(0.021)
        admitted = [p for p in pending if isinstance(p.outcome, host_limiter.Admitted)]
        self.assertEqual(len(admitted), 8)

    def test_changed_rate_takes_effect_on_both_sides(self):
        self.fleet.limits[builders.ORGANISATION] = settings.Limit(10.0, 2)
        now_s = self.fleet.leader_clock.read(self.fleet.true_s)
        self.fleet.leader.set_limits(self.fleet.limits, now_s)
        self.fleet.host_limiters[0].set_limits(self.fleet.limits)
        outcomes = [self.fleet.take(0) for _ in range(5)]
        self.fleet.exchange(0)
        self.assertLessEqual(self.fleet.spent, 2)
        self.assertIsInstance(outcomes[-1], host_limiter.Denied)

    def test_organisation_without_limit_is_named_in_the_error(self):
        with self.assertRaisesRegex(checks.CheckError, "with a limit, got 'nobody'"):
            self.fleet.host_limiters[0].take("nobody", 0.0)

    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(strategies.binary(max_size=80))
    def test_arbitrary_bytes_raise_only_message_error(self, body):
        for message_type in (messages.Draw, messages.DrawReply):
            try:
                catalog.decode_struct(message_type, body)
            except catalog.MessageError:
                continue


class AllowanceTest(unittest.TestCase):
    """Hosts without answers refill their tokens themselves, within the fleet's rate."""

    def build_fleet(self, host_count=2, rate_per_s=20.0):
        given = settings.Settings(prefetch_s=1.0, demand_window_s=1.0, lifetime_s=4.0)
        clocks = [builders.Clock(host) for host in range(host_count)]
        fleet = builders.Fleet(settings.Limit(rate_per_s, 40), clocks, given)
        for host in range(host_count):
            fleet.exchange(host)
        for _ in range(20):
            for host in range(host_count):
                fleet.take(host)
                fleet.draw(host)
            fleet.advance(0.2)
        return fleet

    def spend(self, fleet, host, rate_per_s, duration_s):
        """Return how many requests at a steady rate are admitted without an answer."""
        before = fleet.spent
        for _ in range(round(rate_per_s * duration_s)):
            fleet.advance(1 / rate_per_s)
            fleet.take(host)
            fleet.draw(host, request_delays_s=())
        return fleet.spent - before

    def test_host_without_answers_continues_at_its_allowance(self):
        fleet = self.build_fleet()
        # The host's allowance is half of the rate, 10 tokens per second; without it the
        # host would soon have no tokens left.
        admitted = self.spend(fleet, 0, 8.0, 3.5)
        self.assertGreater(admitted, 0.9 * 8.0 * 3.5)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_allowance_ends_with_the_grant(self):
        fleet = self.build_fleet()
        fleet.advance(4.0)
        self.assertEqual(0, self.spend(fleet, 0, 8.0, 2.0))

    def test_overload_of_hosts_with_and_without_answers_stays_within_rate(self):
        for seed in range(40):
            rng = random.Random(seed)
            fleet = self.build_fleet(host_count=3)
            answered = rng.sample(range(3), rng.choice([0, 1, 2]))
            for _ in range(90):
                for host in range(3):
                    fleet.take(host)
                    if host in answered or rng.random() < 0.02:
                        fleet.draw(host, reply_delay_s=rng.choice([0.01, None]))
                fleet.advance(0.05)
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, f"seed {seed}")

    def test_new_leader_subtracts_tokens_that_hosts_refilled(self):
        for seed in range(40):
            rng = random.Random(seed)
            fleet = self.build_fleet(host_count=3)
            for _ in range(rng.randrange(70)):
                for host in range(3):
                    fleet.take(host)
                fleet.advance(0.05)
            fleet.change_leader()
            for _ in range(60):
                for host in range(3):
                    fleet.take(host)
                    if rng.random() < 0.3:
                        fleet.draw(host, reply_delay_s=rng.choice([0.01, None]))
                fleet.advance(0.05)
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, f"seed {seed}")


class NewOrganisationTest(unittest.TestCase):
    def test_organisation_added_after_recovery_gets_grants(self):
        limit = settings.Limit(rate_per_s=50.0, burst=20)
        leader = grantor.Grantor(lambda: ["host-0"])
        leader.set_limits({}, now_s=0.0)
        leader.start_leadership(now_s=0.0, term=1)
        limiter = host_limiter.HostLimiter("host-0", "run-1", started_s=0.0)
        self._draw(leader, limiter, now_s=10.0)
        leader.set_limits({"ward-9": limit}, now_s=11.0)
        limiter.set_limits({"ward-9": limit})
        pending = limiter.take("ward-9", now_s=11.0)
        self._draw(leader, limiter, now_s=11.0)
        # The new bucket starts empty, because the tokens that other hosts hold are not
        # known; the second draw is granted the refill.
        self._draw(leader, limiter, now_s=11.1)
        self.assertIsInstance(pending.outcome, host_limiter.Admitted)

    def _draw(self, leader, limiter, now_s):
        for _ in range(2):
            reply = leader.draw(limiter.build_draw(now_s), now_s)
            limiter.receive_grants(reply, now_s, now_s)
