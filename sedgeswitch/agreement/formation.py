"""Formation: the bootstrap of a new cluster with its first set of voters.

The host with the lowest id decides. It asks each other host for its incarnation,
and stores a snapshot of the empty state whose voters are these members. The other
hosts receive the snapshot from the leader. If one of the other hosts is in a
cluster already, this host has an empty disk while the cluster has a log: it does
not form a cluster, but waits until it becomes a voter by `Node.replace_voter`.
"""

import loguru
import trio

from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer

# Pause between attempts to reach all hosts, in seconds.
_RETRY_S = 0.2
# Timeout of a request for the identity of a host, in seconds.
_TIMEOUT_S = 1.0


class _AlreadyFormedError(Exception):
    """Another host has a set of voters in its log."""


async def form_cluster(
    state: state_module.State, network: network_module.Network
) -> None:
    """Store the first set of voters if this host has the lowest id.

    Returns once a set of voters is stored, be it by this host or by a leader's
    snapshot, or if the cluster exists already.
    """
    settings = state.settings
    if settings.node_id != min(voter.id for voter in settings.bootstrap_voters):
        return
    while not state.log.is_formed:
        try:
            members = await _find_members(state, network)
        except failures.CallError:
            await trio.sleep(_RETRY_S)
        except _AlreadyFormedError:
            loguru.logger.error(
                "not forming a cluster: another host has a log already, while the"
                " disk of this host is empty"
            )
            return
        else:
            await _store_voters(state, members)


async def identify(
    network: network_module.Network, address: peer.Address, sender_id: str
) -> messages.IdentifyReply:
    """Return the host id and incarnation of the host at an address.

    Raises
    ------
    failures.CallError
        If there is no answer within the timeout.
    """
    return await network.call(address, messages.IdentifyRequest(sender_id), _TIMEOUT_S)


def build_member(reply: messages.IdentifyReply, address: peer.Address) -> voters.Member:
    """Return the member that the reply of a host describes."""
    return voters.Member(reply.node_id, address.host, address.port, reply.incarnation)


def answer_identify(state: state_module.State) -> messages.IdentifyReply:
    """Return the identity of this host."""
    return messages.IdentifyReply(
        state.settings.node_id, state.incarnation, state.log.is_formed
    )


async def _find_members(
    state: state_module.State, network: network_module.Network
) -> tuple[voters.Member, ...]:
    """Return the bootstrap voters; empty if an address belongs to another host."""
    members = []
    for voter in state.settings.bootstrap_voters:
        address = peer.Address(voter.host, voter.port)
        if voter.id == state.settings.node_id:
            members.append(build_member(answer_identify(state), address))
            continue
        reply = await identify(network, address, state.settings.node_id)
        if reply.is_formed:
            raise _AlreadyFormedError
        if reply.node_id != voter.id:
            loguru.logger.error(
                "bootstrap voter {} answers with the host id {}", voter, reply.node_id
            )
            await trio.sleep(_RETRY_S)
            return ()
        members.append(build_member(reply, address))
    return tuple(members)


async def _store_voters(
    state: state_module.State, members: tuple[voters.Member, ...]
) -> None:
    # A leader's snapshot may have been installed while the hosts were asked.
    if not members or state.log.is_formed:
        return
    snapshot = storage.Snapshot(0, 0, voters.VoterSet(members), b"")
    state.log.install(snapshot)
    state.writer.submit(storage.SaveSnapshot(snapshot, 1))
    await state.writer.wait_until_synced()
    state.role_changed.send()
