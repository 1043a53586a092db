"""Dependencies of commands on the process and the system, replaceable in tests."""

import os
import socket
import time
import typing


class Environment(typing.NamedTuple):
    """Environment variables, randomness, time and network of a command.

    Attributes
    ----------
    variables : mapping of str to str
        Environment variables.
    get_random_bytes : callable
        ``get_random_bytes(count)`` returns random bytes suited for keys.
    get_time_s : callable
        Returns the time of a monotonic clock in seconds.
    sleep : callable
        Waits for a number of seconds.
    connect : callable
        ``connect((host, port), timeout_s)`` returns a connected socket.
    """

    variables: typing.Mapping[str, str]
    get_random_bytes: typing.Callable[[int], bytes]
    get_time_s: typing.Callable[[], float]
    sleep: typing.Callable[[float], None]
    connect: typing.Callable[[tuple[str, int], float], socket.socket]


def build_environment() -> Environment:
    """Return the environment of this process."""
    return Environment(
        os.environ, os.urandom, time.monotonic, time.sleep, socket.create_connection
    )
