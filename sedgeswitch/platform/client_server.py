"""Accepts client connections and drains them at shutdown."""

import loguru
import trio

from sedgeswitch.platform import client_edge
from sedgeswitch.relay import session as relay_sessions
from sedgeswitch.transport import sockets

# Time during which new connections are still accepted after the readiness check
# starts to fail, in seconds. The load balancer checks once per second and removes a
# host after the second failed check.
LINGER_S = 2.2
# Fraction of the grace time that clients have to end open transactions. After it,
# connections are also closed between two requests of a transaction.
TRANSACTION_GRACE_SHARE = 0.5
POLL_INTERVAL_S = 0.02


class ClientServer:
    """Serves client connections with one task each.

    Parameters
    ----------
    build_session : callable
        Returns a session for the name of a database and a key.
    """

    def __init__(self, build_session: relay_sessions.SessionFactory):
        self._build_session = build_session
        self._connections: set[client_edge.ClientConnection] = set()
        self._accept_scope = trio.CancelScope()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until the task is cancelled or `drain` stops it."""
        await sockets.accept_until(
            self._accept_scope, self._serve_connection, host, port, task_status
        )

    async def drain(self, grace_s: float) -> None:
        """Close every connection once it is idle.

        Connections with an open transaction are closed, while they wait for a
        request, after TRANSACTION_GRACE_SHARE of the time.

        Parameters
        ----------
        grace_s : float
            Time after which this returns even if connections are still open, in
            seconds.
        """
        started_s = trio.current_time()
        await trio.sleep(min(LINGER_S, grace_s * TRANSACTION_GRACE_SHARE))
        self._accept_scope.cancel()
        deadline_s = started_s + grace_s
        while self._connections and trio.current_time() < deadline_s:
            is_transaction_overdue = (
                trio.current_time() >= started_s + grace_s * TRANSACTION_GRACE_SHARE
            )
            for connection in list(self._connections):
                if connection.is_idle or (
                    is_transaction_overdue and connection.is_waiting
                ):
                    connection.stop()
            await trio.sleep(POLL_INTERVAL_S)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = client_edge.ClientConnection(stream, self._build_session)
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            loguru.logger.exception("client connection closed after an error")
        finally:
            self._connections.discard(connection)
