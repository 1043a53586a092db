"""A queue for an instance's slots that orders statements by class and urgency."""

import collections
import collections.abc
import enum
import heapq
import itertools
import math
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.scheduling import counts as class_counts
from sedgeswitch.scheduling import orders
from sedgeswitch.scheduling import retries
from sedgeswitch.scheduling import slot_limit
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils import checks

# Share of the slots, and of the places in the queue, that is divided equally among the
# classes that wait. The rest goes to the highest class. With three classes the lowest
# still gets a sixth.
GUARANTEED_SHARE = 0.5
# A statement is refused by its estimated wait only if the estimate is longer than the
# remaining time by this factor: the estimate is a mean.
ESTIMATE_TOLERANCE = 1.5
# Largest share of its time that a statement gives up early because its mean service
# time no longer fits. Otherwise a mean that is too large would never be corrected.
GIVE_UP_SHARE = 0.5
# Share of the open transactions at an instance that one organisation may have.
ORGANISATION_SHARE = 0.5
# Weight of a new observation in a mean service time.
_SERVICE_WEIGHT = 0.1
# An observation counts at most as this many times the mean. It limits the effect of a
# jump of the clock; a slow instance is still followed within a few statements.
_SAMPLE_LIMIT = 10.0
# Least service time, in seconds, so that a mean can always grow again.
_MIN_SERVICE_S = 0.0005
# Retry-after time where the wait is unknown since the instance has no slots, in
# seconds: a change of primary takes about as long.
_NO_SLOTS_WAIT_S = 0.5
_STATUS = 503
_CODE = "overloaded"

Note = collections.abc.Callable[..., None]


class State(enum.Enum):
    """State of a ticket."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"
    ENDED = "ended"


class Ticket:
    """A statement or transaction that waits, or that holds a connection.

    Attributes
    ----------
    organisation : str
    work : work.Work
    deadline_s, enqueued_s : float
    latest_start_s : float
        Latest start with which it is expected to meet its target.
    number : int
        Order of arrival among the tickets that had to wait.
    started_s : float or None
        When the statement that runs now was given its slot.
    charged_s : float
        Service time that its organisation was charged for that statement.
    state : State
    takes_slot : bool
        False for a query of the proxy itself, which needs a connection only.
    is_observable : bool
        Whether the time of the present statement counts towards the mean.
    is_counted : bool
        Whether its first answer was counted as on time or late.
    refusal : verdicts.RefusedError or None
    """

    __slots__ = (
        "charged_s",
        "deadline_s",
        "done",
        "enqueued_s",
        "is_counted",
        "is_observable",
        "latest_start_s",
        "number",
        "organisation",
        "refusal",
        "started_s",
        "state",
        "takes_slot",
        "work",
    )

    def __init__(
        self,
        organisation: str,
        work: works.Work,
        deadline_s: float,
        service_s: float,
        now_s: float,
    ):
        self.organisation = organisation
        self.work = work
        self.deadline_s = deadline_s
        self.enqueued_s = now_s
        self.latest_start_s = work.target_s - service_s
        self.number = 0
        self.started_s: float | None = None
        self.charged_s = 0.0
        self.state = State.WAITING
        self.takes_slot = True
        self.is_observable = True
        self.is_counted = False
        self.refusal: verdicts.RefusedError | None = None
        # Created only if the ticket has to wait.
        self.done: trio.Event | None = None


class _Flow:
    """The waiting statements of one organisation in one class.

    Transactions have a flow of their own, since their limit may hold them back.
    """

    def __init__(self, organisation: str, is_transaction: bool):
        self.organisation = organisation
        self.is_transaction = is_transaction
        self.size = 0
        self._pending: list[tuple[float, int, Ticket]] = []
        self._late: collections.deque[Ticket] = collections.deque()

    def push(self, ticket: Ticket) -> None:
        entry = (ticket.latest_start_s, ticket.number, ticket)
        heapq.heappush(self._pending, entry)
        self.size += 1

    def get_head(self, now_s: float) -> Ticket | None:
        """Return the ticket with the least slack, or else the first late one."""
        pending, late = self._pending, self._late
        while pending:
            latest_start_s, _, ticket = pending[0]
            if ticket.state is State.WAITING:
                if now_s <= latest_start_s:
                    return ticket
                late.append(ticket)
            heapq.heappop(pending)
        while late and late[0].state is not State.WAITING:
            late.popleft()
        return late[0] if late else None

    def get_last(self, now_s: float) -> Ticket:
        """Return the ticket that would start last: the newest late one, if any."""
        self.get_head(now_s)
        pending = [ticket for _, _, ticket in self._pending]
        for tickets in (self._late, pending):
            waiting = [ticket for ticket in tickets if ticket.state is State.WAITING]
            if waiting:
                return max(waiting, key=lambda ticket: ticket.number)
        raise LookupError(f"no statement of {self.organisation} waits")


class _Class:
    """The statements of one priority.

    Attributes
    ----------
    waiting_s : float
        Sum of the expected service times of the waiting statements.
    credit_s : float
        Service time that the class is still owed of its guaranteed share.
    received_s : dict of str to float
        Weighted service time by organisation, since the class began to wait.
    virtual_s : float
        Weighted service time of the organisation that was served last, with which an
        organisation begins that did not wait before.
    """

    def __init__(self, priority: int):
        self.priority = priority
        self.flows: dict[tuple[str, bool], _Flow] = {}
        self.waiting = 0
        self.waiting_s = 0.0
        self.running = 0
        self.credit_s = 0.0
        self.received_s: dict[str, float] = {}
        self.virtual_s = 0.0

    def reset(self) -> None:
        """Remove what is only valid while statements of the class wait."""
        self.flows.clear()
        self.waiting_s = 0.0
        self.credit_s = 0.0
        self.received_s.clear()
        self.virtual_s = 0.0


class ClassLoad(typing.NamedTuple):
    """The load of one class at a scheduler.

    Attributes
    ----------
    waiting, running : int
    oldest_s : float
        Time for which the oldest waiting statement has waited, in seconds.
    """

    waiting: int
    running: int
    oldest_s: float


class Scheduler:
    """Shares an instance's slots between classes, urgencies and organisations.

    It has the methods of `admission.fair_queue.FairQueue`. Its `running` tickets hold a
    connection; of these, the statements that run now are also limited by the slots of
    the instance.

    Parameters
    ----------
    connections : int
        Tickets that may hold a connection at once.
    capacity : int
        Largest number of tickets that wait.
    order : str, optional
        Registered name of the order; see `orders`.
    counts : mapping of int to counts.Counts, optional
        Counts by priority to which this scheduler adds.
    note : callable, optional
        ``note(kind, now_s, **fields)`` logs a decision.
    first_service_s : float, optional
        Service time assumed before the first observation.
    """

    def __init__(
        self,
        connections: int,
        capacity: int,
        order: str = orders.DEFAULT_ORDER,
        counts: collections.defaultdict[int, class_counts.Counts] | None = None,
        note: Note | None = None,
        first_service_s: float = 0.01,
    ):
        self._connections = int(checks.check_range("connections", connections, 1))
        self._capacity = int(checks.check_range("capacity", capacity, 1))
        self._service_s = checks.check_range(
            "first_service_s", first_service_s, _MIN_SERVICE_S
        )
        self._service_by_kind = dict.fromkeys(works.Kind, self._service_s)
        self._order = orders.get_order(order)
        self._counts = class_counts.build_counts() if counts is None else counts
        self._note = note
        self._limit = slot_limit.SlotLimit(self._connections)
        self._classes: dict[int, _Class] = {}
        self._numbers = itertools.count()
        self._retries = retries.RetryTimes()
        self._resuming: collections.deque[Ticket] = collections.deque()
        self._waiting = 0
        self._held = 0
        self._running = 0
        self._transactions: dict[str, int] = {}
        self._open_transactions = 0

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a slot."""
        return self._waiting + len(self._resuming)

    @property
    def running(self) -> int:
        """Number of tickets that hold a connection."""
        return self._held

    @property
    def running_statements(self) -> int:
        """Number of statements that run now."""
        return self._running

    @property
    def service_s(self) -> float:
        """Moving average of the service time of recent statements, in seconds."""
        return self._service_s

    @property
    def limit(self) -> slot_limit.SlotLimit:
        """Limit of the statements that run at the same time."""
        return self._limit

    def get_class_loads(self, now_s: float) -> dict[int, ClassLoad]:
        """Return the load of each class that has been used, by priority."""
        return {
            item.priority: ClassLoad(
                item.waiting, item.running, _get_oldest_s(item, now_s)
            )
            for item in self._classes.values()
        }

    def get_waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting statements of each class that has some."""
        return {
            item.priority: item.waiting
            for item in self._classes.values()
            if item.waiting
        }

    async def acquire(
        self,
        organisation: str,
        deadline_s: float,
        now_s: float,
        work: works.Work | None = None,
    ) -> Ticket:
        """Wait for a connection and a slot.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Deadline of the caller, on trio's clock.
        now_s : float
        work : work.Work, optional
            By default a query of the proxy itself, which does not wait for a slot.

        Returns
        -------
        Ticket
            Holds the connection until it is given to `release`.

        Raises
        ------
        RefusedError
            With status 503, code ``overloaded`` and verdict "not run": the statement
            cannot be answered before its deadline, or the queue is full.
        """
        is_own_query = work is None
        if work is None:
            work = works.Work(works.Kind.READ, 0, 0, deadline_s)
        service_s = self._service_by_kind[work.kind]
        ticket = Ticket(organisation, work, deadline_s, service_s, now_s)
        if is_own_query and self._held < self._connections:
            ticket.takes_slot = ticket.is_observable = False
            is_startable = True
        else:
            is_startable = not self._waiting and self._is_startable(ticket)
        if is_startable and now_s < deadline_s:
            self._start(ticket, now_s)
        else:
            self._enqueue(ticket, service_s, now_s)
        try:
            if ticket.done is None:
                await trio.lowlevel.checkpoint()
                return ticket
            with trio.move_on_at(_get_give_up_s(ticket, service_s)):
                await ticket.done.wait()
        except BaseException:
            self._withdraw(ticket)
            raise
        if ticket.state is State.WAITING:
            detail = "it can no longer be answered before the deadline"
            self._refuse(ticket, detail, trio.current_time())
        if ticket.refusal is not None:
            raise ticket.refusal
        return ticket

    def set_slots(self, slots: int, now_s: float) -> None:
        """Change how many tickets may hold a connection.

        The name is that of `FairQueue`, whose slots are connections.
        """
        self._connections = int(checks.check_range("slots", slots, 0))
        self._dispatch(now_s)

    def set_instance_slots(self, slots: int, holders: int, now_s: float) -> None:
        """Change how many statements the instance runs, and how many hosts share it.

        If the number shrinks, statements that are running continue to their end.
        """
        self._limit.set_slots(slots, holders)
        self._dispatch(now_s)

    def mark_ready(self, ticket: Ticket, now_s: float) -> None:
        """Begin the service time anew, after a connection was opened."""
        ticket.started_s = now_s

    def release(self, ticket: Ticket, now_s: float, is_observed: bool = True) -> None:
        """Give up the connection, and the slot if one is held.

        Parameters
        ----------
        ticket : Ticket
        now_s : float
        is_observed : bool, optional
            Whether its time counts towards the mean service time.
        """
        if ticket.state is State.RUNNING:
            self._end_statement(ticket, now_s, is_observed)
        ticket.state = State.ENDED
        self._held -= 1
        if ticket.work.kind is works.Kind.TRANSACTION and ticket.takes_slot:
            self._open_transactions -= 1
            count = self._transactions[ticket.organisation] - 1
            self._transactions[ticket.organisation] = count
            if not count:
                del self._transactions[ticket.organisation]
        if self._waiting or self._resuming:
            self._dispatch(now_s)

    def pause(self, ticket: Ticket, now_s: float) -> None:
        """Give up the slot between two statements of an open transaction."""
        if ticket.state is State.RUNNING:
            self._end_statement(ticket, now_s, is_observed=True)
            ticket.state = State.PAUSED
            self._dispatch(now_s)

    async def resume(self, ticket: Ticket, deadline_s: float, now_s: float) -> bool:
        """Wait for a slot for a further statement of an open transaction.

        It is served before all statements outside transactions, because an open
        transaction holds a connection and may hold locks.

        Returns
        -------
        bool
            False if there was no slot by `deadline_s`, on trio's clock.
        """
        if ticket.state is not State.PAUSED:
            return True
        ticket.is_observable = True
        if not self._resuming and self._running < self._limit.current:
            self._run(ticket, now_s)
            return True
        ticket.done = trio.Event()
        self._resuming.append(ticket)
        try:
            with trio.move_on_at(deadline_s):
                await ticket.done.wait()
        finally:
            if ticket.state is State.PAUSED:
                self._resuming.remove(ticket)
        return ticket.state is State.RUNNING

    def record_busy(self, ticket: Ticket) -> None:
        """Record that the instance refused a statement for lack of a slot."""
        ticket.is_observable = False
        self._limit.record_busy()

    def get_wait_s(self, organisation: str, work: works.Work | None = None) -> float:
        """Return the estimated wait of a new statement of an organisation."""
        if not self._waiting and self._running < self._limit.current:
            return 0.0
        priority = works.LOWEST_PRIORITY if work is None else work.priority
        kind = works.Kind.READ if work is None else work.kind
        service_s = self._service_by_kind[kind]
        waiting = [item for item in self._classes.values() if item.waiting]
        higher_s = sum(item.waiting_s for item in waiting if item.priority < priority)
        own = self._classes.get(priority)
        own_s = service_s
        if own is not None and own.waiting:
            flow = own.flows.get((organisation, kind is works.Kind.TRANSACTION))
            length = flow.size if flow is not None else 0
            flows = len(own.flows) + (length == 0)
            # Fair sharing serves each other organisation at most length + 1 times
            # before the new statement.
            ahead = min(own.waiting, (length + 1) * flows - 1)
            own_s += own.waiting_s * ahead / own.waiting
        rate = max(self._limit.current, 1)
        classes = len(waiting) + (own is None or not own.waiting)
        # Higher classes take at most what their guarantees leave of the slots.
        guaranteed_s = own_s / (GUARANTEED_SHARE / classes)
        return min(higher_s + own_s, guaranteed_s) / rate

    def _is_startable(self, ticket: Ticket) -> bool:
        if self._running >= self._limit.current or self._held >= self._connections:
            return False
        if ticket.work.kind is not works.Kind.TRANSACTION:
            return True
        return self._may_open_transaction(ticket.organisation)

    def _may_open_transaction(self, organisation: str) -> bool:
        """Return whether the limits of open transactions allow another one.

        Single statements need no more connections than the instance has slots, so that
        as many are reserved for them, but at most half of all.
        """
        reserved = min(self._limit.slots, self._connections // 2)
        limit = max(self._connections - reserved, 1)
        if self._open_transactions >= limit:
            return False
        own = self._transactions.get(organisation, 0)
        return own < math.ceil(limit * ORGANISATION_SHARE)

    def _get_class(self, priority: int) -> _Class:
        item = self._classes.get(priority)
        if item is None:
            item = self._classes[priority] = _Class(priority)
        return item

    def _start(self, ticket: Ticket, now_s: float) -> None:
        """Give a ticket a connection, and a slot unless it takes none."""
        self._held += 1
        if not ticket.takes_slot:
            ticket.state = State.PAUSED
            ticket.started_s = now_s
            return
        if ticket.work.kind is works.Kind.TRANSACTION:
            self._open_transactions += 1
            count = self._transactions.get(ticket.organisation, 0)
            self._transactions[ticket.organisation] = count + 1
        self._run(ticket, now_s)

    def _run(self, ticket: Ticket, now_s: float) -> None:
        ticket.state = State.RUNNING
        ticket.started_s = now_s
        self._running += 1
        self._get_class(ticket.work.priority).running += 1

    def _end_statement(self, ticket: Ticket, now_s: float, is_observed: bool) -> None:
        work = ticket.work
        longest_s = _SAMPLE_LIMIT * self._service_by_kind[work.kind]
        service_s = min(max(0.0, now_s - ticket.started_s), longest_s)
        own = self._classes[work.priority]
        if ticket.charged_s:
            self._charge(ticket, own, service_s - ticket.charged_s)
            ticket.charged_s = 0.0
        if is_observed and ticket.is_observable:
            self._observe(work.kind, service_s)
            self._count(ticket, now_s)
        self._running -= 1
        own.running -= 1

    def _count(self, ticket: Ticket, now_s: float) -> None:
        if ticket.is_counted:
            return
        ticket.is_counted = True
        counts = self._counts[ticket.work.priority]
        if now_s <= ticket.work.target_s:
            counts.on_time += 1
        else:
            counts.late += 1

    def _observe(self, kind: works.Kind, service_s: float) -> None:
        mean_s = self._service_by_kind[kind]
        service_s = max(service_s, _MIN_SERVICE_S)
        self._service_by_kind[kind] = mean_s + _SERVICE_WEIGHT * (service_s - mean_s)
        self._service_s += _SERVICE_WEIGHT * (service_s - self._service_s)
        self._limit.record(kind, service_s, self._running, self.waiting)

    def _charge(self, ticket: Ticket, own: _Class, service_s: float) -> None:
        """Add to the service that an organisation received while its class waits."""
        received_s = own.received_s.get(ticket.organisation)
        if received_s is not None:
            received_s += service_s / ticket.work.weight
            own.received_s[ticket.organisation] = received_s

    def _enqueue(self, ticket: Ticket, service_s: float, now_s: float) -> None:
        """Add a ticket to the queue.

        Raises
        ------
        RefusedError
            See `acquire`.
        """
        left_s = ticket.deadline_s - now_s
        if left_s <= 0:
            raise self._build_refusal(ticket, "the deadline has passed", now_s)
        wait_s = self.get_wait_s(ticket.organisation, ticket.work)
        # Without slots the wait is unknown; they may come back at any time.
        is_known = self._limit.current > 0
        if is_known and wait_s + service_s > ESTIMATE_TOLERANCE * left_s and wait_s > 0:
            detail = "the estimated wait passes the deadline"
            raise self._build_refusal(ticket, detail, now_s)
        if self._waiting >= self._capacity:
            self._evict_for(ticket, now_s)
        own = self._get_class(ticket.work.priority)
        is_transaction = ticket.work.kind is works.Kind.TRANSACTION
        key = (ticket.organisation, is_transaction)
        flow = own.flows.get(key)
        if flow is None:
            flow = own.flows[key] = _Flow(*key)
            received_s = own.received_s.get(ticket.organisation, own.virtual_s)
            own.received_s[ticket.organisation] = max(received_s, own.virtual_s)
        ticket.number = next(self._numbers)
        flow.push(ticket)
        ticket.charged_s = service_s
        own.waiting += 1
        own.waiting_s += service_s
        self._waiting += 1
        if now_s <= ticket.latest_start_s:
            self._counts[ticket.work.priority].deferred += 1
        # A ticket may be startable although others wait, if transactions are limited.
        ticket.done = trio.Event()
        self._dispatch(now_s)

    def _evict_for(self, ticket: Ticket, now_s: float) -> None:
        """Refuse another statement, so that a new one can wait.

        The lowest class that has more than its guaranteed part of the queue loses the
        last statement of its longest flow.

        Raises
        ------
        RefusedError
            If the new statement is the one to be refused.
        """
        own = self._get_class(ticket.work.priority)
        waiting = [item for item in self._classes.values() if item.waiting]
        classes = len(waiting) + (not own.waiting)
        part = self._capacity * GUARANTEED_SHARE / classes
        for item in sorted(waiting, key=lambda item: -item.priority):
            is_lower = item.priority > own.priority
            if item is own or item.waiting <= part:
                continue
            if is_lower or own.waiting < part:
                self._evict(item, now_s)
                return
        length = sum(
            own.flows[key].size for key in own.flows if key[0] == ticket.organisation
        )
        longest = max((flow.size for flow in own.flows.values()), default=0)
        own_flow = own.flows.get(
            (ticket.organisation, ticket.work.kind is works.Kind.TRANSACTION)
        )
        last = None if own_flow is None else own_flow.get_last(now_s)
        if length + 1 < longest:
            self._evict(own, now_s)
        elif last is not None and last.latest_start_s < now_s <= ticket.latest_start_s:
            # The organisation's own late statement makes room for one in time.
            self._refuse(last, "the queue is full", now_s)
        else:
            raise self._build_refusal(ticket, "the queue is full", now_s)

    def _evict(self, item: _Class, now_s: float) -> None:
        longest = max(item.flows.values(), key=lambda flow: flow.size)
        self._refuse(longest.get_last(now_s), "the queue is full", now_s)

    def _dispatch(self, now_s: float) -> None:
        """Start waiting statements while there are slots and connections."""
        while self._resuming and self._running < self._limit.current:
            ticket = self._resuming.popleft()
            self._run(ticket, now_s)
            ticket.done.set()
        while (
            self._waiting
            and self._running < self._limit.current
            and self._held < self._connections
        ):
            ticket = self._choose(now_s)
            if ticket is None:
                return
            if now_s >= ticket.deadline_s:
                detail = "it can no longer be answered before the deadline"
                self._refuse(ticket, detail, now_s)
                continue
            self._account(ticket)
            self._remove(ticket)
            self._start(ticket, now_s)
            ticket.done.set()

    def _choose(self, now_s: float) -> Ticket | None:
        """Return the statement to start next, None if limits hold all of them back."""
        best = None
        best_key = None
        owed = self._find_owed()
        for item in self._classes.values():
            if not item.waiting:
                continue
            for flow in item.flows.values():
                if flow.is_transaction and not self._may_open_transaction(
                    flow.organisation
                ):
                    continue
                ticket = flow.get_head(now_s)
                if ticket is None:
                    continue
                candidate = orders.Candidate(
                    item.priority,
                    ticket.enqueued_s,
                    ticket.latest_start_s,
                    item.received_s[flow.organisation],
                )
                key = (item is not owed, *self._order(candidate, now_s))
                if best_key is None or key < best_key:
                    best, best_key = ticket, key
        return best

    def _find_owed(self) -> _Class | None:
        """Return the class that is owed most of its guaranteed share, if any is."""
        owed = None
        for item in self._classes.values():
            if not item.waiting or item.credit_s < item.waiting_s / item.waiting:
                continue
            if owed is None or item.credit_s > owed.credit_s:
                owed = item
        return owed

    def _account(self, ticket: Ticket) -> None:
        """Charge the start of a statement to its organisation and its class."""
        own = self._classes[ticket.work.priority]
        service_s = ticket.charged_s
        own.virtual_s = max(own.virtual_s, own.received_s[ticket.organisation])
        self._charge(ticket, own, service_s)
        waiting = [item for item in self._classes.values() if item.waiting]
        for item in waiting:
            item.credit_s += GUARANTEED_SHARE / len(waiting) * service_s
        own.credit_s = max(own.credit_s - service_s, 0.0)

    def _remove(self, ticket: Ticket) -> None:
        """Take a waiting ticket out of its class; its flow drops it later."""
        own = self._classes[ticket.work.priority]
        key = (ticket.organisation, ticket.work.kind is works.Kind.TRANSACTION)
        flow = own.flows[key]
        flow.size -= 1
        if not flow.size:
            del own.flows[key]
        own.waiting -= 1
        own.waiting_s -= ticket.charged_s
        self._waiting -= 1
        ticket.state = State.ENDED
        if not own.waiting:
            own.reset()

    def _refuse(self, ticket: Ticket, detail: str, now_s: float) -> None:
        self._remove(ticket)
        ticket.refusal = self._build_refusal(ticket, detail, now_s)
        ticket.done.set()

    def _withdraw(self, ticket: Ticket) -> None:
        """Release the connection or the place in the queue of a cancelled request."""
        if ticket.state is State.WAITING:
            self._remove(ticket)
        elif ticket.state is not State.ENDED:
            # The request has not run, so that its time is not observed.
            self.release(ticket, trio.current_time(), is_observed=False)

    def _build_refusal(
        self, ticket: Ticket, detail: str, now_s: float
    ) -> verdicts.RefusedError:
        work = ticket.work
        self._counts[work.priority].refused += 1
        service_s = self._service_by_kind[work.kind]
        if self._limit.current:
            wait_s = self.get_wait_s(ticket.organisation, work)
        else:
            wait_s = _NO_SLOTS_WAIT_S
        waited_s = max(now_s - ticket.enqueued_s, 0.0)
        time_s = max(ticket.deadline_s - ticket.enqueued_s, waited_s)
        retry_after_ms = self._retries.get_retry_after_ms(
            wait_s,
            service_s / max(self._limit.current, 1),
            waited_s / time_s if time_s else 0.0,
            now_s,
        )
        if self._note is not None:
            self._note(
                "statement refused for lack of slots",
                now_s,
                organisation=ticket.organisation,
                priority=work.priority,
                work=work.kind.value,
                waited_ms=round(waited_s * 1000),
                waiting=self._waiting,
                running=self._running,
                slots=self._limit.current,
                retry_after_ms=retry_after_ms,
                detail=detail,
            )
        return verdicts.build_not_run(_STATUS, _CODE, detail, retry_after_ms)


def _get_give_up_s(ticket: Ticket, service_s: float) -> float:
    """Return when a waiting ticket can no longer be answered before its deadline."""
    left_s = ticket.deadline_s - ticket.enqueued_s
    return ticket.deadline_s - min(service_s, GIVE_UP_SHARE * left_s)


def _get_oldest_s(item: _Class, now_s: float) -> float:
    heads = [flow.get_head(now_s) for flow in item.flows.values()]
    return max(
        (now_s - ticket.enqueued_s for ticket in heads if ticket is not None),
        default=0.0,
    )
