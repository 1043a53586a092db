"""State machines that the replicated log feeds, one per slice."""

import enum
import typing

import loguru
import msgspec

from sedgeswitch.agreement import errors
from sedgeswitch.utils import checks


class StateMachine(typing.Protocol):
    """What a slice registers: a deterministic state machine."""

    def apply(self, index: int, body: bytes) -> bytes:
        """Apply a command and return the result for its proposer."""

    def save_snapshot(self) -> bytes:
        """Return the whole state."""

    def load_snapshot(self, body: bytes) -> None:
        """Replace the whole state."""


class Command(typing.NamedTuple):
    """A command in the log.

    Attributes
    ----------
    machine_name : str
        The name that the state machine is registered under.
    body : bytes
        The slice's own encoding of the command.
    """

    machine_name: str
    body: bytes


class Status(enum.IntEnum):
    """How applying a command ended."""

    OK = 0
    UNKNOWN_MACHINE = 1
    FAILED = 2


class Result(typing.NamedTuple):
    """What applying a command gave.

    Attributes
    ----------
    status : Status
    body : bytes
        The machine's result; the reason as UTF-8 if the status is not OK.
    """

    status: Status
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(Result)
_snapshot_decoder = msgspec.msgpack.Decoder(dict[str, bytes])


def encode_command(command: Command) -> bytes:
    """Return a command as stored in a log entry."""
    return _encoder.encode(command)


def decode_command(body: bytes) -> Command:
    """Return the command that a log entry holds.

    Raises
    ------
    msgspec.DecodeError
        If the bytes hold no command.
    """
    return _command_decoder.decode(body)


def decode_result(body: bytes) -> Result:
    """Return the result that `Registry.apply` gave."""
    return _result_decoder.decode(body)


def read_result(machine_name: str, body: bytes) -> bytes:
    """Return the machine's own result.

    Raises
    ------
    errors.UnknownStateMachineError, errors.StateMachineFailedError
        If the command was not applied.
    """
    result = decode_result(body)
    if result.status is Status.UNKNOWN_MACHINE:
        raise errors.UnknownStateMachineError(machine_name)
    if result.status is Status.FAILED:
        raise errors.StateMachineFailedError(result.body.decode())
    return result.body


class Registry:
    """The state machines of one host, by slice name.

    Examples
    --------
    >>> registry = Registry()
    >>> registry.register_machine("configuration", machine)  # doctest: +SKIP
    """

    def __init__(self):
        self._machines: dict[str, StateMachine] = {}
        # State of slices that this version does not have is passed on.
        self._foreign: dict[str, bytes] = {}

    def register_machine(self, name: str, machine: StateMachine) -> None:
        """Register the state machine of a slice.

        Raises
        ------
        ValueError
            If the name is malformed or taken.
        """
        checks.check_name("name", name)
        if name in self._machines:
            raise ValueError(f"a machine is registered as {name!r} already")
        self._machines[name] = machine

    def has_machine(self, name: str) -> bool:
        """Return whether a machine is registered under the name."""
        return name in self._machines

    def apply(self, index: int, command_bytes: bytes) -> bytes:
        """Apply a committed command and return its encoded `Result`.

        Parameters
        ----------
        index : int
            Index of the entry in the log.
        command_bytes : bytes
            What `encode_command` gave.

        Notes
        -----
        A command that fails must not stop the log on every host, so that its
        exception becomes a result.
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
                "machine {} failed at index {}", command.machine_name, index
            )
            return _encoder.encode(Result(Status.FAILED, repr(error).encode()))
        return _encoder.encode(Result(Status.OK, body))

    def save_snapshot(self) -> bytes:
        """Return the state of all machines."""
        states = dict(self._foreign)
        for name, machine in self._machines.items():
            states[name] = machine.save_snapshot()
        return _encoder.encode(states)

    def load_snapshot(self, body: bytes) -> None:
        """Replace the state of all machines; empty bytes leave it as it is."""
        if not body:
            return
        self._foreign = {}
        for name, state in _snapshot_decoder.decode(body).items():
            machine = self._machines.get(name)
            if machine is None:
                self._foreign[name] = state
            else:
                machine.load_snapshot(state)
