"""How a host gets a place among the voters without an operator.

A host that is no voter asks the leader. The leader gives it the place of a voter
that runs on another disk now, or that has been silent for long.
"""

import collections.abc
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

# Silence after which the leader gives a voter's place to a host that asks, in
# seconds; a restart takes less.
SILENCE_LIMIT_S = 6.0
# Age at which a request for a place stops counting, in seconds.
REQUEST_AGE_S = 3.0
CHECK_INTERVAL_S = 0.5
CHANGE_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 1.0


class _Request(typing.NamedTuple):
    """A request for a place."""

    address: peer.Address
    received_s: float


class _Change(typing.NamedTuple):
    """A change of the voters; without `old_id` one is added."""

    old_id: str | None
    new_id: str
    address: peer.Address


class VoterManager:
    """Adds and replaces voters while this host leads.

    Parameters
    ----------
    node : node.Node
    voter_count : int
        Voters to have where enough hosts ask for a place.
    """

    def __init__(self, node: node_module.Node, voter_count: int):
        self._node = node
        self._voter_count = voter_count
        self._requests: dict[str, _Request] = {}

    async def answer_join(self, request: messages.JoinRequest) -> messages.JoinReply:
        """Note that a host asks for a place.

        Raises
        ------
        failures.CallError
            ``not_leader``; the detail names the leader if it is known.
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
        voters = self._node.get_voter_addresses()
        return messages.JoinReply(request.node_id in voters)

    async def run(self) -> None:
        """Change voters, one at a time, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            change = self._find_change(clocks.get_now_s())
            if change is None:
                continue
            loguru.logger.info("changing the voters", **change._asdict())
            try:
                await self._make(change)
                loguru.logger.info("changed the voters", **change._asdict())
            except errors.AgreementError as error:
                loguru.logger.warning("voters not changed", reason=str(error))

    async def _make(self, change: "_Change") -> None:
        if change.old_id is None:
            await self._node.add_voter(change.new_id, change.address, CHANGE_TIMEOUT_S)
        else:
            await self._node.replace_voter(
                change.old_id, change.new_id, change.address, CHANGE_TIMEOUT_S
            )

    def _find_change(self, now_s: float) -> "_Change | None":
        leadership = self._node.get_leadership(now_s)
        if leadership is None:
            return None
        addresses = self._node.get_voter_addresses()
        status = self._node.get_status(now_s)
        voters = [item for item in status.peers if item.is_voter]
        for voter in voters:
            if voter.is_replaced and voter.id in addresses:
                return _Change(voter.id, voter.id, addresses[voter.id])
        newcomer = self._find_newcomer(addresses, now_s)
        if newcomer is None:
            return None
        led_s = now_s - leadership.started_s
        for voter in voters:
            silent_s = led_s if voter.contact_age_s is None else voter.contact_age_s
            if silent_s >= SILENCE_LIMIT_S:
                return _Change(voter.id, *newcomer)
        if len(addresses) < self._voter_count:
            return _Change(None, *newcomer)
        return None

    def _find_newcomer(
        self, addresses: collections.abc.Mapping[str, peer.Address], now_s: float
    ) -> tuple[str, peer.Address] | None:
        for node_id, request in self._requests.items():
            is_fresh = now_s - request.received_s < REQUEST_AGE_S
            if is_fresh and node_id not in addresses:
                return node_id, request.address
        return None


class JoinRequester:
    """Asks for a place as long as this host has none.

    Parameters
    ----------
    node : node.Node
    identity : messages.JoinRequest
        What this host asks with.
    call : callable
        ``await call(message, timeout_s)`` calls the leader.
    """

    def __init__(
        self,
        node: node_module.Node,
        identity: messages.JoinRequest,
        call: collections.abc.Callable[
            [typing.Any, float], collections.abc.Awaitable[typing.Any]
        ],
    ):
        self._node = node
        self._identity = identity
        self._call = call

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._node.has_place(clocks.get_now_s()):
                continue
            try:
                await self._call(self._identity, CALL_TIMEOUT_S)
            except failures.CallError as error:
                loguru.logger.debug("no leader took the request: {}", error)
