"""The section of the heartbeat that tells entry hosts where the control hosts are.

Settings name the control hosts of one time. All of them may have been replaced since.
"""

import collections.abc

from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog
from sedgeswitch.transport import peer

Addresses = collections.abc.Mapping[str, peer.Address]


class EntrySection:
    """Entry side: passes the addresses of the control hosts on.

    Parameters
    ----------
    learn_addresses : callable
        ``learn_addresses(addresses)`` receives the addresses by host id.
    """

    def __init__(self, learn_addresses: collections.abc.Callable[[Addresses], None]):
        self._learn_addresses = learn_addresses
        self._version = -1

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the version that this host has received."""
        return catalog.encode_struct(messages.Members(self._version, []))

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Pass the control hosts on if the answer holds any."""
        answer = catalog.decode_struct(messages.Members, body)
        self._version = answer.version
        if answer.members:
            self._learn_addresses(
                {
                    command.host_id: peer.Address(command.host, command.port)
                    for command in answer.members
                }
            )


class ControlSection:
    """Leader side: sends the voters to entry hosts with another version.

    Parameters
    ----------
    get_addresses : callable
        Returns the addresses of the voters, by host id.
    get_set_version : callable
        Returns a number that changes with the voters.
    """

    def __init__(
        self,
        get_addresses: collections.abc.Callable[[], Addresses],
        get_set_version: collections.abc.Callable[[], int],
    ):
        self._get_addresses = get_addresses
        self._get_set_version = get_set_version

    def start_leadership(self, now_s: float) -> None:
        """Do nothing; this section keeps no state of one leadership."""

    def get_version(self) -> int:
        """Return 0: entry hosts need no heartbeat at once after a change."""
        return 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Return the voters to a host with another version, else the version only."""
        report = catalog.decode_struct(messages.Members, body)
        version = self._get_set_version()
        if report.version == version:
            return catalog.encode_struct(messages.Members(version, []))
        commands = [
            machine.build_command(machine.Member(host_id, "", "", *address), False)
            for host_id, address in self._get_addresses().items()
        ]
        return catalog.encode_struct(messages.Members(version, commands))
