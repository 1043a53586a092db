"""Measures the time until entry hosts reach equal shares, in virtual time.

Also measures the processor time to acquire and release a pooled connection::

    python -m sedgeswitch.pools.tests.measure_shares
"""

import statistics
import time

import trio

from sedgeswitch.pools.tests import builders as pool_builders
from sedgeswitch.pools.tests import test_shares
from sedgeswitch.utils.tests import virtual_time

SEEDS = range(5)
USES = 20_000
WAIT_TIMEOUT_S = 60.0


def measure_change(entry_count, change, seed):
    """Return the seconds from a change until the shares of all hosts are equal."""

    async def run():
        fleet, pools = test_shares.build_fleet(seed, entry_count)
        fleet.stop_faults()
        async with trio.open_nursery() as nursery:
            for item in (*fleet.heartbeat_servers, *fleet.heartbeat_clients, *pools):
                nursery.start_soon(item.run)
            await wait_fair(pools, entry_count)
            await trio.sleep(fleet.rng.random())
            started_s = trio.current_time()
            if change == "new leader and lost host":
                fleet.change_leader()
            fleet.cut = {0}
            await wait_fair(pools[1:], entry_count - 1)
            if change == "host back":
                started_s = trio.current_time()
                fleet.cut = set()
                await wait_fair(pools, entry_count)
            elapsed_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()
        return elapsed_s

    return virtual_time.run(run)


async def wait_fair(pools, divisor):
    """Wait until every host has the share 1 / `divisor`."""
    with trio.fail_after(WAIT_TIMEOUT_S):
        while any(item.share.divisor != divisor for item in pools):
            await trio.sleep(0.01)


async def measure_use():
    """Return the processor time of one acquire and release, in microseconds."""
    instance_pool = pool_builders.build_pool(pool_builders.FakeServer())
    started_s = time.process_time()
    for _ in range(USES):
        pooled = await instance_pool.acquire("ward-4", trio.current_time() + 1.0)
        await instance_pool.release(pooled, trio.current_time())
    return (time.process_time() - started_s) / USES * 1e6


def main():
    """Run all measurements and print their results."""
    for entry_count in (3, 7, 30):
        for change in ("lost host", "new leader and lost host", "host back"):
            times = [measure_change(entry_count, change, seed) for seed in SEEDS]
            median_s, longest_s = statistics.median(times), max(times)
            figures = f"{median_s:.1f} s, at most {longest_s:.1f} s"
            print(f"{entry_count} hosts, {change}: {figures}")  # noqa: T201
    print(f"acquire and release: {trio.run(measure_use):.0f} us")  # noqa: T201


if __name__ == "__main__":
    main()
