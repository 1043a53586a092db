"""Registry of the orders in which waiting statements are started."""

import collections.abc
import enum
import typing

DEFAULT_ORDER = "class_then_slack"
# Share of the time from arrival to the latest start after which a statement counts as
# due. An organisation with few statements then waits at most for this share plus its
# fair turn, so that it meets its target also while another organisation floods.
DUE_SHARE = 0.5


class Urgency(enum.IntEnum):
    """How urgent a statement is; statements of one urgency share slots fairly."""

    DUE = 0
    DEFERRABLE = 1
    LATE = 2


class Candidate(typing.NamedTuple):
    """The first waiting statement of an organisation in a class.

    Attributes
    ----------
    priority : int
        Class of the statement; 0 is the highest.
    enqueued_s : float
    latest_start_s : float
        Latest start with which the statement is expected to meet its target.
    received_s : float
        Weighted service time that its organisation has received in the class.
    """

    priority: int
    enqueued_s: float
    latest_start_s: float
    received_s: float


Key = tuple[float, ...]
Order = collections.abc.Callable[[Candidate, float], Key]

_ORDERS: dict[str, Order] = {}


def register_order(name: str) -> collections.abc.Callable[[Order], Order]:
    """Return a decorator that registers an order under a name.

    An order returns the sort key of a candidate at a time; the least is started first.
    """

    def register(order: Order) -> Order:
        _ORDERS[name] = order
        return order

    return register


def get_order(name: str) -> Order:
    """Return an order by its registered name.

    Raises
    ------
    KeyError
        If no order has the name.
    """
    return _ORDERS[name]


def get_urgency(candidate: Candidate, now_s: float) -> Urgency:
    """Return the urgency of a statement."""
    latest_start_s = candidate.latest_start_s
    if now_s > latest_start_s:
        return Urgency.LATE
    slack_s = latest_start_s - candidate.enqueued_s
    due_s = candidate.enqueued_s + DUE_SHARE * slack_s
    return Urgency.DUE if now_s >= due_s else Urgency.DEFERRABLE


@register_order(DEFAULT_ORDER)
def order_by_class(candidate: Candidate, now_s: float) -> Key:
    """Order by class, then by urgency, then fairly, then by slack."""
    return (
        candidate.priority,
        get_urgency(candidate, now_s),
        candidate.received_s,
        candidate.latest_start_s,
    )


@register_order("on_time_first")
def order_by_urgency(candidate: Candidate, now_s: float) -> Key:
    """Order by urgency before class, so that late work waits for work of any class."""
    return (
        get_urgency(candidate, now_s),
        candidate.priority,
        candidate.received_s,
        candidate.latest_start_s,
    )


@register_order("first_come")
def order_by_arrival(candidate: Candidate, now_s: float) -> Key:  # noqa: ARG001
    """Order by arrival alone."""
    return (candidate.enqueued_s,)
