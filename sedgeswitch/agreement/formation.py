"""Formation: how a new cluster gets its first set of voters.

The host with the lowest id decides. It asks every other host which disk it runs
on, and stores a snapshot of the empty state whose voters name those disks. The
other hosts receive it from the leader. A host that finds one of the others
formed runs on an empty disk in a cluster that has history: it waits to be
admitted by `Node.replace_voter`.
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

_RETRY_S = 0.2
_TIMEOUT_S = 1.0


class _AlreadyFormedError(Exception):
    """Another host holds a set of voters."""


async def form_cluster(
    state: state_module.State, network: network_module.Network
) -> None:
    """Store the first set of voters, if it is for this host to decide."""
    settings = state.settings
    if settings.node_id != min(voter.id for voter in settings.bootstrap_voters):
        return
    while not state.log.is_formed:
        try:
            members = await _find_members(state, network)
        except failures.CallError:
            await trio.sleep(_RETRY_S)
        except _AlreadyFormedError:
            loguru.logger.error("the cluster has history that this disk lacks")
            return
        else:
            await _store_voters(state, members)


async def identify(
    network: network_module.Network, address: peer.Address, sender_id: str
) -> messages.IdentifyReply:
    """Return which host and disk answers at an address.

    Raises
    ------
    failures.CallError
        If there is no answer.
    """
    return await network.call(address, messages.IdentifyRequest(sender_id), _TIMEOUT_S)


def build_member(reply: messages.IdentifyReply, address: peer.Address) -> voters.Member:
    """Return the member that has identified itself."""
    return voters.Member(reply.node_id, address.host, address.port, reply.incarnation)


def answer_identify(state: state_module.State) -> messages.IdentifyReply:
    """Return the identity of this host."""
    return messages.IdentifyReply(
        state.settings.node_id, state.incarnation, state.log.is_formed
    )


async def _find_members(
    state: state_module.State, network: network_module.Network
) -> tuple[voters.Member, ...]:
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
            loguru.logger.error("{} answers as {}", voter, reply.node_id)
            await trio.sleep(_RETRY_S)
            return ()
        members.append(build_member(reply, address))
    return tuple(members)


async def _store_voters(
    state: state_module.State, members: tuple[voters.Member, ...]
) -> None:
    # A leader's snapshot may have come in between.
    if not members or state.log.is_formed:
        return
    snapshot = storage.Snapshot(0, 0, voters.VoterSet(members), b"")
    state.log.install(snapshot)
    state.writer.submit(storage.SaveSnapshot(snapshot, 1))
    await state.writer.wait()
    state.role_moved.send()
