"""Joining: how a host becomes a voter without an operator.

A host that is no voter sends join requests to the leader. The leader replaces an
unresponsive voter by it, or adds it if there are too few voters. A voter whose host
has come back with an empty data folder is replaced by itself without a request.
"""

import collections.abc
import math
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import node as node_module
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils import clocks

# Default time without contact after which a voter may be replaced by a host that
# requests to join, in seconds.
UNRESPONSIVE_LIMIT_S = 1.0
# Age at which a join request expires, in seconds.
REQUEST_MAX_AGE_S = 3.0
# Interval at which the leader looks for a change to make, in seconds.
CHECK_INTERVAL_S = 0.2
# Interval at which a host that is no voter sends its join request, and the shorter one
# until it has found the leader, in seconds.
REQUEST_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.1
# Longest time for one change, in seconds. A host that needs longer to receive the log
# has more of it at the next attempt.
CHANGE_TIMEOUT_S = 2.0
# Longest wait for the answer to a join request, in seconds; several round trips between
# two regions.
CALL_TIMEOUT_S = 0.4


class _Request(typing.NamedTuple):
    """A join request: the address of the host and when it was received."""

    address: peer.Address
    received_s: float


class _Change(typing.NamedTuple):
    """A change of the voters; `old_id` is None if a voter is added."""

    old_id: str | None
    new_id: str
    address: peer.Address


class VoterManager:
    """Adds and replaces voters while this host is the leader.

    Parameters
    ----------
    node : node.Node
    voter_count : int
        Number of voters up to which hosts that request to join are added.
    unresponsive_limit_s : float
        Time without contact after which a voter may be replaced. Until it is replaced,
        the voters bear one loss less. A new leader counts from its start, so that the
        replacement follows a loss by this time, an election and the change itself.
    """

    def __init__(
        self,
        node: node_module.Node,
        voter_count: int,
        unresponsive_limit_s: float = UNRESPONSIVE_LIMIT_S,
    ):
        self._node = node
        self._voter_count = voter_count
        self._unresponsive_limit_s = unresponsive_limit_s
        self._requests: dict[str, _Request] = {}
        # Times of the last attempts of changes that are still due.
        self._attempted_s: dict[_Change, float] = {}

    async def answer_join(self, request: messages.JoinRequest) -> messages.JoinReply:
        """Record a join request; the reply says whether the host is a voter.

        Raises
        ------
        failures.CallError
            ``not_leader`` if this host is not the leader; the detail is the leader
            hint, empty if there is none.
        """
        now_s = clocks.get_now_s()
        if self._node.get_leadership(now_s) is None:
            raise failures.CallError(
                leader_hints.NOT_LEADER,
                leader_hints.encode_hint(
                    self._node.leader_id, self._node.leader_address
                ),
                verdicts.Verdict.NOT_RUN,
            )
        address = peer.Address(request.host, request.port)
        self._requests[request.node_id] = _Request(address, now_s)
        addresses = self._node.get_voter_addresses()
        return messages.JoinReply(request.node_id in addresses)

    async def run(self) -> None:
        """Make the changes that are due, one at a time, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = clocks.get_now_s()
            change = self._choose_change(self._find_changes(now_s), now_s)
            if change is None:
                continue
            loguru.logger.info("changing the voters", **change._asdict())
            try:
                await self._apply_change(change)
                loguru.logger.info("voters changed", **change._asdict())
            except errors.AgreementError as error:
                loguru.logger.warning("voters not changed", reason=str(error))

    async def _apply_change(self, change: _Change) -> None:
        if change.old_id is None:
            await self._node.add_voter(change.new_id, change.address, CHANGE_TIMEOUT_S)
        else:
            await self._node.replace_voter(
                change.old_id, change.new_id, change.address, CHANGE_TIMEOUT_S
            )

    def _choose_change(self, changes: list[_Change], now_s: float) -> _Change | None:
        """Return the change whose last attempt is the longest ago, None without one.

        A change that cannot succeed now must not keep the others from being made.
        """
        self._attempted_s = {
            change: attempted_s
            for change, attempted_s in self._attempted_s.items()
            if change in changes
        }
        if not changes:
            return None
        chosen = min(changes, key=lambda item: self._attempted_s.get(item, -math.inf))
        self._attempted_s[chosen] = now_s
        return chosen

    def _find_changes(self, now_s: float) -> list[_Change]:
        """Return the changes that are due, the preferred ones first."""
        leadership = self._node.get_leadership(now_s)
        if leadership is None:
            return []
        addresses = self._node.get_voter_addresses()
        voters = [item for item in self._node.get_status(now_s).peers if item.is_voter]
        changes = [
            _Change(voter.id, voter.id, addresses[voter.id])
            for voter in voters
            if voter.is_replaced and voter.id in addresses
        ]
        joining_hosts = self._find_joining_hosts(addresses, now_s)
        leading_for_s = now_s - leadership.started_s
        changes += [
            _Change(voter.id, *host)
            for voter in voters
            if self._is_unresponsive(voter, leading_for_s)
            for host in joining_hosts
        ]
        if len(addresses) < self._voter_count:
            changes += [_Change(None, *host) for host in joining_hosts]
        return changes

    def _is_unresponsive(
        self, voter: node_module.PeerStatus, leading_for_s: float
    ) -> bool:
        age_s = voter.contact_age_s
        return (leading_for_s if age_s is None else age_s) >= self._unresponsive_limit_s

    def _find_joining_hosts(
        self, addresses: collections.abc.Mapping[str, peer.Address], now_s: float
    ) -> list[tuple[str, peer.Address]]:
        return [
            (node_id, request.address)
            for node_id, request in self._requests.items()
            if now_s - request.received_s < REQUEST_MAX_AGE_S
            and node_id not in addresses
        ]


class KnownHosts(typing.Protocol):
    """The control hosts that a host knows, of which one may be the leader."""

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Send a request to the host that is assumed to lead.

        Raises
        ------
        failures.CallError
            If it did not answer or does not lead; the next call goes to another one.
        """

    def learn_addresses(
        self, addresses: collections.abc.Mapping[str, peer.Address]
    ) -> None:
        """Replace the hosts that were learned before by these, by their ids."""

    def get_leader(self) -> leader_hints.Hint | None:
        """Return the host that answered the last call; None if it failed."""


class JoinRequester:
    """Sends join requests while this host is no active voter.

    Parameters
    ----------
    node : node.Node
    identity : messages.JoinRequest
        The request that this host sends.
    known_hosts : KnownHosts
    """

    def __init__(
        self,
        node: node_module.Node,
        identity: messages.JoinRequest,
        known_hosts: KnownHosts,
    ):
        self._node = node
        self._identity = identity
        self._known_hosts = known_hosts
        self._logged_reason = ""

    async def run(self) -> None:
        """Send join requests at intervals, when needed, until cancelled."""
        interval_s = REQUEST_INTERVAL_S
        while True:
            await trio.sleep(interval_s)
            interval_s = REQUEST_INTERVAL_S
            if self._node.is_active_voter(clocks.get_now_s()):
                self._node.record_found_leader(None)
                continue
            self._known_hosts.learn_addresses(self._node.get_voter_addresses())
            try:
                await self._known_hosts.call(self._identity, CALL_TIMEOUT_S)
                self._log_failure("")
            except failures.CallError as error:
                self._log_failure(error.code)
                interval_s = RETRY_INTERVAL_S
            self._node.record_found_leader(self._known_hosts.get_leader())

    def _log_failure(self, reason: str) -> None:
        """Log why no leader has received the join request, once for each reason."""
        if reason and reason != self._logged_reason:
            loguru.logger.info("join request was not accepted", reason=reason)
        self._logged_reason = reason
