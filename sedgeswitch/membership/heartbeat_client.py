"""The entry host's side of heartbeats and watches."""

import collections.abc
import random
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.membership import sections
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils import backoff
from sedgeswitch.utils import clocks

CALL_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 5.0
# Silence of a control host after which another one is called first, in seconds;
# many times the way between two regions and back.
ANSWER_TIMEOUT_S = 0.4
# Pauses after failed calls, in seconds: the first, which doubles up to the last. A
# few calls a second of each host leave control hosts time to answer all of them.
RETRY_DELAY_S = 0.05
LONGEST_RETRY_DELAY_S = 0.25
# How long a control host named by another one may take to be connected, in
# seconds; many times the way between two regions and back.
HINT_CONNECT_S = 0.3
MALFORMED = "malformed_answer"


class ControlPeers:
    """Connections to all control hosts, and which of them leads.

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
        self._answering = ""
        # Since when the host that is called first owes an answer.
        self._owed_since_s: float | None = None
        self._hinted = ""
        self._leader_listeners: list[collections.abc.Callable[[], None]] = []
        self._nursery: trio.Nursery | None = None

    def register_leader_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a function that is called when another control host answers."""
        self._leader_listeners.append(listener)

    async def run(self) -> None:
        """Keep the connections open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for control_peer in self._peers.values():
                nursery.start_soon(control_peer.run)
            while True:
                await trio.sleep(ANSWER_TIMEOUT_S / 4)
                self._pass_over_silent(clocks.get_now_s())

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Call the control host that is believed to lead.

        Raises
        ------
        failures.CallError
            If it did not answer; the next call tries another host.
        """
        host_id = self._order[0]
        await self._wait_hinted(host_id)
        # A watch is answered late on purpose.
        expects_prompt_reply = not isinstance(message, messages.Watch)
        if expects_prompt_reply and self._owed_since_s is None:
            self._owed_since_s = clocks.get_now_s()
        try:
            called = self._peers[host_id]
            answer = await called.call(message, timeout_s, expects_prompt_reply)
            if host_id == self._order[0]:
                self._owed_since_s = None
            if host_id != self._answering:
                self._note_leader(host_id)
            return answer
        except failures.CallError as error:
            self._turn_away(host_id, error)
            raise

    def add_addresses(
        self, addresses: collections.abc.Mapping[str, peer.Address]
    ) -> None:
        """Learn of further control hosts, or of new addresses of known ones."""
        for host_id, address in addresses.items():
            self._add(host_id, address)
            if host_id not in self._order:
                self._order.append(host_id)

    async def _wait_hinted(self, host_id: str) -> None:
        """Give a control host that another one named time to be connected."""
        if host_id == self._hinted:
            with trio.move_on_after(HINT_CONNECT_S):
                await self._peers[host_id].wait_connected()
            self._hinted = ""

    def _note_leader(self, host_id: str) -> None:
        self._answering = host_id
        loguru.logger.info("leader answers", control=host_id)
        for listener in self._leader_listeners:
            listener()

    def _pass_over_silent(self, now_s: float) -> None:
        """Call another host first if the present one owes an answer for long."""
        since_s = self._owed_since_s
        if since_s is not None and now_s - since_s >= ANSWER_TIMEOUT_S:
            self._owed_since_s = None
            self._order.append(self._order.pop(0))

    def _turn_away(self, host_id: str, error: failures.CallError) -> None:
        if self._order[0] != host_id:
            return
        self._owed_since_s = None
        self._order.append(self._order.pop(0))
        hint = leader_hints.decode_hint(error.detail)
        if error.code == leader_hints.NOT_LEADER and hint is not None:
            self._prefer(hint)

    def _add(self, host_id: str, address: peer.Address) -> None:
        known = self._peers.get(host_id)
        if known is None or known.address != address:
            self._peers[host_id] = peer.Peer(address)
            self._nursery.start_soon(self._peers[host_id].run)

    def _prefer(self, hint: leader_hints.Hint) -> None:
        self._add(hint.host_id, hint.address)
        self._hinted = hint.host_id
        if hint.host_id in self._order:
            self._order.remove(hint.host_id)
        self._order.insert(0, hint.host_id)


class HeartbeatClient:
    """Renews the host's lease and carries the sections of the slices.

    Parameters
    ----------
    identity : machine.Member
        This host and the incarnation of its daemon.
    control : ControlPeers
    interval_s : float
        Time between heartbeats when nothing changes, in seconds.
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
        self._versions: dict[str, int] = {}
        self._wake = trio.Event()
        self._sequence = 0
        self._rng = random.Random(f"{identity.host_id}/{identity.incarnation}")
        self.lease_until_s = float("-inf")
        self._told_lease_until_s = float("-inf")
        self.is_leaving = False

    def register_section(self, name: str, section: sections.EntrySection) -> None:
        """Register the entry host's side of a section."""
        self._sections[name] = section

    def register_lease_listener(
        self, listener: collections.abc.Callable[[float], None]
    ) -> None:
        """Register a function that learns until when the lease lasts."""
        self._lease_listeners.append(listener)

    def register_lapse_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a function that is called when a lease is renewed too late."""
        self._lapse_listeners.append(listener)

    def is_lease_valid(self, now_s: float) -> bool:
        """Return whether the host's lease still holds."""
        return now_s < self.lease_until_s

    def wake(self) -> None:
        """Send the next heartbeat at once."""
        self._wake.set()

    async def run(self) -> None:
        """Beat and watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat_forever)
            nursery.start_soon(self._watch_forever)

    async def leave(self) -> None:
        """Give the lease up; nothing may be served under it afterwards."""
        self.is_leaving = True
        self._set_lease(float("-inf"))
        await self.send_heartbeat()

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat.

        Returns
        -------
        bool
            Whether agreed state has moved, so that the next heartbeat, which
            acknowledges it, should follow at once.

        Raises
        ------
        failures.CallError
            If there is no answer that can be read; the lease is not renewed.
        """
        sent_s = clocks.get_now_s()
        reports = {
            name: section.build_report(sent_s)
            for name, section in self._sections.items()
        }
        self._sequence += 1
        heartbeat = messages.Heartbeat(
            *self._identity, reports, self.is_leaving, self._sequence
        )
        answer = await self._control.call(heartbeat, CALL_TIMEOUT_S)
        _check_type(answer, messages.HeartbeatAnswer)
        now_s = clocks.get_now_s()
        self._receive_sections(answer.sections, now_s)
        if not self.is_leaving:
            if self.lease_until_s < now_s:
                loguru.logger.info(
                    "lease gained",
                    lease_ms=answer.lease_ms,
                    answered_ms=round((now_s - sent_s) * 1000),
                )
                self._note_lapse()
            self._set_lease(sent_s + answer.lease_ms / 1000)
        is_changed = answer.versions != self._versions
        self._versions = answer.versions
        return is_changed

    def _receive_sections(self, answers: dict[str, bytes], now_s: float) -> None:
        """Give each section its answer, whatever becomes of the others."""
        malformed = []
        for name, body in answers.items():
            # A leader of another release may know more sections.
            if name not in self._sections:
                continue
            try:
                self._sections[name].receive_answer(body, now_s)
            except catalog.MessageError as error:
                malformed.append(f"{name}: {error}")
        if malformed:
            raise _build_malformed("; ".join(malformed))

    def _note_lapse(self) -> None:
        for listener in self._lapse_listeners:
            listener()

    def _set_lease(self, until_s: float) -> None:
        self.lease_until_s = until_s
        for listener in self._lease_listeners:
            listener(until_s)

    async def _beat_forever(self) -> None:
        failed = self._build_pauses()
        while True:
            delay_s = self._interval_s
            try:
                if await self.send_heartbeat():
                    delay_s = 0.0
                failed.reset()
            except failures.CallError as error:
                self._note_failure(error, clocks.get_now_s())
                delay_s = failed.next_delay_s()
            with trio.move_on_after(delay_s):
                await self._wake.wait()
            self._wake = trio.Event()

    def _build_pauses(self) -> backoff.Backoff:
        return backoff.Backoff(RETRY_DELAY_S, LONGEST_RETRY_DELAY_S, self._rng)

    def _note_failure(self, error: failures.CallError, now_s: float) -> None:
        level = "WARNING" if error.code == MALFORMED else "DEBUG"
        loguru.logger.log(level, "heartbeat failed: {}", error)
        if self._told_lease_until_s < self.lease_until_s <= now_s:
            self._told_lease_until_s = self.lease_until_s
            loguru.logger.warning("lease lost", reason=str(error))

    async def _watch_forever(self) -> None:
        failed = self._build_pauses()
        while True:
            watch = messages.Watch(self._versions, int(WATCH_TIMEOUT_S * 1000))
            try:
                answer = await self._control.call(watch, WATCH_TIMEOUT_S + 1.0)
                _check_type(answer, messages.WatchAnswer)
            except failures.CallError:
                await trio.sleep(failed.next_delay_s())
                continue
            failed.reset()
            if answer.is_changed:
                self.wake()
                # The heartbeat brings the new versions before the next watch.
                await trio.sleep(RETRY_DELAY_S)


def _check_type(answer: typing.Any, answer_type: type) -> None:
    if not isinstance(answer, answer_type):
        raise _build_malformed(f"a {type(answer).__name__}")


def _build_malformed(detail: str) -> failures.CallError:
    return failures.CallError(MALFORMED, detail, verdicts.Verdict.MAY_HAVE_RUN)
