"""What a driver of backend servers offers, and the registry of drivers."""

import collections.abc
import typing

from sedgeswitch import verdicts


class Target(typing.NamedTuple):
    """Where and how to connect to one instance.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    database : str
    user : str
    instance : str
        Id of the instance that is expected there; empty for any.
    """

    host: str
    port: int
    database: str
    user: str = "sedgeswitch"
    instance: str = ""


class Rows(typing.NamedTuple):
    """The result of one statement, values as text.

    Attributes
    ----------
    columns : tuple of str
    rows : list of tuple
        Each value is text, or None for NULL.
    status : str
        Command tag of the server, such as ``INSERT 0 1``.
    """

    columns: tuple[str, ...]
    rows: list[tuple[str | None, ...]]
    status: str


class DriverError(Exception):
    """A connection or statement failed.

    Parameters
    ----------
    sqlstate : str
        Five-character code of the server; empty when the server sent none.
    detail : str
    verdict : verdicts.Verdict
        Whether the statement may have run.
    is_lost : bool
        Whether the connection can no longer be used.
    """

    def __init__(
        self, sqlstate: str, detail: str, verdict: verdicts.Verdict, is_lost: bool
    ):
        super().__init__(f"{sqlstate or 'connection'}: {detail}")
        self.sqlstate = sqlstate
        self.detail = detail
        self.verdict = verdict
        self.is_lost = is_lost


class Connection(typing.Protocol):
    """An open connection to an instance; one task uses it at a time."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""

    async def execute(
        self, sql: str, parameters: collections.abc.Sequence[str | None] = ()
    ) -> Rows:
        """Run one statement; cancelling it closes the connection."""

    async def close(self) -> None:
        """Close the connection."""


class Driver(typing.Protocol):
    """Opens connections of one protocol.

    Attributes
    ----------
    is_bound_to_user : bool
        Whether a connection serves the user of its target only.
    """

    is_bound_to_user: bool

    async def connect(self, target: Target, timeout_s: float) -> Connection:
        """Open a connection, raising `DriverError` (not run) on failure."""


_DRIVERS: dict[str, type] = {}


def register_driver(name: str) -> collections.abc.Callable[[type], type]:
    """Return a class decorator that registers a driver under a name."""

    def register(driver_type: type) -> type:
        _DRIVERS[name] = driver_type
        return driver_type

    return register


def build_driver(name: str) -> Driver:
    """Return a driver by its registered name.

    Raises
    ------
    KeyError
        If no driver has the name.
    """
    return _DRIVERS[name]()
