"""Replicated state: the registered entry hosts, which may hold a lease."""

import collections
import typing

from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog

# Changes kept for incremental answers; a host further behind gets all members.
MAX_KEPT_CHANGES = 1000


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
    removal_index : int
        Index of the log entry that last removed a host, 0 if none has been removed.
    """

    def __init__(self):
        self.version = 0
        self.members: dict[str, Member] = {}
        self.removal_index = 0
        # Host ids of the last changes, one for each version.
        self._changes: collections.deque[str] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )

    def apply(self, index: int, body: bytes) -> bytes:
        """Register or remove one entry host.

        Parameters
        ----------
        index : int
            Index of the entry in the log.
        body : bytes

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
            self._record_change(member.host_id)
        elif self.members.get(member.host_id) == member:
            del self.members[member.host_id]
            self.removal_index = index
            self._record_change(member.host_id)
        return b""

    def get_changes(self, version: int) -> list[messages.MemberCommand] | None:
        """Return the commands that lead from an earlier version to the present one.

        None if the changes since that version are no longer known. A host that has
        been removed is named by a removal without further fields.
        """
        missed = self.version - version
        if not 0 <= missed <= len(self._changes):
            return None
        changed = set(list(self._changes)[len(self._changes) - missed :])
        return [self._build_change(host_id) for host_id in sorted(changed)]

    def _build_change(self, host_id: str) -> messages.MemberCommand:
        member = self.members.get(host_id)
        if member is None:
            return build_command(Member(host_id, "", "", "", 0), True)
        return build_command(member, False)

    def _record_change(self, host_id: str) -> None:
        self.version += 1
        self._changes.append(host_id)

    def save_snapshot(self) -> bytes:
        """Return the whole state."""
        commands = [build_command(member, False) for member in self.members.values()]
        snapshot = messages.Members(self.version, commands)
        snapshot.removal_index = self.removal_index
        return catalog.encode_struct(snapshot)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by the one in a snapshot."""
        snapshot = catalog.decode_struct(messages.Members, body)
        self.version = snapshot.version
        self.removal_index = snapshot.removal_index or 0
        self._changes.clear()
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
