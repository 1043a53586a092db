"""Writes under a lease in one program, without the daemon.

    python -m examples.write_leases_embedded

A host may acknowledge a write only while its lease is valid and the term that the
write ran under is current. The leader replaces a primary once every host has either
acknowledged the fence or lost its lease; here one host acknowledges, and one is cut
off. The clocks of the leader and of a host may drift apart by up to 1 %.
"""

import typing

import trio

from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import leases
from sedgeswitch.membership import machine

LEASE_S = 1.0
GROUP = "lots"


class Host(typing.NamedTuple):
    """An entry host and its table of groups."""

    host_id: str
    groups: table.GroupTable


def build_group(
    term: int, primary: str, phase: int = ttypes.GroupPhase.SERVING
) -> ttypes.Group:
    """Return the replicated state of the group."""
    return ttypes.Group(
        group=GROUP,
        term=term,
        timeline=term,
        primary=primary,
        phase=phase,
        instances=["lots-0", "lots-1"],
        leaving=[],
    )


def renew(host: Host, leader: leases.LeaseTable, sent_s: float) -> None:
    """Renew the lease of a host by a heartbeat that it sent at `sent_s`."""
    leader.record_renewal(host.host_id, trio.current_time())
    host.groups.set_lease(sent_s + LEASE_S)


def apply_group(host: Host, version: int, group: ttypes.Group) -> None:
    """Apply a new version of the group to the table of a host."""
    group.version = version
    host.groups.apply_changes(version, [group])


async def wait_for_holders(leader: leases.LeaseTable, acknowledged: set[str]) -> None:
    """Wait until every host that may hold a lease has acknowledged the fence."""
    while True:
        holders = leader.get_holders(trio.current_time())
        if {member.host_id for member in holders} <= acknowledged:
            return
        await trio.sleep(0.01)


def build_hosts(leader: leases.LeaseTable, members: machine.MembersMachine) -> list:
    """Return two registered hosts with a lease and with the group in their tables."""
    hosts = [Host(f"entry-{i}", table.GroupTable()) for i in (1, 2)]
    for host in hosts:
        members.members[host.host_id] = machine.Member(
            host.host_id, "run-1", "bagmati", "10.0.0.1", 7000
        )
        apply_group(host, 1, build_group(1, "lots-0"))
        renew(host, leader, trio.current_time())
    return hosts


async def main() -> None:
    """Replace the primary; check whether a write begun before may be acknowledged."""
    members = machine.MembersMachine()
    leader = leases.LeaseTable(members, LEASE_S)
    leader.start_leadership(trio.current_time())
    reached, cut_off = build_hosts(leader, members)
    permit = cut_off.groups.get_write_permit(GROUP, trio.current_time())
    print("permit:", permit)

    apply_group(reached, 2, build_group(1, "lots-0", ttypes.GroupPhase.FENCED))
    fenced_s = trio.current_time()
    await wait_for_holders(leader, {reached.host_id})
    waited_s = trio.current_time() - fenced_s
    print(f"waited {waited_s:.2f} s for the lease of {cut_off.host_id}")

    apply_group(reached, 3, build_group(2, "lots-1"))
    renew(reached, leader, trio.current_time())
    for host in (reached, cut_off):
        is_valid = host.groups.is_permit_valid(permit, trio.current_time())
        print(f"{host.host_id} may acknowledge the write: {is_valid}")
    print("permit:", reached.groups.get_write_permit(GROUP, trio.current_time()))


if __name__ == "__main__":
    trio.run(main)
