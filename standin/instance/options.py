"""Session settings of a client, such as ``default_transaction_read_only``."""

import math
import re

READ_ONLY_DEFAULT = "default_transaction_read_only"
LOCK_TIMEOUT = "lock_timeout"
STATEMENT_TIMEOUT = "statement_timeout"

_SET_STATEMENT = re.compile(
    r"^set\s+(?:session\s+|local\s+)?(?P<name>[a-z_.]+)\s*(?:=|\s+to\s+)\s*(?P<value>.+)$",
    re.IGNORECASE,
)
_LEADING_DIGITS = re.compile(r"\d+")
_TRUE_TEXTS = ("on", "true", "yes", "1")


def _parse_startup_options(text: str) -> dict[str, str]:
    """Return the settings in options ``-c name=value`` and ``--name=value``."""
    values: dict[str, str] = {}
    for word in text.split():
        assignment = word.removeprefix("--").removeprefix("-c")
        name, separator, value = assignment.partition("=")
        if separator:
            values[name.replace("-", "_").lower()] = value
    return values


class Options:
    """The session settings of one client connection.

    Parameters
    ----------
    startup_options : str
        The parameter ``options`` of the startup message.
    """

    def __init__(self, startup_options: str):
        self._startup_values = _parse_startup_options(startup_options)
        self._values = dict(self._startup_values)

    @property
    def is_read_only(self) -> bool:
        """Whether transactions are read-only by default."""
        return self.get(READ_ONLY_DEFAULT).lower() in _TRUE_TEXTS

    def get(self, name: str) -> str:
        """Return the value of a setting; an empty text if it is not set."""
        return self._values.get(name, "")

    def get_timeout_s(self, name: str) -> float:
        """Return a timeout setting in seconds.

        The setting is in milliseconds.  The result is infinite if it is 0, not
        set or has no leading digits.
        """
        digits = _LEADING_DIGITS.match(self.get(name))
        timeout_ms = int(digits[0]) if digits else 0
        return timeout_ms / 1000 if timeout_ms else math.inf

    def set(self, statement: str) -> bool:
        """Run a SET statement and return whether it assigns a setting.

        Statements such as ``SET TRANSACTION READ ONLY`` assign none.
        """
        match = _SET_STATEMENT.match(statement)
        if match:
            self._values[match["name"].lower()] = match["value"].strip().strip("'")
        return bool(match)

    def reset(self) -> None:
        """Restore the settings of the startup message."""
        self._values = dict(self._startup_values)
