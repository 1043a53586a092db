"""Counters of the messages and bytes that this process sends and receives."""

import typing


class Count(typing.NamedTuple):
    """Counters of one message type in one direction.

    Attributes
    ----------
    messages : int
    size_bytes : int
        Total size of the frames, without TCP and IP headers.
    """

    messages: int
    size_bytes: int


_ZERO_COUNT = Count(0, 0)


class Traffic:
    """Counts frames by the name of their message type.

    Attributes
    ----------
    sent : dict of str to Count
    received : dict of str to Count
    """

    def __init__(self):
        self.sent: dict[str, Count] = {}
        self.received: dict[str, Count] = {}

    def record_sent(self, name: str, size_bytes: int) -> None:
        """Count a sent frame."""
        _add(self.sent, name, size_bytes)

    def record_received(self, name: str, size_bytes: int) -> None:
        """Count a received frame."""
        _add(self.received, name, size_bytes)


def _add(counts: dict[str, Count], name: str, size_bytes: int) -> None:
    messages, total_bytes = counts.get(name, _ZERO_COUNT)
    counts[name] = Count(messages + 1, total_bytes + size_bytes)


# The counters cover all peers and servers of the process.
PROCESS_TRAFFIC = Traffic()
