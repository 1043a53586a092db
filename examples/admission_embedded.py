"""Rate limits of two organisations over three hosts in one program, without the daemon.

    python -m examples.admission_embedded

A host requests tokens from the leader with a `Draw` message. A program on several
hosts sends it over its own transport; here a sleep takes the place of the network.
Call `Grantor.draw` only on a leader that a quorum has confirmed.
"""

import collections

import trio

from sedgeswitch.admission import drawing
from sedgeswitch.admission import fair_queue
from sedgeswitch.admission import grantor
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import settings

HOST_IDS = ("entry-1", "entry-2", "entry-3")
LIMITS = {"ward-4": settings.Limit(50.0, 10), "ward-7": settings.Limit(20.0, 5)}
NETWORK_DELAY_S = 0.01
SERVICE_TIME_S = 0.005
RUN_S = 2.0
REQUEST_TIMEOUT_S = 0.5


async def send_requests(organisation, rate_per_s, host, queue, counts):
    """Send requests to one host at a constant rate for `RUN_S` seconds."""
    async with trio.open_nursery() as nursery:
        for _ in range(int(rate_per_s * RUN_S)):
            nursery.start_soon(serve, organisation, host, queue, counts)
            await trio.sleep(1 / rate_per_s)


async def serve(organisation, host, queue, counts):
    """Check the rate limit for one request, queue it and run it; count the outcome."""
    now_s = trio.current_time()
    deadline_s = now_s + REQUEST_TIMEOUT_S
    outcome = host.take(organisation, now_s, deadline_s)
    if isinstance(outcome, host_limiter.Pending):
        outcome = await host.wait(outcome)
    if isinstance(outcome, host_limiter.Denied):
        counts[organisation, "denied"] += 1
        return
    async with queue.slot(organisation, deadline_s):
        await trio.sleep(SERVICE_TIME_S)
    counts[organisation, "served"] += 1


async def main():
    """Send requests to three hosts and print how many were served and denied."""
    now_s = trio.current_time()
    leader = grantor.Grantor(lambda: HOST_IDS)
    leader.set_limits(LIMITS, now_s)
    leader.start_leadership(now_s, term=1)

    async def call_leader(request):
        await trio.sleep(NETWORK_DELAY_S)
        reply = leader.draw(request, trio.current_time())
        await trio.sleep(NETWORK_DELAY_S)
        return reply

    hosts = [host_limiter.HostLimiter(name, "run-1", now_s) for name in HOST_IDS]
    counts = collections.Counter()
    queue = fair_queue.FairQueue(slots=3, capacity=50)
    async with trio.open_nursery() as background:
        for host in hosts:
            host.set_limits(LIMITS)
            background.start_soon(drawing.run, host, call_leader)
        async with trio.open_nursery() as nursery:
            for host in hosts:
                for organisation, rate_per_s in (("ward-4", 60.0), ("ward-7", 4.0)):
                    arguments = (organisation, rate_per_s, host, queue, counts)
                    nursery.start_soon(send_requests, *arguments)
        background.cancel_scope.cancel()
    for (organisation, outcome), count in sorted(counts.items()):
        print(f"{organisation} {outcome}: {count}")


if __name__ == "__main__":
    trio.run(main)
