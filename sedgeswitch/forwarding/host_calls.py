"""Calls to other entry hosts, and which of them can be reached."""

import typing

import trio

from sedgeswitch.membership import entry_peers
from sedgeswitch.membership import machine
from sedgeswitch.observability import exposition
from sedgeswitch.relay import failure_backoff
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

# Share of its time after which a cancelled call counts as unanswered.
SILENCE_SHARE = 0.9


class HostCalls:
    """Calls other entry hosts and skips those that failed recently.

    Parameters
    ----------
    peers : entry_peers.EntryPeers
    """

    def __init__(self, peers: entry_peers.EntryPeers):
        self._peers = peers
        self._members: dict[str, machine.Member] = {}
        self._backoff = failure_backoff.FailureBackoff()
        self._failed: set[str] = set()

    def set_members(self, members: list[machine.Member]) -> None:
        """Set the registered hosts; a restarted host is available again."""
        by_id = {member.host_id: member for member in members}
        for host_id in list(self._failed):
            if by_id.get(host_id) != self._members.get(host_id):
                self._record_success(host_id)
        self._members = by_id

    def is_available(self, host_id: str, now_s: float) -> bool:
        """Return whether a host may be called.

        After a failure, it must be connected again, which its peer attempts in the
        background.
        """
        if host_id not in self._failed:
            return True
        if self._backoff.is_in_backoff(host_id, now_s):
            return False
        return self._peers.is_connected(host_id)

    def count_unavailable(self) -> int:
        """Return how many hosts failed the last call to them."""
        return len(self._failed)

    async def call(
        self, host_id: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request to a host and return its answer.

        An answer whose field ``is_host_unavailable`` is true counts as a failure of the
        host.

        Raises
        ------
        failures.CallError
            If there is no answer; the verdict says whether the host may have executed
            the request.
        """
        started_s = trio.current_time()
        try:
            answer = await self._peers.call(host_id, request, timeout_s)
        except failures.CallError as error:
            self._record_failure(host_id, error.code)
            raise
        except trio.Cancelled:
            # A cancellation before the end of the time says nothing about the host.
            if trio.current_time() - started_s >= SILENCE_SHARE * timeout_s:
                self._record_failure(host_id, "timeout")
            raise
        if getattr(answer, "is_host_unavailable", None):
            self._record_failure(host_id, "unavailable")
        else:
            self._record_success(host_id)
        return answer

    def _record_failure(self, host_id: str, code: str) -> None:
        exposition.HOST_CALL_FAILURES.labels(code).inc()
        self._failed.add(host_id)
        self._backoff.record_failure(host_id, clocks.get_now_s())

    def _record_success(self, host_id: str) -> None:
        self._failed.discard(host_id)
        self._backoff.record_success(host_id)
