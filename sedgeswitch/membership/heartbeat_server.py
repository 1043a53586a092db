"""Answers heartbeats and watches of entry hosts on the leading control host."""

import collections
import collections.abc
import math
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.membership import leases
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.membership import section_differences
from sedgeswitch.membership import sections
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils import clocks

# Code of the failure of a registration that may have been committed.
OUTCOME_UNKNOWN = "outcome_unknown"
# Ended incarnations that are remembered; heartbeats of older ones arrive no more.
MAX_ENDED_INCARNATIONS = 1000
# Name under which the state machine of members is registered.
MACHINE_NAME = "membership"
PROPOSE_TIMEOUT_S = 2.0
# Time between two checks for a change of leadership or versions, in seconds.
POLL_INTERVAL_S = 0.01
MAINTENANCE_INTERVAL_S = 1.0
# Time after the expiry of its lease at which a host is removed from the registered
# entry hosts, in seconds.
REMOVE_AFTER_S = 60.0


class Log(typing.Protocol):
    """The parts of the replicated log that the heartbeat server uses."""

    leader_id: str | None
    leader_address: peer.Address | None

    def get_leadership(self, now_s: float) -> typing.Any:
        """Return this host's leadership if a quorum confirms it, else None."""

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:
        """Commit a command and return its result."""


class _LatestHeartbeat(typing.NamedTuple):
    """The process that sent the latest heartbeat of a host, and its number."""

    incarnation: str
    sequence: int


class HeartbeatServer:
    """Answers heartbeats and watches while this host leads.

    Parameters
    ----------
    log : Log
    members : machine.MembersMachine
    lease_s : float
        Duration of the lease that a heartbeat grants, in seconds.
    is_address_exclusive : bool
        Whether no two processes of a host can use the same address at a time. A
        new process at the address of an earlier one then proves that the earlier
        one has ended, so that its lease need not expire first.

    Attributes
    ----------
    leases : leases.LeaseTable
    heartbeats : int
        Number of heartbeats that arrived while this host led.
    whole_heartbeats : int
        Those of them that were no differences from an earlier one.
    """

    def __init__(
        self,
        log: Log,
        members: machine.MembersMachine,
        lease_s: float,
        is_address_exclusive: bool = False,
    ):
        self._log = log
        self._members = members
        self._lease_s = lease_s
        self._is_address_exclusive = is_address_exclusive
        self.leases = leases.LeaseTable(members, lease_s)
        self.heartbeats = 0
        self.whole_heartbeats = 0
        self._sections: dict[str, sections.ControlSection] = {}
        self._listeners: list[collections.abc.Callable[[float, int], None]] = []
        self._leadership_term = -1
        self._latest: dict[str, _LatestHeartbeat] = {}
        # Incarnations that a later process at the same address has replaced.
        self._ended_incarnations: collections.deque[str] = collections.deque(
            maxlen=MAX_ENDED_INCARNATIONS
        )
        # Number of proposed removals of each host whose outcome is not known.
        self._pending_removals: dict[str, int] = {}
        self._exchanges = section_differences.AnsweredExchanges()
        self._versions: dict[str, int] = {}
        self._changed = trio.Event()

    def register_section(self, name: str, section: sections.ControlSection) -> None:
        """Register the leader's side of a section."""
        self._sections[name] = section

    def register_leadership_listener(
        self, listener: collections.abc.Callable[[float, int], None]
    ) -> None:
        """Register a function of now_s and term, called when a leadership starts."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Detect changes of leadership and versions until cancelled.

        Also removes hosts whose lease expired at least `REMOVE_AFTER_S` ago.
        """
        next_maintenance_s = 0.0
        while True:
            now_s = clocks.get_now_s()
            self._refresh(now_s)
            if now_s >= next_maintenance_s:
                await self._remove_expired(now_s)
                next_maintenance_s = now_s + MAINTENANCE_INTERVAL_S
            await trio.sleep(POLL_INTERVAL_S)

    def get_holders(self, now_s: float) -> list[machine.Member]:
        """Return the hosts whose lease may still be valid, while this host leads.

        If `run` has not detected a new leadership yet, it starts now.
        """
        self._refresh_term(self._log.get_leadership(now_s), now_s)
        return self.leases.get_holders(now_s)

    def check_leading(self) -> None:
        """Raise unless a quorum confirms that this host leads.

        Raises
        ------
        failures.CallError
            ``not_leader``; the detail is a hint that names the leader, or empty if
            the leader is unknown (see `transport.leader_hints`).
        """
        self._refresh(clocks.get_now_s())
        if self._log.get_leadership(clocks.get_now_s()) is None:
            raise failures.CallError(
                leader_hints.NOT_LEADER,
                leader_hints.encode_hint(self._log.leader_id, self._log.leader_address),
                verdicts.Verdict.NOT_RUN,
            )

    async def answer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatAnswer:
        """Renew an entry host's lease and answer the sections of its heartbeat.

        Raises
        ------
        failures.CallError
            ``not_leader`` if this host does not lead, as in `check_leading`, or if
            the registration could not be committed. ``superseded`` if a later
            heartbeat of the host has arrived or another process has replaced the
            sender. ``host_id_in_use`` if another process of the host may hold a
            lease. ``unknown_base`` if the heartbeat is a difference from one that this
            leader has not answered.
        """
        self.check_leading()
        self.heartbeats += 1
        self.whole_heartbeats += heartbeat.base_sequence is None
        base = self._find_base(heartbeat)
        arrival = self._record_arrival(heartbeat)
        if heartbeat.is_leaving and not self._is_registered(heartbeat):
            return messages.HeartbeatAnswer(0, {}, self._get_versions())
        await self._register(heartbeat)
        if self._latest.get(heartbeat.host_id) != arrival:
            raise _build_superseded(heartbeat)
        now_s = clocks.get_now_s()
        reports = heartbeat.sections
        if base is not None:
            reports = section_differences.apply_difference(base.reports, reports)
        answers = {
            name: self._sections[name].answer_report(heartbeat.host_id, body, now_s)
            for name, body in reports.items()
            if name in self._sections
        }
        # Checked again: a lease may be granted only under a confirmed leadership.
        self.check_leading()
        if heartbeat.is_leaving:
            self.leases.record_release(heartbeat.host_id, now_s)
            self._exchanges.remove(heartbeat.host_id, heartbeat.incarnation)
            return messages.HeartbeatAnswer(0, answers, self._get_versions())
        self.leases.record_renewal(heartbeat.host_id, now_s)
        exchange = section_differences.Exchange(
            heartbeat.sequence, reports, answers, self._get_versions()
        )
        self._exchanges.record(heartbeat.host_id, heartbeat.incarnation, exchange)
        return self._build_answer(exchange, base)

    def _build_answer(
        self,
        exchange: section_differences.Exchange,
        base: section_differences.Exchange | None,
    ) -> messages.HeartbeatAnswer:
        """Return the answer to a heartbeat, as a difference if it has a base."""
        answer = messages.HeartbeatAnswer(
            math.floor(self._lease_s * 1000),
            exchange.answers,
            exchange.versions,
            accepts_base=True,
        )
        if base is None:
            return answer
        answers = section_differences.build_difference(base.answers, exchange.answers)
        versions = section_differences.build_difference(
            base.versions, exchange.versions
        )
        if answers is not None and versions is not None:
            answer.sections, answer.versions = answers, versions
            answer.is_difference = True
        return answer

    def _find_base(
        self, heartbeat: messages.Heartbeat
    ) -> section_differences.Exchange | None:
        """Return the exchange that a heartbeat is a difference from, None if it is not.

        Raises
        ------
        failures.CallError
            ``unknown_base`` if this leader does not have it.
        """
        if heartbeat.base_sequence is None:
            return None
        base = self._exchanges.find(
            heartbeat.host_id, heartbeat.incarnation, heartbeat.base_sequence
        )
        if base is None:
            raise failures.CallError(
                section_differences.UNKNOWN_BASE,
                heartbeat.host_id,
                verdicts.Verdict.NOT_RUN,
            )
        return base

    async def answer_watch(self, watch: messages.Watch) -> messages.WatchAnswer:
        """Answer once a section's version differs from the given one, or at timeout."""
        self.check_leading()
        with trio.move_on_after(watch.timeout_ms / 1000):
            while watch.versions == self._get_versions():
                await self._changed.wait()
                self.check_leading()
            return messages.WatchAnswer(True)
        return messages.WatchAnswer(False)

    def _refresh(self, now_s: float) -> None:
        leadership = self._log.get_leadership(now_s)
        self._refresh_term(leadership, now_s)
        versions = self._get_versions()
        if versions != self._versions or leadership is None:
            self._versions = versions
            self._changed.set()
            self._changed = trio.Event()

    def _refresh_term(self, leadership: typing.Any, now_s: float) -> None:
        if leadership is not None and leadership.term != self._leadership_term:
            self._leadership_term = leadership.term
            self._start_leadership(now_s)

    def _start_leadership(self, now_s: float) -> None:
        loguru.logger.info("leading in term {}", self._leadership_term)
        self._latest = {}
        self._exchanges.clear()
        # Proposals of an earlier leadership have been applied or are lost.
        self._pending_removals = {}
        self.leases.start_leadership(now_s)
        for section in self._sections.values():
            section.start_leadership(now_s)
        for listener in self._listeners:
            listener(now_s, self._leadership_term)

    def _get_versions(self) -> dict[str, int]:
        return {name: item.get_version() for name, item in self._sections.items()}

    def _record_arrival(self, heartbeat: messages.Heartbeat) -> _LatestHeartbeat:
        """Record a heartbeat; reject one that arrives after a later one of its host.

        The reports of such a heartbeat are out of date, and it must not renew the
        lease of a host that has released it.
        """
        if heartbeat.incarnation in self._ended_incarnations:
            raise _build_superseded(heartbeat)
        latest = self._latest.get(heartbeat.host_id)
        given = _LatestHeartbeat(heartbeat.incarnation, heartbeat.sequence)
        is_same_process = latest is not None and latest.incarnation == given.incarnation
        if is_same_process and given.sequence < latest.sequence:
            raise _build_superseded(heartbeat)
        self._latest[heartbeat.host_id] = given
        return given

    def _is_registered(self, heartbeat: messages.Heartbeat) -> bool:
        member = _build_member(heartbeat)
        if member.host_id in self._pending_removals:
            return False
        return self._members.members.get(member.host_id) == member

    async def _register(self, heartbeat: messages.Heartbeat) -> None:
        """Register the host, and return once no removal of it is pending."""
        known = self._members.members.get(heartbeat.host_id)
        is_other = known is not None and known.incarnation != heartbeat.incarnation
        if is_other and self._has_ended(known, heartbeat):
            self._exchanges.remove(known.host_id, known.incarnation)
            if known.incarnation not in self._ended_incarnations:
                self._ended_incarnations.append(known.incarnation)
        elif is_other:
            self._check_lease_expired(heartbeat.host_id)
        while not self._is_registered(heartbeat):
            removals = self._pending_removals.get(heartbeat.host_id)
            await self._propose(_build_member(heartbeat), is_removal=False)
            # The registration follows the earlier removals in the log.
            if self._pending_removals.get(heartbeat.host_id) == removals:
                self._pending_removals.pop(heartbeat.host_id, None)

    def _has_ended(self, known: machine.Member, heartbeat: messages.Heartbeat) -> bool:
        is_same = (known.host, known.port) == (heartbeat.host, heartbeat.port)
        return self._is_address_exclusive and is_same

    def _check_lease_expired(self, host_id: str) -> None:
        """Reject a second process of a host while the first may hold a lease.

        An acknowledgement of one process must not count for the other.
        """
        if self.leases.get_expiry(host_id) > clocks.get_now_s():
            raise failures.CallError(
                "host_id_in_use",
                f"another process of {host_id} may still hold a lease",
                verdicts.Verdict.NOT_RUN,
            )

    async def _remove_expired(self, now_s: float) -> None:
        if self._log.get_leadership(now_s) is None:
            return
        for member in self.leases.get_expired(now_s, REMOVE_AFTER_S):
            # A heartbeat may have arrived during the removals before this one.
            if member not in self.leases.get_expired(
                clocks.get_now_s(), REMOVE_AFTER_S
            ):
                continue
            host_id = member.host_id
            removals = self._pending_removals[host_id] = (
                self._pending_removals.get(host_id, 0) + 1
            )
            try:
                await self._propose(member, is_removal=True)
            except failures.CallError:
                return
            self._exchanges.remove(host_id, member.incarnation)
            if self._pending_removals.get(host_id) == removals:
                del self._pending_removals[host_id]

    async def _propose(self, member: machine.Member, is_removal: bool) -> None:
        command = machine.build_command(member, is_removal)
        body = catalog.encode_struct(command)
        try:
            await self._log.propose(MACHINE_NAME, body, PROPOSE_TIMEOUT_S)
        except errors.NotLeaderError as error:
            raise failures.CallError(
                leader_hints.NOT_LEADER, str(error), verdicts.Verdict.NOT_RUN
            ) from error
        except Exception as error:
            # Also an unexpected error must not end the task that removes members.
            loguru.logger.warning("registration of {} failed: {}", member, error)
            raise failures.CallError(
                OUTCOME_UNKNOWN, str(error), verdicts.Verdict.MAY_HAVE_RUN
            ) from error


def _build_superseded(heartbeat: messages.Heartbeat) -> failures.CallError:
    return failures.CallError("superseded", heartbeat.host_id, verdicts.Verdict.NOT_RUN)


def _build_member(heartbeat: messages.Heartbeat) -> machine.Member:
    return machine.Member(
        heartbeat.host_id,
        heartbeat.incarnation,
        heartbeat.availability_zone,
        heartbeat.host,
        heartbeat.port,
    )
