"""Grants while a new leader still waits for the reports of some hosts."""

import random
import unittest

from sedgeswitch.admission import bucket
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import settings
from sedgeswitch.admission.tests import builders

HOST_COUNT = 10
STEP_S = 0.05
LIMIT = settings.Limit(rate_per_s=40.0, burst=40)
DRIFT = settings.Settings().drift
# As in a relay fleet: one host may hold 0.3 of the burst, and grants expire after 4 s.
RELAY_LIKE = settings.Settings(
    prefetch_s=3.0, lifetime_s=4.0, demand_window_s=2.0, host_share_max=0.3
)


def build_fleet(limit, rng=None, given=RELAY_LIKE, host_count=HOST_COUNT):
    """Return a fleet in which every host has spent tokens for some time."""
    clocks = [
        builders.Clock(100.0 * host, rng.choice([-DRIFT, 0.0, DRIFT]) if rng else 0.0)
        for host in range(host_count)
    ]
    fleet = builders.Fleet(limit, clocks, given)
    for host in range(host_count):
        fleet.exchange(host)
    run(fleet, range(host_count), limit.rate_per_s * 0.8, 6.0)
    return fleet


def run(fleet, hosts, rate_per_s, duration_s, drawing=None):
    """Send requests at a rate, divided among `hosts`; `drawing` draw at each step."""
    hosts = list(hosts)
    due = 0.0
    index = 0
    before = fleet.spent
    for _ in range(round(duration_s / STEP_S)):
        due += rate_per_s * STEP_S
        while due >= 1:
            host = hosts[index % len(hosts)]
            fleet.take(host)
            due -= 1
            index += 1
        for host in hosts if drawing is None else drawing:
            fleet.draw(host, (0.005,))
        fleet.advance(STEP_S)
        fleet.end_waits()
    return fleet.spent - before


def drain(fleet, drawing):
    """Spend the tokens of all hosts, and those of the bucket at the host that draws."""
    for _ in range(10):
        pending = []
        for host in range(len(fleet.clocks)):
            outcomes = [fleet.take(host) for _ in range(40)]
            pending += [(host, item) for item in outcomes if is_pending(item)]
        fleet.draw(drawing, request_delays_s=(0.0,), reply_delay_s=0.0)
        fleet.advance(0.001)
        for host, item in pending:
            fleet.host_limiters[host].give_up(item)


def is_pending(outcome):
    return isinstance(outcome, host_limiter.Pending)


def overload(fleet, drawing, duration_s):
    """Request more tokens at all hosts than they get; draws of the others are lost."""
    for _ in range(round(duration_s / STEP_S)):
        for host in range(len(fleet.clocks)):
            for _ in range(10):
                fleet.take(host)
            fleet.draw(host, (0.01,) if host in drawing else ())
        fleet.advance(STEP_S)


class UnreportedHostsTest(unittest.TestCase):
    def test_reported_hosts_keep_their_rate_while_others_are_cut_off(self):
        # Four hosts that may hold 0.3 of the burst each reserved more than the whole
        # burst, so that no host was granted a token until the old grants expired.
        fleet = build_fleet(LIMIT)
        run(fleet, range(HOST_COUNT), 32.0, 1.7, drawing=())
        fleet.change_leader()
        reported = range(5)
        run(fleet, reported, 16.0, 0.5)
        admitted = run(fleet, reported, 16.0, 2.5)
        self.assertGreater(admitted, 0.9 * 16.0 * 2.5)

    def test_one_missing_host_after_restart_of_all_leaves_others_their_rate(self):
        # After a power loss no report states an allowance; the missing host was counted
        # as refilling itself with the whole rate.
        fleet = build_fleet(LIMIT)
        for host in range(HOST_COUNT):
            fleet.restart(host)
        fleet.change_leader()
        admitted = run(fleet, range(HOST_COUNT - 1), 16.0, 3.0)
        self.assertGreater(admitted, 0.9 * 16.0 * 3.0)

    def test_requests_wait_longer_while_leader_collects_reports(self):
        # A request that found no token was refused after 0.2 s, although the tokens
        # that a restart of all hosts leaves arrive within the longer wait.
        limit = settings.Limit(4.0, 40)
        fleet = build_fleet(limit)
        for host in range(HOST_COUNT):
            fleet.restart(host)
        fleet.change_leader()
        pending = fleet.take(0)
        queued_s = fleet.read(0)
        fleet.exchange(0)
        self.assertGreater(pending.until_s - queued_s, 0.7)
        self.assertGreater(fleet.take(0).until_s - fleet.read(0), 0.7)
        for host in range(1, HOST_COUNT):
            fleet.exchange(host)
        fleet.exchange(0)
        self.assertLess(fleet.take(0).until_s - fleet.read(0), 0.3)

    def test_cut_off_hosts_and_reported_ones_stay_within_rate_and_burst(self):
        for seed in range(60):
            rng = random.Random(seed)
            limit = settings.Limit(rng.choice([20.0, 100.0]), rng.choice([10, 40, 200]))
            fleet = build_fleet(limit, rng, host_count=6)
            cut = rng.sample(range(6), rng.randrange(1, 6))
            run(fleet, range(6), rng.choice([0.0, 30.0]), 0.8, drawing=())
            for _ in range(rng.choice([1, 2])):
                fleet.change_leader()
                for _ in range(rng.randrange(2, 30)):
                    for host in range(6):
                        for _ in range(rng.choice([0, 1, 6])):
                            fleet.take(host)
                        if host not in cut:
                            replies = rng.choice([0.01, 0.01, None])
                            delays = rng.choice([(), (0.01,), (0.01, 0.2)])
                            fleet.draw(host, delays, replies)
                        if rng.random() < 0.01:
                            fleet.restart(host)
                    fleet.advance(rng.choice([0.02, 0.1, 0.2]))
            self.assertGreaterEqual(fleet.lowest_level, -1e-6, f"seed {seed}")

    def test_allowances_of_cut_off_hosts_are_not_granted_to_others(self):
        # The cut-off hosts refill themselves at half of the rate.
        fleet = build_fleet(LIMIT, host_count=4)
        drain(fleet, 0)
        fleet.change_leader()
        overload(fleet, (0, 1), 4.0)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_repeated_reports_give_up_nothing_more(self):
        # A host reports again after a call to another control host. Its holdings are
        # then grants of this leader and say nothing about the missing hosts.
        fleet = build_fleet(LIMIT, host_count=4)
        drain(fleet, 0)
        fleet.change_leader()
        for _ in range(40):
            for host in (0, 1):
                fleet.host_limiters[host].request_report()
            overload(fleet, (0, 1), 0.1)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_allowances_of_two_leaders_are_within_the_rate(self):
        # A leader granted allowances of the whole rate while hosts that had not
        # reported to it still refilled themselves at those of its predecessor.
        fleet_bucket = bucket.FleetBucket(LIMIT, RELAY_LIKE, 0.0)
        fleet_bucket.set_unreported_hosts(2, 0.0, 16, LIMIT.rate_per_s / 2)
        keys = [bucket.HostKey(f"host-{host}", "run-1") for host in range(2)]
        for key in keys:
            fleet_bucket.apply_report(key, 8, 0, is_trusted=True)
        for key in keys * 2:
            fleet_bucket.grant(key, 0, 20.0, 0.1)
        granted_per_s = sum(fleet_bucket.get_allowance_per_s(key) for key in keys)
        self.assertLessEqual(granted_per_s, LIMIT.rate_per_s / 2)
        self.assertGreater(granted_per_s, 0.4 * LIMIT.rate_per_s)

    def test_no_host_has_an_allowance_above_its_share(self):
        # A leader that misses one host leaves that host's share of the rate unused.
        fleet_bucket = bucket.FleetBucket(LIMIT, RELAY_LIKE, 0.0)
        key = bucket.HostKey("host-0", "run-1")
        fleet_bucket.apply_report(key, 8, 0, is_trusted=True)
        fleet_bucket.grant(key, 0, 20.0, 0.1)
        share = RELAY_LIKE.host_allowance_share_max
        allowance_per_s = fleet_bucket.get_allowance_per_s(key)
        self.assertLessEqual(allowance_per_s, share * LIMIT.rate_per_s)

    def test_allowance_of_expired_grant_is_not_given_up(self):
        # The old leader had given the allowance of the idle host 0 to the others.
        given = RELAY_LIKE._replace(lifetime_s=8.0)
        fleet = build_fleet(LIMIT, given=given, host_count=4)
        run(fleet, (0,), 32.0, 4.0, drawing=range(4))
        run(fleet, (1, 2), 32.0, 9.0)
        drain(fleet, 3)
        fleet.change_leader()
        overload(fleet, (0,), 8.0)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)

    def test_tokens_of_cut_off_hosts_are_not_granted_to_others(self):
        # Three idle hosts keep the tokens that they hold; the bucket of a leader that
        # counts less than these as held refills beyond the burst.
        fleet = build_fleet(LIMIT, host_count=4)
        run(fleet, range(4), 0.0, 0.3)
        fleet.change_leader()
        run(fleet, (0,), 0.0, 3.3)
        for _ in range(20):
            for host in range(4):
                for _ in range(20):
                    fleet.take(host)
            fleet.draw(0, request_delays_s=(0.0,), reply_delay_s=0.0)
            fleet.advance(0.001)
        self.assertGreaterEqual(fleet.lowest_level, -1e-6)
