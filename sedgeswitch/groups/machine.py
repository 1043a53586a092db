"""The replicated state of the groups: term, timeline, primary and fence.

A group is fenced when its term has ended and it has no new primary yet; no write
may then be acknowledged. Every command carries the term that it expects, so that
a command which is applied twice, or late, changes nothing.
"""

import copy
import typing

from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog

_FIRST_TERM = 1

_HANDLER_BY_FIELD: dict[str, typing.Callable] = {}


def _register_handler(field: str) -> typing.Callable:
    """Return a decorator that registers the handler for a field of `Command`."""

    def decorate(handler: typing.Callable) -> typing.Callable:
        _HANDLER_BY_FIELD[field] = handler
        return handler

    return decorate


def encode_command(command: typing.Any) -> bytes:
    """Encode a command as the body of a log entry.

    Parameters
    ----------
    command : object
        Struct of one of the types of the fields of `ttypes.Command`.

    Raises
    ------
    TypeError
        If `command` has another type.
    """
    for field, command_type in _TYPE_BY_FIELD.items():
        if isinstance(command, command_type):
            return catalog.encode_struct(ttypes.Command(**{field: command}))
    raise TypeError(f"command: expected a command struct, got {command!r}")


_TYPE_BY_FIELD = {
    "register_group": ttypes.RegisterGroup,
    "add_instance": ttypes.AddInstance,
    "fence": ttypes.Fence,
    "choose": ttypes.Choose,
    "promoted": ttypes.Promoted,
    "retire_instance": ttypes.RetireInstance,
    "remove_instance": ttypes.RemoveInstance,
}


def decode_result(body: bytes) -> ttypes.CommandResult:
    """Decode the result that `GroupsMachine.apply` returned."""
    return catalog.decode_struct(ttypes.CommandResult, body)


class GroupsMachine:
    """Deterministic state machine over the terms and primaries of all groups.

    Notes
    -----
    A group is ``SERVING`` in a term, or ``FENCED``: its term has ended and the
    next one has no primary yet. While it is fenced, each instance is recorded as
    a candidate by `Choose` before a promotion command is sent to it. A later
    leader can therefore find all instances that may have been promoted.
    `Promoted` is accepted only for a candidate, or for the old primary if there
    is no candidate.
    """

    def __init__(self):
        self._version = 0
        self._index = 0
        self._groups: dict[str, ttypes.Group] = {}
        self._fenced: set[str] = set()

    def get_version(self) -> int:
        """Return the version of the table that entry hosts must apply."""
        return self._version

    def get_group(self, group: str) -> ttypes.Group | None:
        """Return the replicated state of a group, None if it is unknown."""
        return self._groups.get(group)

    def get_groups(self) -> list[ttypes.Group]:
        """Return the replicated state of all groups."""
        return list(self._groups.values())

    def get_fenced(self) -> list[ttypes.Group]:
        """Return the fenced groups, sorted by name."""
        return [self._groups[name] for name in sorted(self._fenced)]

    def get_changed(self, version: int) -> list[ttypes.Group]:
        """Return the groups that changed after a version of the table."""
        if version >= self._version:
            return []
        return [group for group in self._groups.values() if group.version > version]

    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one command and return the encoded `CommandResult`.

        Parameters
        ----------
        index : int
            Index of the entry in the log.
        body : bytes
            A command encoded by `encode_command`.
        """
        command = catalog.decode_struct(ttypes.Command, body)
        self._index = index
        outcome, name = self._dispatch(command)
        result = ttypes.CommandResult(outcome, self._groups.get(name))
        return catalog.encode_struct(result)

    def save_snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        groups = sorted(self._groups.values(), key=lambda group: group.group)
        return catalog.encode_struct(ttypes.Snapshot(self._version, groups))

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by a snapshot from `save_snapshot`."""
        snapshot = catalog.decode_struct(ttypes.Snapshot, body)
        self._version = snapshot.version
        self._groups = {group.group: group for group in snapshot.groups}
        fenced = ttypes.GroupPhase.FENCED
        self._fenced = {
            group.group for group in snapshot.groups if group.phase == fenced
        }

    def _dispatch(self, command: ttypes.Command) -> tuple[int, str]:
        for field, handler in _HANDLER_BY_FIELD.items():
            details = getattr(command, field)
            if details is not None:
                return handler(self, details), details.group
        return ttypes.Outcome.NOT_ALLOWED, ""

    def _copy_group(self, name: str) -> ttypes.Group | None:
        """Return a copy of a group, so that references held by readers never change."""
        group = copy.copy(self._groups.get(name))
        if group is not None:
            group.instances = list(group.instances)
            group.candidates = list(group.candidates)
            group.leaving = list(group.leaving)
        return group

    def _store_changed(self, group: ttypes.Group) -> int:
        """Store a group under a new version of the table."""
        self._version += 1
        group.version = self._version
        self._groups[group.group] = group
        if group.phase == ttypes.GroupPhase.FENCED:
            self._fenced.add(group.group)
        else:
            self._fenced.discard(group.group)
        return ttypes.Outcome.ACCEPTED

    @_register_handler("register_group")
    def _register_group(self, command: ttypes.RegisterGroup) -> int:
        if command.group in self._groups:
            return ttypes.Outcome.UNCHANGED
        if command.primary not in command.instances:
            return ttypes.Outcome.NOT_ALLOWED
        return self._store_changed(
            ttypes.Group(
                group=command.group,
                term=_FIRST_TERM,
                timeline=command.timeline,
                primary=command.primary,
                phase=ttypes.GroupPhase.SERVING,
                version=0,
                instances=list(command.instances),
                reason="",
                candidates=[],
                leaving=[],
                start_timeline=_get_log_timeline(command),
                start_lsn=command.lsn,
                timeline_index=self._index,
            )
        )

    @_register_handler("add_instance")
    def _add_instance(self, command: ttypes.AddInstance) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if command.instance in group.instances:
            return ttypes.Outcome.UNCHANGED
        if not _is_serving(group, command.term):
            return ttypes.Outcome.STALE_TERM
        group.instances.append(command.instance)
        return self._store_changed(group)

    @_register_handler("retire_instance")
    def _retire_instance(self, command: ttypes.RetireInstance) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if not _is_serving(group, command.term):
            return ttypes.Outcome.STALE_TERM
        if command.instance in group.leaving:
            return ttypes.Outcome.UNCHANGED
        others = [name for name in group.instances if name != group.primary]
        if command.instance not in others:
            return ttypes.Outcome.NOT_ALLOWED
        group.leaving.append(command.instance)
        return self._store_changed(group)

    @_register_handler("remove_instance")
    def _remove_instance(self, command: ttypes.RemoveInstance) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if command.instance not in group.instances:
            return ttypes.Outcome.UNCHANGED
        if not _is_serving(group, command.term):
            return ttypes.Outcome.STALE_TERM
        if command.instance not in group.leaving:
            return ttypes.Outcome.NOT_ALLOWED
        group.instances.remove(command.instance)
        group.leaving.remove(command.instance)
        return self._store_changed(group)

    @_register_handler("fence")
    def _fence(self, command: ttypes.Fence) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if _is_fenced(group, command.term):
            return ttypes.Outcome.UNCHANGED
        if not _is_serving(group, command.term):
            return ttypes.Outcome.STALE_TERM
        group.phase = ttypes.GroupPhase.FENCED
        group.reason = command.reason
        group.candidates = []
        return self._store_changed(group)

    @_register_handler("choose")
    def _choose(self, command: ttypes.Choose) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if not _is_fenced(group, command.term):
            return ttypes.Outcome.STALE_TERM
        if command.instance in group.candidates:
            return ttypes.Outcome.UNCHANGED
        is_registered = command.instance in group.instances
        if not is_registered and not command.is_unregistered:
            return ttypes.Outcome.NOT_ALLOWED
        group.candidates.append(command.instance)
        if not is_registered:
            group.instances.append(command.instance)
            return self._store_changed(group)
        # Entry hosts do not use the candidates, so the version stays the same.
        self._groups[group.group] = group
        return ttypes.Outcome.ACCEPTED

    @_register_handler("promoted")
    def _promoted(self, command: ttypes.Promoted) -> int:
        group = self._copy_group(command.group)
        if group is None:
            return ttypes.Outcome.UNKNOWN_GROUP
        if _is_serving(group, command.term) and group.primary == command.primary:
            return ttypes.Outcome.UNCHANGED
        if not _is_fenced(group, command.term - 1):
            return ttypes.Outcome.STALE_TERM
        if not _is_successor(group, command):
            return ttypes.Outcome.NOT_ALLOWED
        if command.timeline != group.timeline:
            group.start_timeline = _get_log_timeline(command)
            group.start_lsn = command.lsn
            group.timeline_index = self._index
        group.term = command.term
        group.timeline = command.timeline
        group.primary = command.primary
        group.leaving = [name for name in group.leaving if name != command.primary]
        group.phase = ttypes.GroupPhase.SERVING
        group.reason = ""
        group.candidates = []
        return self._store_changed(group)


def _is_serving(group: ttypes.Group, term: int) -> bool:
    return group.phase == ttypes.GroupPhase.SERVING and group.term == term


def _is_fenced(group: ttypes.Group, term: int) -> bool:
    return group.phase == ttypes.GroupPhase.FENCED and group.term == term


def _get_log_timeline(command: ttypes.RegisterGroup | ttypes.Promoted) -> int:
    """Return the timeline in which the log of the primary ends."""
    return command.timeline if command.log_timeline is None else command.log_timeline


def _is_successor(group: ttypes.Group, command: ttypes.Promoted) -> bool:
    """Return whether the promoted instance is allowed as the next primary."""
    if command.primary in group.candidates:
        return command.timeline > group.timeline
    is_reinstated = not group.candidates and command.primary == group.primary
    return is_reinstated and command.timeline == group.timeline
