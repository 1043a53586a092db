"""Policies that order the instances that a read may be sent to, best first."""

import collections.abc
import random

from sedgeswitch.routing import candidates

Policy = collections.abc.Callable[
    [list[candidates.Candidate], random.Random], list[candidates.Candidate]
]

DEFAULT_POLICY = "least_expected_delay"
# Uses the reports of holders; see `routing.router`.
LOCAL_FIRST = "local_first"

_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> collections.abc.Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name.

    Settings name a policy as ``routing_policy``.
    """

    def register(policy: Policy) -> Policy:
        _POLICIES[name] = policy
        return policy

    return register


def get_policy(name: str) -> Policy:
    """Return a policy by its registered name.

    Raises
    ------
    KeyError
        If no policy has the name.
    """
    return _POLICIES[name]


def list_policies() -> list[str]:
    """Return the names of the registered policies."""
    return sorted(_POLICIES)


@register_policy(DEFAULT_POLICY)
def order_by_expected_delay(
    eligible: list[candidates.Candidate], rng: random.Random
) -> list[candidates.Candidate]:
    """Order the instances by expected delay; the order of equal ones is random."""
    shuffled = rng.sample(eligible, len(eligible))
    return sorted(shuffled, key=candidates.estimate_delay)


@register_policy("least_loaded")
def order_by_load(
    eligible: list[candidates.Candidate], rng: random.Random
) -> list[candidates.Candidate]:
    """Order the instances by running and queued requests, equal ones at random."""
    shuffled = rng.sample(eligible, len(eligible))
    return sorted(shuffled, key=lambda item: item.load.in_use + item.load.waiting)


@register_policy("random")
def order_at_random(
    eligible: list[candidates.Candidate], rng: random.Random
) -> list[candidates.Candidate]:
    """Return the instances in random order."""
    return rng.sample(eligible, len(eligible))


@register_policy("primary_only")
def order_primary_only(
    eligible: list[candidates.Candidate],
    rng: random.Random,  # noqa: ARG001
) -> list[candidates.Candidate]:
    """Return the primary alone, or nothing if it is not eligible."""
    return [candidate for candidate in eligible if candidate.is_primary]


@register_policy(LOCAL_FIRST)
def order_local_first(
    eligible: list[candidates.Candidate], rng: random.Random
) -> list[candidates.Candidate]:
    """Draw the first instance by the shares; order the others by expected delay.

    Without shares, all are ordered by expected delay.
    """
    ordered = order_by_expected_delay(eligible, rng)
    weights = [candidate.share for candidate in ordered]
    if None in weights or not sum(weights):
        return ordered
    [first] = rng.choices(ordered, weights)
    return [first, *(candidate for candidate in ordered if candidate is not first)]
