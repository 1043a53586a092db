"""Replicated state: the announced backend servers, with which a new leader starts.

Only changes are proposed to the replicated log, not each renewal, which keeps the
number of commands small.
"""

import collections.abc

import loguru
import trio

from sedgeswitch.agreement import errors
from sedgeswitch.membership import directory
from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog

NAME = "servers"
PROPOSE_TIMEOUT_S = 2.0
# Time between two comparisons of directory and replicated state, in seconds.
POLL_INTERVAL_S = 0.05


class ServerMachine:
    """The state machine of announced backend servers.

    Attributes
    ----------
    servers : dict of str to directory.BackendServer
        By instance id.
    """

    def __init__(self):
        self.servers: dict[str, directory.BackendServer] = {}

    def apply(self, index: int, body: bytes) -> bytes:  # noqa: ARG002
        """Record or remove one backend server."""
        command = catalog.decode_struct(messages.ServerCommand, body)
        if command.announced is not None:
            server = directory.build_server(command.announced)
            self.servers[server.instance] = server
        if command.removed is not None:
            self.servers.pop(command.removed, None)
        return b""

    def save_snapshot(self) -> bytes:
        """Return the whole state."""
        announced = [directory.build_message(item) for item in self.servers.values()]
        return catalog.encode_struct(messages.Servers(announced))

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by the one in a snapshot."""
        snapshot = catalog.decode_struct(messages.Servers, body)
        servers = [directory.build_server(item) for item in snapshot.announced]
        self.servers = {server.instance: server for server in servers}


class DirectoryReplicator:
    """Proposes changes of the leader's directory to the replicated log.

    Parameters
    ----------
    machine : ServerMachine
    servers : directory.ControlDirectory
    propose : callable
        ``await propose(machine_name, body, timeout_s)`` commits a command.
    is_leading : callable
        Returns whether this host leads.
    """

    def __init__(
        self,
        machine: ServerMachine,
        servers: directory.ControlDirectory,
        propose: collections.abc.Callable,
        is_leading: collections.abc.Callable[[], bool],
    ):
        self._machine = machine
        self._directory = servers
        self._propose = propose
        self._is_leading = is_leading

    async def run(self) -> None:
        """Commit the changes one at a time, until cancelled."""
        while True:
            command = self._find_change() if self._is_leading() else None
            if command is None:
                await trio.sleep(POLL_INTERVAL_S)
                continue
            body = catalog.encode_struct(command)
            try:
                await self._propose(NAME, body, PROPOSE_TIMEOUT_S)
            except errors.AgreementError as error:
                loguru.logger.info("directory change not committed", reason=str(error))
                await trio.sleep(POLL_INTERVAL_S)

    def _find_change(self) -> messages.ServerCommand | None:
        current, replicated = self._directory.servers, self._machine.servers
        for instance, server in current.items():
            if replicated.get(instance) != server:
                return messages.ServerCommand(announced=directory.build_message(server))
        for instance in replicated:
            if instance not in current:
                return messages.ServerCommand(removed=instance)
        return None
