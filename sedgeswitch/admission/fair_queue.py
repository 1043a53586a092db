"""A bounded queue for an instance's slots that is fair between organisations."""

import collections
import contextlib
import heapq
import itertools
import math
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.utils import checks

# A request is refused by its estimated wait only if this estimate is longer than the
# remaining time by this factor: in a busy process the time that a slot is held depends
# more on the process than on the instance, and a refusal costs processor time that
# answers need.
ESTIMATE_TOLERANCE = 3.0
# Weight of a new observation in the mean service time.
_SERVICE_WEIGHT = 0.1
_STATUS = 503
_CODE = "overloaded"


class Ticket:
    """A request that waits for or holds a slot.

    Attributes
    ----------
    organisation : str
    deadline_s : float
    started_s : float or None
        When the request was given its slot.
    charged_s : float
        Service time that its organisation was charged at that moment.
    refusal : verdicts.RefusedError or None
    """

    __slots__ = (
        "_done",
        "charged_s",
        "deadline_s",
        "organisation",
        "refusal",
        "started_s",
    )

    def __init__(self, organisation: str, deadline_s: float):
        self.organisation = organisation
        self.deadline_s = deadline_s
        self.started_s: float | None = None
        self.charged_s = 0.0
        self.refusal: verdicts.RefusedError | None = None
        self._done = trio.Event()

    def start(self, now_s: float, charged_s: float) -> None:
        """Give the request a slot."""
        self.started_s = now_s
        self.charged_s = charged_s
        self._done.set()

    def refuse(self, refusal: verdicts.RefusedError) -> None:
        """Refuse the request."""
        self.refusal = refusal
        self._done.set()

    async def wait(self) -> None:
        """Return once the request has a slot or is refused."""
        await self._done.wait()


class _Flow:
    """The waiting requests of one organisation, oldest first.

    Attributes
    ----------
    virtual_s : float
        Service time that the organisation has received, in the virtual time of
        start-time fair queuing.
    entry : int
        Number of the flow's valid entry in the heap; others are out of date.
    running : int
        Requests that hold a slot.
    """

    def __init__(self):
        self.tickets: collections.OrderedDict[Ticket, None] = collections.OrderedDict()
        self.virtual_s = 0.0
        self.entry = 0
        self.running = 0


class FairQueue:
    """Shares an instance's slots between organisations by service time.

    The organisation that has received the least service is served first (start-time
    fair queuing).  A request is charged the mean service time when it starts, which
    is corrected to its actual service time when it ends.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    capacity : int
        Largest number of requests that wait.
    first_service_s : float, optional
        Service time assumed before the first observation.

    Examples
    --------
    >>> async def serve(queue, deadline_s):
    ...     async with queue.slot("ward-4", deadline_s):
    ...         return "served"
    """

    def __init__(self, slots: int, capacity: int, first_service_s: float = 0.01):
        self._slots = int(checks.check_range("slots", slots, 1))
        self._capacity = int(checks.check_range("capacity", capacity, 1))
        self._service_s = checks.check_range("first_service_s", first_service_s, 0.0)
        self._flows: dict[str, _Flow] = {}
        self._ready: list[tuple[float, int, str]] = []
        self._entries = itertools.count(1)
        self._lengths = _LengthIndex()
        self._running = 0
        self._virtual_s = 0.0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._lengths.total

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def service_s(self) -> float:
        """Moving average of the service time of recent requests, in seconds."""
        return self._service_s

    @contextlib.asynccontextmanager
    async def slot(
        self, organisation: str, deadline_s: float
    ) -> typing.AsyncIterator[Ticket]:
        """Hold a slot for the body of an ``async with`` statement.

        Raises
        ------
        RefusedError
            See `acquire`.
        """
        ticket = await self.acquire(organisation, deadline_s, trio.current_time())
        try:
            yield ticket
        finally:
            self.release(ticket, trio.current_time())

    async def acquire(
        self, organisation: str, deadline_s: float, now_s: float
    ) -> Ticket:
        """Wait for a slot.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Deadline of the caller, on trio's clock.
        now_s : float

        Returns
        -------
        Ticket
            Holds the slot until it is given to `release`.

        Raises
        ------
        RefusedError
            With status 503, code ``overloaded`` and verdict "not run": the estimated
            wait is far beyond the deadline, the queue is full, or the deadline passed
            while the request waited.
        """
        ticket = self._enqueue(organisation, deadline_s, now_s)
        try:
            with trio.move_on_at(deadline_s):
                await ticket.wait()
        except BaseException:
            self._withdraw(ticket)
            raise
        if ticket.started_s is None and ticket.refusal is None:
            self._remove(ticket)
            ticket.refusal = self._build_refusal("the deadline passed in the queue")
        if ticket.refusal is not None:
            raise ticket.refusal
        return ticket

    def set_slots(self, slots: int, now_s: float) -> None:
        """Change how many requests run at once; with 0 none is started.

        If the number shrinks, requests that are running continue to their end.
        """
        self._slots = int(checks.check_range("slots", slots, 0))
        self._dispatch(now_s)

    def release(self, ticket: Ticket, now_s: float, is_observed: bool = True) -> None:
        """Free the slot of a request that has ended.

        Parameters
        ----------
        ticket : Ticket
        now_s : float
        is_observed : bool, optional
            Whether its time counts towards the mean service time. The time of a
            caller's open transaction does not, as it depends on the caller.
        """
        service_s = max(0.0, now_s - ticket.started_s)
        if is_observed:
            self._service_s += _SERVICE_WEIGHT * (service_s - self._service_s)
        self._free(ticket, service_s, now_s)

    def _free(self, ticket: Ticket, service_s: float, now_s: float) -> None:
        """Charge the actual service time and start the next requests."""
        flow = self._flows[ticket.organisation]
        flow.virtual_s += service_s - ticket.charged_s
        if flow.tickets:
            self._push(ticket.organisation, flow)
        self._end(flow)
        self._dispatch(now_s)

    def get_wait_s(self, organisation: str) -> float:
        """Return the estimated wait of a new request of an organisation."""
        if self._running < self._slots:
            return 0.0
        flow = self._flows.get(organisation)
        own = len(flow.tickets) if flow is not None else 0
        flows = self._lengths.flows + (own == 0)
        # Fair sharing serves each other organisation at most own + 1 times before the
        # new request.
        ahead = min(self.waiting, (own + 1) * flows - 1)
        return (ahead + 1) * self._service_s / max(self._slots, 1)

    def _enqueue(self, organisation: str, deadline_s: float, now_s: float) -> Ticket:
        """Queue a request and start it if a slot is free.

        Raises
        ------
        RefusedError
            See `acquire`.
        """
        if now_s >= deadline_s:
            raise self._build_refusal("the deadline has passed")
        wait_s = self.get_wait_s(organisation)
        expected_s = wait_s + self._service_s
        if wait_s > 0 and expected_s > ESTIMATE_TOLERANCE * (deadline_s - now_s):
            raise self._build_refusal("the estimated wait passes the deadline")
        if self.waiting >= self._capacity:
            self._evict_for(organisation)
        ticket = Ticket(organisation, deadline_s)
        flow = self._flows.setdefault(organisation, _Flow())
        flow.tickets[ticket] = None
        self._lengths.change(organisation, len(flow.tickets) - 1, len(flow.tickets))
        if len(flow.tickets) == 1:
            flow.virtual_s = max(flow.virtual_s, self._virtual_s)
            self._push(organisation, flow)
        self._dispatch(now_s)
        return ticket

    def _evict_for(self, organisation: str) -> None:
        """Refuse the newest request of the longest queue, so that another can wait.

        Raises
        ------
        RefusedError
            If the organisation's queue, with the new request, is not shorter than the
            longest one.
        """
        flow = self._flows.get(organisation)
        own = len(flow.tickets) if flow is not None else 0
        if own + 1 >= self._lengths.longest:
            raise self._build_refusal("the queue is full")
        longest = self._flows[self._lengths.get_longest()]
        newest = next(reversed(longest.tickets))
        self._remove(newest)
        newest.refuse(self._build_refusal("the queue is full"))

    def _dispatch(self, now_s: float) -> None:
        """Start or refuse waiting requests while slots are free."""
        while self._running < self._slots and self._ready:
            virtual_s, entry, organisation = heapq.heappop(self._ready)
            flow = self._flows.get(organisation)
            if flow is None or flow.entry != entry or not flow.tickets:
                continue
            ticket = next(iter(flow.tickets))
            self._remove(ticket)
            if self._is_too_late(ticket, now_s):
                detail = "too little time was left before the deadline"
                ticket.refuse(self._build_refusal(detail))
            else:
                self._virtual_s = max(self._virtual_s, virtual_s)
                self._start(ticket, now_s)
            if flow.tickets:
                self._push(organisation, flow)

    def _is_too_late(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a request is expected to end after its deadline."""
        if now_s >= ticket.deadline_s:
            return True
        # The only waiting request is started even so: otherwise no observation would
        # correct a mean service time that has become too large.
        return self.waiting > 0 and now_s + self._service_s > ticket.deadline_s

    def _start(self, ticket: Ticket, now_s: float) -> None:
        flow = self._flows.setdefault(ticket.organisation, _Flow())
        flow.virtual_s = max(flow.virtual_s, self._virtual_s) + self._service_s
        flow.running += 1
        self._running += 1
        ticket.start(now_s, self._service_s)

    def _push(self, organisation: str, flow: _Flow) -> None:
        flow.entry = next(self._entries)
        heapq.heappush(self._ready, (flow.virtual_s, flow.entry, organisation))

    def _remove(self, ticket: Ticket) -> None:
        flow = self._flows[ticket.organisation]
        del flow.tickets[ticket]
        length = len(flow.tickets)
        self._lengths.change(ticket.organisation, length + 1, length)

    def _end(self, flow: _Flow) -> None:
        self._running -= 1
        flow.running -= 1
        if self._running == 0 and self.waiting == 0:
            # The queue is idle, so that earlier service need not be balanced.
            self._flows.clear()
            self._ready.clear()
            self._virtual_s = 0.0

    def _withdraw(self, ticket: Ticket) -> None:
        """Release the slot or the place in the queue of a cancelled request."""
        if ticket.started_s is not None:
            # The request has not run, so that its time is not observed.
            self._free(ticket, 0.0, trio.current_time())
        elif ticket.refusal is None:
            self._remove(ticket)

    def _build_refusal(self, detail: str) -> verdicts.RefusedError:
        wait_s = (self.waiting + 1) * self._service_s / max(self._slots, 1)
        retry_after_ms = max(1, math.ceil(1000 * wait_s))
        return verdicts.build_not_run(_STATUS, _CODE, detail, retry_after_ms)


class _LengthIndex:
    """Index of organisations by queue length, to find the longest queue at once.

    Attributes
    ----------
    total : int
        Requests in all queues.
    flows : int
        Number of queues that are not empty.
    longest : int
        Length of the longest queue.
    """

    def __init__(self):
        self.total = 0
        self.flows = 0
        self.longest = 0
        self._by_length: dict[int, dict[str, None]] = collections.defaultdict(dict)

    def change(self, organisation: str, old: int, new: int) -> None:
        """Record that the length of a queue changed by one, from `old` to `new`."""
        self.total += new - old
        self.flows += (new > 0) - (old > 0)
        if old:
            del self._by_length[old][organisation]
        if new:
            self._by_length[new][organisation] = None
        if new > self.longest or not self._by_length[self.longest]:
            self.longest = new

    def get_longest(self) -> str:
        """Return an organisation whose queue is the longest."""
        return next(iter(self._by_length[self.longest]))
