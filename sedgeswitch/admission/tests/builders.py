"""A small fleet in virtual time: entry hosts, a control leader and lossy messages."""

import heapq
import itertools

from sedgeswitch.admission import grantor
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages
from sedgeswitch.admission import settings
from sedgeswitch.transport import catalog

ORGANISATION = "ward-4"


class Clock:
    """A monotonic clock with an offset and a rate error."""

    def __init__(self, offset_s=0.0, drift=0.0):
        self.offset_s = offset_s
        self.drift = drift

    def read(self, true_s):
        return self.offset_s + true_s * (1 + self.drift)


class Fleet:
    """Entry hosts that draw from a leader; the test chooses each event and its time.

    A reference bucket in true time is charged for every spent token. If its
    `lowest_level` is below zero, more than ``rate * T + burst`` tokens were spent in
    some time T.
    """

    def __init__(self, limit, clocks, given=None):
        self.limits = {ORGANISATION: limit}
        self.settings = settings.Settings() if given is None else given
        self.clocks = clocks
        self.true_s = 0.0
        self.lowest_level = self.level = float(limit.burst)
        self.spent = 0
        self._last_update_s = 0.0
        self._counter = itertools.count(1)
        self._deliveries = []
        self.host_limiters = [None] * len(clocks)
        for host in range(len(clocks)):
            self.restart(host)
        self.change_leader()

    def restart(self, host):
        now_s = self.clocks[host].read(self.true_s)
        run_id = f"run-{next(self._counter)}"
        limiter = host_limiter.HostLimiter(f"host-{host}", run_id, now_s, self.settings)
        limiter.set_limits(self.limits)
        self.host_limiters[host] = limiter

    def change_leader(self):
        ids = [f"host-{host}" for host in range(len(self.clocks))]
        clock = self.clocks[next(self._counter) % len(self.clocks)]
        self.leader = grantor.Grantor(lambda: ids, self.settings)
        self.leader_clock = clock
        now_s = clock.read(self.true_s)
        self.leader.set_limits(self.limits, now_s)
        self.leader.start_leadership(now_s, next(self._counter))

    def take(self, host):
        outcome = self.host_limiters[host].take(ORGANISATION, self.read(host))
        if isinstance(outcome, host_limiter.Admitted):
            self._spend()
        return outcome

    def end_waits(self):
        """Let the requests give up whose wait has ended, as their tasks would."""
        for host, limiter in enumerate(self.host_limiters):
            for pending in list(limiter._accounts[ORGANISATION].waiters):
                if pending.until_s <= self.read(host):
                    limiter.give_up(pending)

    def read(self, host):
        return self.clocks[host].read(self.true_s)

    def draw(self, host, request_delays_s=(0.01,), reply_delay_s=0.01):
        """Send a draw.

        Parameters
        ----------
        host : int
        request_delays_s : sequence of float
            Delay of each delivery of the request; it is lost if there is none, and
            duplicated if there are two.
        reply_delay_s : float or None
            Delay of the reply; None if it is lost.
        """
        limiter = self.host_limiters[host]
        sent_s = self.read(host)
        request = self._count_spends(
            limiter, lambda: catalog.encode_struct(limiter.build_draw(sent_s))
        )

        def answer():
            decoded = catalog.decode_struct(messages.Draw, request)
            leader_s = self.leader_clock.read(self.true_s)
            reply = catalog.encode_struct(self.leader.draw(decoded, leader_s))
            if reply_delay_s is not None:
                self._deliver(reply_delay_s, lambda: receive(reply))

        def receive(reply):
            if self.host_limiters[host] is not limiter:
                return
            decoded = catalog.decode_struct(messages.DrawReply, reply)
            self._count_spends(
                limiter,
                lambda: limiter.receive_grants(decoded, sent_s, self.read(host)),
            )

        for delay_s in request_delays_s:
            self._deliver(delay_s, answer)

    def exchange(self, host):
        """Draw twice, so that a host that must report first is granted tokens."""
        self.draw(host)
        self.advance(0.021)
        self.draw(host)
        self.advance(0.021)

    def advance(self, step_s):
        end_s = self.true_s + step_s
        while self._deliveries and self._deliveries[0][0] <= end_s:
            self.true_s, _, deliver = heapq.heappop(self._deliveries)
            deliver()
        self.true_s = end_s

    def _deliver(self, delay_s, deliver):
        entry = (self.true_s + delay_s, next(self._counter), deliver)
        heapq.heappush(self._deliveries, entry)

    def _count_spends(self, limiter, act):
        account = limiter._accounts[ORGANISATION]
        before = account.spent_total
        result = act()
        for _ in range(account.spent_total - before):
            self._spend()
        return result

    def _spend(self):
        limit = self.limits[ORGANISATION]
        refilled = (self.true_s - self._last_update_s) * limit.rate_per_s
        self.level = min(limit.burst, self.level + refilled) - 1
        self._last_update_s = self.true_s
        self.lowest_level = min(self.lowest_level, self.level)
        self.spent += 1
