"""Settings of a client session, such as ``default_transaction_read_only``."""

import math
import re

READ_ONLY_DEFAULT = "default_transaction_read_only"
LOCK_TIMEOUT = "lock_timeout"
STATEMENT_TIMEOUT = "statement_timeout"

_SET = re.compile(
    r"^set\s+(?:session\s+|local\s+)?(?P<name>[a-z_.]+)\s*(?:=|\s+to\s+)\s*(?P<value>.+)$",
    re.IGNORECASE,
)
_LEADING_DIGITS = re.compile(r"\d+")
_TRUE_TEXTS = ("on", "true", "yes", "1")


def _read_startup_options(text: str) -> dict[str, str]:
    """Return the settings of ``-c name=value`` and ``--name=value`` options."""
    values: dict[str, str] = {}
    for word in text.replace("-c ", "--").replace("-c", "--").split():
        name, separator, value = word.removeprefix("--").partition("=")
        if separator:
            values[name.replace("-", "_").lower()] = value
    return values


class Options:
    """The settings of one session.

    Parameters
    ----------
    startup_options : str
        The ``options`` of the startup message.
    """

    def __init__(self, startup_options: str):
        self._first_values = _read_startup_options(startup_options)
        self._values = dict(self._first_values)

    @property
    def is_read_only(self) -> bool:
        """Whether transactions are read-only unless they say otherwise."""
        return self.get(READ_ONLY_DEFAULT).lower() in _TRUE_TEXTS

    def get(self, name: str) -> str:
        """Return the value of a setting; empty if it was not set."""
        return self._values.get(name, "")

    def get_timeout_s(self, name: str) -> float:
        """Return a setting in milliseconds as seconds; infinite for 0 or none."""
        digits = _LEADING_DIGITS.match(self.get(name))
        timeout_ms = int(digits[0]) if digits else 0
        return timeout_ms / 1000 if timeout_ms else math.inf

    def set(self, statement: str) -> bool:
        """Run a SET statement and return whether it names a setting."""
        found = _SET.match(statement)
        if found:
            self._values[found["name"].lower()] = found["value"].strip().strip("'")
        return bool(found)

    def reset(self) -> None:
        """Return to the settings of the startup message."""
        self._values = dict(self._first_values)
