"""Starts the daemon on the platform: ``python3 -m sedgeswitch.platform``."""

import os
import random
import sys

import loguru
import trio

from sedgeswitch.observability import lines
from sedgeswitch.observability import logs
from sedgeswitch.platform import program
from sedgeswitch.platform import settings
from sedgeswitch.utils import checks

EXIT_INVALID = 1
EXIT_CRASHED = 2
LOG_LEVEL = "INFO"


def main() -> int:
    """Run the daemon and return its exit code."""
    try:
        path = settings.get_path()
        loaded = settings.load_settings(path)
    except (checks.CheckError, OSError) as error:
        logs.configure_logs("unknown", LOG_LEVEL, sys.stdout)
        loguru.logger.error("settings are not valid: {}", error)
        return EXIT_INVALID
    buffer = lines.LineBuffer(sys.stdout.fileno())
    logs.configure_logs(loaded.host_name, LOG_LEVEL, buffer)
    try:
        trio.run(program.run, path, loaded, random.SystemRandom(), buffer)
    except Exception:
        loguru.logger.exception("the daemon crashed")
        return EXIT_CRASHED
    finally:
        buffer.flush()
    return program.EXIT_OK


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    # Releasing all objects would take another 0.1 s of processor time, which is most of
    # the time left at the end of a stop.
    os._exit(code)
