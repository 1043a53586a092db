"""The members section of heartbeats: distributes the registered entry hosts."""

import collections.abc

from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog

Listener = collections.abc.Callable[[int, list[machine.Member], float], None]


class EntrySection:
    """Receives the registered entry hosts on an entry host.

    Attributes
    ----------
    version : int
        Version of the members received last; -1 before the first.
    """

    def __init__(self):
        self.version = -1
        self._members: dict[str, machine.Member] = {}
        self._listeners: list[Listener] = []

    def register_listener(self, listener: Listener) -> None:
        """Register a function of version, members and now_s, called on a change."""
        self._listeners.append(listener)

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the version that this host has received."""
        return catalog.encode_struct(messages.Members(self.version, [], True))

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Pass the members to the listeners if their version is newer."""
        answer = catalog.decode_struct(messages.Members, body)
        if answer.version <= self.version:
            return
        self.version = answer.version
        if not answer.is_partial:
            self._members = {}
        for command in answer.members:
            if command.is_removal:
                self._members.pop(command.host_id, None)
            else:
                self._members[command.host_id] = machine.build_member(command)
        members = list(self._members.values())
        for listener in self._listeners:
            listener(self.version, members, now_s)


class ControlSection:
    """Sends the registered entry hosts from the leader.

    Parameters
    ----------
    members : machine.MembersMachine
    is_urgent : bool
        Whether a change of members makes every host send a heartbeat at once;
        otherwise hosts receive it with their next regular one.
    """

    def __init__(self, members: machine.MembersMachine, is_urgent: bool = True):
        self._members = members
        self._is_urgent = is_urgent
        self._encoded_version = -1
        self._encoded = b""

    def start_leadership(self, now_s: float) -> None:
        """Do nothing; this section keeps no state of one leadership."""

    def get_version(self) -> int:
        """Return the version of the registered entry hosts, 0 if not urgent."""
        return self._members.version if self._is_urgent else 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Return the members that the host lacks, or the version only."""
        report = catalog.decode_struct(messages.Members, body)
        version = self._members.version
        if report.version >= version:
            return catalog.encode_struct(messages.Members(version, []))
        if report.is_partial and report.version >= 0:
            changes = self._members.get_changes(report.version)
            if changes is not None:
                return catalog.encode_struct(messages.Members(version, changes, True))
        if self._encoded_version != version:
            self._encoded = self._members.save_snapshot()
            self._encoded_version = version
        return self._encoded
