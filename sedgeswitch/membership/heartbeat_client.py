"""Sends heartbeats and watches from an entry host to the leading control host."""

import collections.abc
import random
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.membership import section_differences
from sedgeswitch.membership import sections
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils import backoff
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks

# Longest wait for the answer to a heartbeat, in seconds, without the time that a new
# leader needs to answer all entry hosts.
CALL_TIMEOUT_S = 1.0
# Calls that a control host answers per second, at least. After a change of leader, all
# entry hosts call it at once.
ANSWERED_CALLS_PER_S = 400.0
# How long the leader may hold a watch before it answers, in seconds.
WATCH_TIMEOUT_S = 5.0
# Time without an answer after which another control host is called first, in
# seconds; many times the round trip between two regions.
ANSWER_TIMEOUT_S = 0.4
# First and longest pause after failed calls, in seconds; the pause doubles with each
# failure. A few calls a second from each host leave the control hosts time to
# answer all of them.
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.25
# Longest wait for a connection to a control host that another one named as leader,
# in seconds; many times the round trip between two regions.
HINT_CONNECT_TIMEOUT_S = 0.3
# Time without an answer after which a leader is searched for, in seconds; several times
# the round trip between two regions.
SEARCH_AFTER_S = 0.15
# Pause between the probes of two control hosts in the first round of a search, in
# seconds: eight hosts are probed within 0.25 s, so that the leader is found within
# 0.5 s. It doubles with each round up to the longest pause, which leaves control hosts
# time to answer all entry hosts while there is no leader.
PROBE_INTERVAL_S = 0.03
MAX_PROBE_INTERVAL_S = 0.1
# Longest wait for the answer to a probe, in seconds. A host that did not answer one is
# not preferred because of a hint for the same time.
PROBE_TIMEOUT_S = 0.4
# Code of the failure for an answer that can't be decoded.
MALFORMED = "malformed_answer"


def get_answer_all_s(host_count: int) -> float:
    """Return the time in which a leader answers one call of each entry host.

    Parameters
    ----------
    host_count : int

    Returns
    -------
    float
        In seconds.
    """
    return host_count / ANSWERED_CALLS_PER_S


class ControlPeers:
    """Connections to all control hosts; calls go to the one assumed to lead.

    Control hosts are kept in order of preference. A host that fails or does not
    answer in time moves to the end; one that another host names as leader moves to
    the front, unless it failed itself shortly before.

    After a failure, or without an answer for `SEARCH_AFTER_S`, the other hosts are
    probed one after the other, those with a connection first, without waiting for each
    answer. The first one that answers leads: it moves to the front, and calls that
    wait for another host fail, so that they are repeated.

    Besides the hosts in the settings, those that the leader names as voters are kept.

    Parameters
    ----------
    addresses : mapping of str to peer.Address
        Address of each control host by its id.
    """

    def __init__(self, addresses: collections.abc.Mapping[str, peer.Address]):
        self._peers = {
            host_id: peer.Peer(address) for host_id, address in addresses.items()
        }
        self._order = list(self._peers)
        # Ids of the hosts that no settings name.
        self._learned: set[str] = set()
        self._last_answered_id = ""
        # Since when the first host in order has not answered a pending request.
        self._unanswered_since_s: float | None = None
        self._hinted_id = ""
        # The hosts of the calls that wait for an answer.
        self._calls: dict[trio.CancelScope, str] = {}
        # When hosts failed or did not answer last.
        self._failed_s: dict[str, float] = {}
        self._probed: set[str] = set()
        self._search_requested = trio.Event()
        self._is_searching = False
        self._leader_listeners: list[collections.abc.Callable[[], None]] = []
        # Time in which a leader answers one call of each entry host.
        self._answer_all_s = 0.0
        self._nursery: trio.Nursery | None = None

    def register_leader_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a function that is called when the answering control host changes.

        That is, with the first answer, and whenever another control host answers
        than the one that answered before.
        """
        self._leader_listeners.append(listener)

    async def run(self) -> None:
        """Keep the connections open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for control_peer in self._peers.values():
                nursery.start_soon(control_peer.run)
            nursery.start_soon(self._search_when_requested)
            while True:
                await trio.sleep(SEARCH_AFTER_S / 3)
                self._skip_unresponsive(clocks.get_now_s())

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Send a request to the control host that is assumed to lead.

        Raises
        ------
        failures.CallError
            If it did not answer or rejected the request, or if another control host
            has been found to lead meanwhile; the next call goes to another one.
        """
        host_id = self._order[0]
        # Kept, because the host may be dropped while its connection is waited for.
        control_peer = self._peers[host_id]
        await self._wait_hinted_connected(host_id)
        # The leader holds the answer to a watch back until something changes.
        expects_prompt_reply = not isinstance(message, messages.Watch)
        if expects_prompt_reply and self._unanswered_since_s is None:
            self._unanswered_since_s = clocks.get_now_s()
        with trio.CancelScope() as scope:
            self._calls[scope] = host_id
            try:
                answer = await control_peer.call(
                    message, timeout_s, expects_prompt_reply
                )
                self._handle_answer(host_id)
                return answer
            except failures.CallError as error:
                self._handle_failure(host_id, error)
                raise
            finally:
                del self._calls[scope]
        raise failures.CallError(
            "timeout", "another control host leads", verdicts.Verdict.MAY_HAVE_RUN
        )

    def set_host_count(self, count: int) -> None:
        """Set the number of entry hosts that call a new leader, this one included.

        If a host gave a call up sooner than the leader can answer all of them, and
        repeated it, the leader would never be done.
        """
        self._answer_all_s = get_answer_all_s(count)
        for control_peer in self._peers.values():
            self._set_reply_timeout(control_peer)

    def _set_reply_timeout(self, control_peer: peer.Peer) -> None:
        control_peer.reply_timeout_s = max(peer.REPLY_TIMEOUT_S, self._answer_all_s)

    def get_leader(self) -> leader_hints.Hint | None:
        """Return the control host that answered the last call; None if it failed."""
        host_id = self._last_answered_id
        if host_id != self._order[0]:
            return None
        return leader_hints.Hint(host_id, self._peers[host_id].address)

    def add_addresses(
        self, addresses: collections.abc.Mapping[str, peer.Address]
    ) -> None:
        """Add control hosts of the settings, or replace the addresses of known ones."""
        self._learned -= addresses.keys()
        self._append_peers(addresses)

    def learn_addresses(
        self, addresses: collections.abc.Mapping[str, peer.Address]
    ) -> None:
        """Replace the control hosts that no settings name by these.

        The host that is called first stays until another one is.
        """
        for host_id in self._learned - addresses.keys() - {self._order[0]}:
            self._learned.discard(host_id)
            self._order.remove(host_id)
            self._peers.pop(host_id).close()
        self._learned |= addresses.keys() - self._peers.keys()
        self._append_peers(addresses)

    def _append_peers(
        self, addresses: collections.abc.Mapping[str, peer.Address]
    ) -> None:
        for host_id, address in addresses.items():
            self._add_peer(host_id, address)
            if host_id not in self._order:
                self._order.append(host_id)

    async def _wait_hinted_connected(self, host_id: str) -> None:
        """Wait for the connection to a control host that a hint has named."""
        if host_id == self._hinted_id:
            with trio.move_on_after(HINT_CONNECT_TIMEOUT_S):
                await self._peers[host_id].wait_connected()
            self._hinted_id = ""

    def _handle_answer(self, host_id: str) -> None:
        self._failed_s.pop(host_id, None)
        if host_id == self._order[0]:
            self._unanswered_since_s = None
            self._is_searching = False
        if host_id != self._last_answered_id:
            self._record_leader(host_id)

    def _record_leader(self, host_id: str) -> None:
        self._last_answered_id = host_id
        loguru.logger.info("leader answers", control=host_id)
        for listener in self._leader_listeners:
            listener()

    def _skip_unresponsive(self, now_s: float) -> None:
        """Search for the leader and skip the first host if it does not answer."""
        since_s = self._unanswered_since_s
        if since_s is None or now_s - since_s < SEARCH_AFTER_S:
            return
        self._request_search()
        if now_s - since_s >= ANSWER_TIMEOUT_S:
            self._unanswered_since_s = None
            self._rotate(now_s)

    def _handle_failure(self, host_id: str, error: failures.CallError) -> None:
        now_s = clocks.get_now_s()
        if error.code != leader_hints.NOT_LEADER:
            self._failed_s[host_id] = now_s
        if self._order[0] == host_id:
            self._unanswered_since_s = None
            self._rotate(now_s)
        self._follow_hint(error, now_s)
        self._request_search()

    def _rotate(self, now_s: float) -> None:
        """Move the first host to the end, and one with a connection to the front."""
        host_id = self._order.pop(0)
        self._order.append(host_id)
        for index, other_id in enumerate(self._order[:-1]):
            if self._peers[other_id].is_connected and not self._has_failed(
                other_id, now_s
            ):
                self._order.insert(0, self._order.pop(index))
                return

    def _has_failed(self, host_id: str, now_s: float) -> bool:
        return now_s - self._failed_s.get(host_id, float("-inf")) < PROBE_TIMEOUT_S

    def _follow_hint(self, error: failures.CallError, now_s: float) -> None:
        """Prefer the host that an answer names as leader, unless it failed itself."""
        hint = leader_hints.decode_hint(error.detail)
        if error.code != leader_hints.NOT_LEADER or hint is None:
            return
        if not self._has_failed(hint.host_id, now_s) and hint.host_id != self._order[0]:
            self._unanswered_since_s = None
            self._prefer(hint)

    def _request_search(self) -> None:
        self._is_searching = True
        self._search_requested.set()

    async def _search_when_requested(self) -> None:
        while True:
            await self._search_requested.wait()
            self._search_requested = trio.Event()
            interval_s = PROBE_INTERVAL_S
            while self._is_searching:
                await self._probe_all(interval_s)
                interval_s = min(2 * interval_s, MAX_PROBE_INTERVAL_S)

    async def _probe_all(self, interval_s: float) -> None:
        """Start a probe of each control host, at an interval, while searching.

        A host that was named as leader meanwhile is probed next.
        """
        remaining = [
            host_id
            for host_id in sorted(self._order, key=self._get_probe_order)
            if host_id not in self._probed
        ]
        while self._is_searching and remaining:
            first_id = self._order[0]
            host_id = first_id if first_id in remaining else remaining[0]
            remaining.remove(host_id)
            if host_id in self._peers:
                self._nursery.start_soon(self._probe, host_id)
            await trio.sleep(interval_s)
        if not remaining:
            await trio.sleep(interval_s)

    def _get_probe_order(self, host_id: str) -> tuple[bool, bool]:
        has_failed = self._has_failed(host_id, clocks.get_now_s())
        return not self._peers[host_id].is_connected, has_failed

    async def _probe(self, host_id: str) -> None:
        """Ask one control host whether it leads; only the leader answers a watch."""
        control_peer = self._peers[host_id]
        self._probed.add(host_id)
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                await control_peer.wait_connected()
                await control_peer.call(messages.Watch({}, 0), PROBE_TIMEOUT_S, False)
                self._handle_found(host_id)
                return
            self._failed_s[host_id] = clocks.get_now_s()
        except failures.CallError as error:
            if error.code != leader_hints.NOT_LEADER:
                self._failed_s[host_id] = clocks.get_now_s()
            if self._is_searching:
                self._follow_hint(error, clocks.get_now_s())
        finally:
            self._probed.discard(host_id)

    def _handle_found(self, host_id: str) -> None:
        """Prefer a host that has answered a probe, and end the calls to others."""
        if not self._is_searching or host_id not in self._order:
            return
        self._is_searching = False
        self._failed_s.pop(host_id, None)
        self._unanswered_since_s = None
        self._order.remove(host_id)
        self._order.insert(0, host_id)
        for scope, called_id in list(self._calls.items()):
            if called_id != host_id:
                scope.cancel()

    def _add_peer(self, host_id: str, address: peer.Address) -> None:
        known = self._peers.get(host_id)
        if known is None or known.address != address:
            self._peers[host_id] = peer.Peer(address)
            self._set_reply_timeout(self._peers[host_id])
            self._nursery.start_soon(self._peers[host_id].run)

    def _prefer(self, hint: leader_hints.Hint) -> None:
        if hint.host_id not in self._peers:
            self._learned.add(hint.host_id)
        self._add_peer(hint.host_id, hint.address)
        self._hinted_id = hint.host_id
        if hint.host_id in self._order:
            self._order.remove(hint.host_id)
        self._order.insert(0, hint.host_id)


class HeartbeatClient:
    """Renews the host's lease by heartbeats, which carry the registered sections.

    Parameters
    ----------
    identity : machine.Member
        This host, with the incarnation of its daemon.
    control : ControlPeers
    interval_s : float
        Time between heartbeats when nothing changes, in seconds.

    Attributes
    ----------
    lease_until_s : float
        Time on this host's clock at which the lease expires.
    call_timeout_s : float
        Longest wait for the answer to a heartbeat, see `set_host_count`.
    is_leaving : bool
        Whether the lease has been released for a shutdown.
    """

    def __init__(
        self, identity: machine.Member, control: ControlPeers, interval_s: float
    ):
        self._identity = identity
        self._control = control
        self._interval_s = interval_s
        self._sections: dict[str, sections.EntrySection] = {}
        self._lease_listeners: list[collections.abc.Callable[[float], None]] = []
        self._lapse_listeners: list[collections.abc.Callable[[], None]] = []
        self._answer_listeners: list[collections.abc.Callable[[float], None]] = []
        self._versions: dict[str, int] = {}
        # The last answered heartbeat, if the leader accepts differences from it.
        self._base: section_differences.Exchange | None = None
        self._wake = trio.Event()
        self._sequence = 0
        self._rng = random.Random(f"{identity.host_id}/{identity.incarnation}")
        self.lease_until_s = float("-inf")
        self.call_timeout_s = CALL_TIMEOUT_S
        self._logged_lease_until_s = float("-inf")
        self.is_leaving = False

    def register_section(self, name: str, section: sections.EntrySection) -> None:
        """Register the entry host's side of a section."""
        self._sections[name] = section

    def register_lease_listener(
        self, listener: collections.abc.Callable[[float], None]
    ) -> None:
        """Register a function that is called with each new expiry of the lease."""
        self._lease_listeners.append(listener)

    def register_lapse_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a function that is called when a lease is gained after a gap.

        That is, with the first lease, and when a lease expired before its renewal
        was answered.
        """
        self._lapse_listeners.append(listener)

    def register_answer_listener(
        self, listener: collections.abc.Callable[[float], None]
    ) -> None:
        """Register a function that is called with the send time of answered heartbeats.

        The sections have received the answer by then.
        """
        self._answer_listeners.append(listener)

    def set_host_count(self, count: int) -> None:
        """Set the number of entry hosts that call a new leader, this one included."""
        self.call_timeout_s = CALL_TIMEOUT_S + get_answer_all_s(count)

    def is_lease_valid(self, now_s: float) -> bool:
        """Return whether the host's lease has not expired at `now_s`."""
        return now_s < self.lease_until_s

    def wake(self) -> None:
        """Send the next heartbeat at once."""
        self._wake.set()

    async def run(self) -> None:
        """Send heartbeats and watches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tasks.run_restarting, self._send_heartbeats)
            nursery.start_soon(tasks.run_restarting, self._send_watches)

    async def leave(self) -> None:
        """Release the lease; nothing may be served under it afterwards."""
        self.is_leaving = True
        self._set_lease(float("-inf"))
        await self.send_heartbeat()

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat.

        Returns
        -------
        bool
            Whether the version of a section has changed. The next heartbeat
            acknowledges the change and should then follow at once.

        Raises
        ------
        failures.CallError
            If there is no answer or it can't be decoded; the lease is not
            renewed.
        """
        sent_s = clocks.get_now_s()
        reports = {
            name: section.build_report(sent_s)
            for name, section in self._sections.items()
        }
        answer = await self._call(reports)
        now_s = clocks.get_now_s()
        self._receive_sections(answer.sections, now_s)
        for listener in self._answer_listeners:
            listener(sent_s)
        if not self.is_leaving:
            if self.lease_until_s < now_s:
                loguru.logger.info(
                    "lease gained",
                    lease_ms=answer.lease_ms,
                    answered_ms=round((now_s - sent_s) * 1000),
                )
                self._notify_lapse_listeners()
            self._set_lease(sent_s + answer.lease_ms / 1000)
        is_changed = answer.versions != self._versions
        self._versions = answer.versions
        return is_changed

    async def _call(self, reports: dict[str, bytes]) -> messages.HeartbeatAnswer:
        """Send the reports of all sections and return the whole answer."""
        base, self._base = self._base, None
        try:
            return await self._call_with_base(reports, base)
        except failures.CallError as error:
            if error.code != section_differences.UNKNOWN_BASE:
                raise
        return await self._call_with_base(reports, None)

    async def _call_with_base(
        self, reports: dict[str, bytes], base: section_differences.Exchange | None
    ) -> messages.HeartbeatAnswer:
        """Send the reports, without those that equal the base's."""
        changed = base and section_differences.build_difference(base.reports, reports)
        if changed is None:
            base, changed = None, reports
        self._sequence += 1
        sequence = self._sequence
        heartbeat = messages.Heartbeat(
            *self._identity, changed, self.is_leaving, sequence
        )
        if base is not None:
            heartbeat.base_sequence = base.sequence
        answer = await self._control.call(heartbeat, self.call_timeout_s)
        _check_type(answer, messages.HeartbeatAnswer)
        if answer.is_difference:
            if base is None:
                raise _build_malformed("a difference without a base")
            answer.sections = section_differences.apply_difference(
                base.answers, answer.sections
            )
            answer.versions = section_differences.apply_difference(
                base.versions, answer.versions
            )
        if answer.accepts_base:
            self._base = section_differences.Exchange(
                sequence, reports, answer.sections, answer.versions
            )
        return answer

    def _receive_sections(self, answers: dict[str, bytes], now_s: float) -> None:
        """Pass each section its answer, also after another one could not receive it."""
        malformed = []
        for name, body in answers.items():
            # A leader of another release may have more sections.
            if name not in self._sections:
                continue
            try:
                self._sections[name].receive_answer(body, now_s)
            except catalog.MessageError as error:
                malformed.append(f"{name}: {error}")
            except Exception as error:
                loguru.logger.exception("section not received", section=name)
                malformed.append(f"{name}: {error!r}")
        if malformed:
            raise _build_malformed("; ".join(malformed))

    def _notify_lapse_listeners(self) -> None:
        for listener in self._lapse_listeners:
            listener()

    def _set_lease(self, until_s: float) -> None:
        self.lease_until_s = until_s
        for listener in self._lease_listeners:
            listener(until_s)

    async def _send_heartbeats(self) -> None:
        retry_backoff = self._build_backoff()
        while True:
            delay_s = self._interval_s
            try:
                if await self.send_heartbeat():
                    delay_s = 0.0
                retry_backoff.reset()
            except failures.CallError as error:
                self._log_failure(error, clocks.get_now_s())
                delay_s = retry_backoff.next_delay_s()
            with trio.move_on_after(delay_s):
                await self._wake.wait()
            self._wake = trio.Event()

    def _build_backoff(self) -> backoff.Backoff:
        return backoff.Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)

    def _log_failure(self, error: failures.CallError, now_s: float) -> None:
        level = "WARNING" if error.code == MALFORMED else "DEBUG"
        loguru.logger.log(level, "heartbeat failed: {}", error)
        if self._logged_lease_until_s < self.lease_until_s <= now_s:
            self._logged_lease_until_s = self.lease_until_s
            loguru.logger.warning("lease lost", reason=str(error))

    async def _send_watches(self) -> None:
        retry_backoff = self._build_backoff()
        while True:
            watch = messages.Watch(self._versions, int(WATCH_TIMEOUT_S * 1000))
            try:
                answer = await self._control.call(watch, WATCH_TIMEOUT_S + 1.0)
                _check_type(answer, messages.WatchAnswer)
            except failures.CallError:
                await trio.sleep(retry_backoff.next_delay_s())
                continue
            retry_backoff.reset()
            if answer.is_changed:
                self.wake()
                # The answer to the heartbeat updates the versions for the next watch.
                await trio.sleep(RETRY_DELAY_S)


def _check_type(answer: typing.Any, answer_type: type) -> None:
    if not isinstance(answer, answer_type):
        raise _build_malformed(
            f"expected {answer_type.__name__}, got {type(answer).__name__}"
        )


def _build_malformed(detail: str) -> failures.CallError:
    return failures.CallError(MALFORMED, detail, verdicts.Verdict.MAY_HAVE_RUN)
