"""Accepts the connections of callers."""

import trio

from sedgeswitch.platform import client_edge
from sedgeswitch.relay import session as relay_sessions
from sedgeswitch.transport import sockets

# How long new connections are still taken once the balancer may know that this
# host leaves, in seconds; it asks once a second and believes the second answer.
LINGER_S = 2.2
# Part of the grace time that an open transaction gets to end.
TRANSACTION_SHARE = 0.5
POLL_INTERVAL_S = 0.02


class ClientServer:
    """Serves callers, one task a connection.

    Parameters
    ----------
    build_session : callable
        Makes a session of a database's name and a key.
    """

    def __init__(self, build_session: relay_sessions.SessionFactory):
        self._build_session = build_session
        self._connections: set[client_edge.ClientConnection] = set()
        self._listening = trio.CancelScope()

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled or drained."""
        await sockets.accept_until(
            self._listening, self._serve_connection, host, port, task_status
        )

    async def drain(self, grace_s: float) -> None:
        """Let running work finish and end every connection.

        Parameters
        ----------
        grace_s : float
            Time within which all have to end, in seconds.
        """
        started_s = trio.current_time()
        await trio.sleep(min(LINGER_S, grace_s * TRANSACTION_SHARE))
        self._listening.cancel()
        give_up_s = started_s + grace_s
        while self._connections and trio.current_time() < give_up_s:
            is_late = trio.current_time() >= started_s + grace_s * TRANSACTION_SHARE
            for connection in list(self._connections):
                if connection.is_idle or (is_late and connection.is_waiting):
                    connection.stop()
            await trio.sleep(POLL_INTERVAL_S)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = client_edge.ClientConnection(stream, self._build_session)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
