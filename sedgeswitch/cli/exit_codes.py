"""Exit codes of the command line; scripts depend on these values."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    Attributes
    ----------
    OK
        The command succeeded.
    REFUSED
        The input is not valid, or the control hosts rejected the request.
    USAGE
        The command line is not valid, or a file that it names cannot be read.
    UNREACHABLE
        No leader of the control hosts answered within the timeout.
    CONFLICT
        Another change was made to the configuration first; nothing was changed.
    NOT_YET
        The awaited state was not reached within the waiting time.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_YET = 5
