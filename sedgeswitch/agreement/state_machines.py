"""State machines to which the committed commands of the replicated log are applied.

Each part of the program that replicates state registers one state machine under a
name; the commands in the log carry that name.
"""

import enum
import typing

import loguru
import msgspec

from sedgeswitch.agreement import errors
from sedgeswitch.utils import checks


class StateMachine(typing.Protocol):
    """Interface of a deterministic state machine."""

    def apply(self, index: int, body: bytes) -> bytes:
        """Apply the command at a log index and return the result for its proposer."""

    def save_snapshot(self) -> bytes:
        """Return the whole state."""

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


class Command(typing.NamedTuple):
    """A command in the log.

    Attributes
    ----------
    machine_name : str
        Name under which the state machine is registered.
    body : bytes
        The command in the encoding of that state machine.
    """

    machine_name: str
    body: bytes


class Status(enum.IntEnum):
    """Outcome of applying a command.

    ``UNKNOWN_MACHINE`` means that no state machine is registered under the name,
    ``FAILED`` that the state machine raised an exception.
    """

    OK = 0
    UNKNOWN_MACHINE = 1
    FAILED = 2


class Result(typing.NamedTuple):
    """Result of applying a command.

    Attributes
    ----------
    status : Status
    body : bytes
        The result of the state machine; if the status is not ``OK``, the reason as
        UTF-8.
    """

    status: Status
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(Result)
_snapshot_decoder = msgspec.msgpack.Decoder(dict[str, bytes])


def encode_command(command: Command) -> bytes:
    """Return a command as msgpack, as stored in a log entry."""
    return _encoder.encode(command)


def decode_command(body: bytes) -> Command:
    """Return the command in the body of a log entry.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no encoded command.
    """
    return _command_decoder.decode(body)


def decode_result(body: bytes) -> Result:
    """Return the result that `Registry.apply` encoded."""
    return _result_decoder.decode(body)


def unwrap_result(machine_name: str, body: bytes) -> bytes:
    """Return the body of an encoded result whose status is ``OK``.

    Raises
    ------
    errors.UnknownStateMachineError, errors.StateMachineFailedError
        If the result has another status.
    """
    result = decode_result(body)
    if result.status is Status.UNKNOWN_MACHINE:
        raise errors.UnknownStateMachineError(machine_name)
    if result.status is Status.FAILED:
        raise errors.StateMachineFailedError(result.body.decode())
    return result.body


class Registry:
    """The state machines of one host, by name.

    Examples
    --------
    >>> registry = Registry()
    >>> registry.register_machine("configuration", machine)  # doctest: +SKIP
    """

    def __init__(self):
        self._machines: dict[str, StateMachine] = {}
        # Snapshots of state machines that this release does not have; they are
        # included unchanged in the snapshots of this host.
        self._unregistered_states: dict[str, bytes] = {}

    def register_machine(self, name: str, machine: StateMachine) -> None:
        """Register a state machine under a name.

        Raises
        ------
        ValueError
            If the name is malformed or registered already.
        """
        checks.check_name("name", name)
        if name in self._machines:
            raise ValueError(f"a state machine is already registered as {name!r}")
        self._machines[name] = machine

    def has_machine(self, name: str) -> bool:
        """Return whether a state machine is registered under the name."""
        return name in self._machines

    def apply(self, index: int, command_bytes: bytes) -> bytes:
        """Apply a committed command and return its encoded `Result`.

        Parameters
        ----------
        index : int
            Index of the entry in the log.
        command_bytes : bytes
            A command encoded by `encode_command`.

        Notes
        -----
        An exception of the state machine becomes a result: raised, it would stop
        the log on every host, since all of them apply the same command.
        """
        command = decode_command(command_bytes)
        machine = self._machines.get(command.machine_name)
        if machine is None:
            reason = command.machine_name.encode()
            return _encoder.encode(Result(Status.UNKNOWN_MACHINE, reason))
        try:
            body = machine.apply(index, command.body)
        except Exception as error:
            loguru.logger.exception(
                "state machine {} failed at index {}", command.machine_name, index
            )
            return _encoder.encode(Result(Status.FAILED, repr(error).encode()))
        return _encoder.encode(Result(Status.OK, body))

    def save_snapshot(self) -> bytes:
        """Return the state of all state machines."""
        states = dict(self._unregistered_states)
        for name, machine in self._machines.items():
            states[name] = machine.save_snapshot()
        return _encoder.encode(states)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the state of all state machines; empty bytes change nothing."""
        if not body:
            return
        self._unregistered_states = {}
        for name, state in _snapshot_decoder.decode(body).items():
            machine = self._machines.get(name)
            if machine is None:
                self._unregistered_states[name] = state
            else:
                machine.load_snapshot(state)
