"""Replicated state: the registered entry hosts, which may hold a lease."""

import typing

from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog


class Member(typing.NamedTuple):
    """An entry host that may hold a lease.

    Attributes
    ----------
    host_id : str
    incarnation : str
        Identifies one run of the host's daemon; differs after each start.
    availability_zone : str
    host : str
        IP address for calls from other hosts.
    port : int
        TCP port for calls from other hosts.
    """

    host_id: str
    incarnation: str
    availability_zone: str
    host: str
    port: int


class MembersMachine:
    """The state machine of registered entry hosts.

    Attributes
    ----------
    version : int
        Number of changes so far.
    members : dict of str to Member
        By host id.
    """

    def __init__(self):
        self.version = 0
        self.members: dict[str, Member] = {}

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Register or remove one entry host.

        Returns
        -------
        bytes
            Always empty. A removal is ignored if it does not match the
            registered member, for example because the incarnation differs.
        """
        command = catalog.decode_struct(messages.MemberCommand, body)
        member = build_member(command)
        if not command.is_removal:
            self.members[member.host_id] = member
            self.version += 1
        elif self.members.get(member.host_id) == member:
            del self.members[member.host_id]
            self.version += 1
        return b""

    def save_snapshot(self) -> bytes:
        """Return the whole state."""
        commands = [build_command(member, False) for member in self.members.values()]
        return catalog.encode_struct(messages.Members(self.version, commands))

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by the one in a snapshot."""
        snapshot = catalog.decode_struct(messages.Members, body)
        self.version = snapshot.version
        self.members = {
            command.host_id: build_member(command) for command in snapshot.members
        }


def build_command(member: Member, is_removal: bool) -> messages.MemberCommand:
    """Return the command that registers or removes a member."""
    return messages.MemberCommand(*member, is_removal)


def build_member(command: messages.MemberCommand) -> Member:
    """Return the member that a command registers or removes."""
    return Member(
        command.host_id,
        command.incarnation,
        command.availability_zone,
        command.host,
        command.port,
    )
