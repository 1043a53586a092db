"""Exit codes of the command line; scripts rely on them."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_YET = 5
