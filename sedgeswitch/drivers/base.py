"""The interface of drivers that execute SQL, and the registry of drivers."""

import collections.abc
import typing

from sedgeswitch import verdicts


class Target(typing.NamedTuple):
    """Connection parameters of one instance.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    database : str
    user : str
    instance : str
        Id of the instance expected at this address; empty to accept any.
    """

    host: str
    port: int
    database: str
    user: str = "sedgeswitch"
    instance: str = ""


class Rows(typing.NamedTuple):
    """The result of one statement, with values in text form.

    Attributes
    ----------
    columns : tuple of str
        Column names.
    rows : list of tuple
        One tuple per row; each value is a str, or None for NULL.
    status : str
        Command tag returned by the server, such as ``INSERT 0 1``.
    """

    columns: tuple[str, ...]
    rows: list[tuple[str | None, ...]]
    status: str


class DriverError(Exception):
    """A connection or statement failed.

    Parameters
    ----------
    sqlstate : str
        Five-character SQLSTATE code; empty if the server sent none.
    detail : str
        Error message.
    verdict : verdicts.Verdict
        Whether the statement may have run.
    is_lost : bool
        Whether the connection is closed and can no longer be used.
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
    """An open connection to an instance, used by one task at a time."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""

    async def execute(
        self, sql: str, parameters: collections.abc.Sequence[str | None] = ()
    ) -> Rows:
        """Run one statement; a cancellation closes the connection.

        Raises
        ------
        DriverError
            If the statement fails or the connection is lost.
        """

    async def close(self) -> None:
        """Close the connection."""


class Driver(typing.Protocol):
    """Opens connections of one protocol.

    Attributes
    ----------
    is_bound_to_user : bool
        Whether a connection can be used only for the user of its target, so that
        pools must not reuse it for another one.
    """

    is_bound_to_user: bool

    async def connect(self, target: Target, timeout_s: float) -> Connection:
        """Open a connection.

        Raises
        ------
        DriverError
            With verdict "not run", if connecting fails or times out.
        """


_DRIVERS: dict[str, type] = {}


def register_driver(name: str) -> collections.abc.Callable[[type], type]:
    """Return a class decorator that registers a driver under a name."""

    def register(driver_type: type) -> type:
        _DRIVERS[name] = driver_type
        return driver_type

    return register


def build_driver(name: str) -> Driver:
    """Return a new driver by its registered name.

    Raises
    ------
    KeyError
        If no driver is registered under the name.
    """
    return _DRIVERS[name]()
