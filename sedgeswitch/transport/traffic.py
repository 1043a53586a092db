"""Counts of the messages and bytes that this process exchanges with others."""

import typing


class Count(typing.NamedTuple):
    """How much of one message type went one way.

    Attributes
    ----------
    messages : int
    size_bytes : int
        Bytes of the frames, without those of TCP and IP.
    """

    messages: int
    size_bytes: int


_NOTHING = Count(0, 0)


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
        """Count a frame that is sent."""
        _add(self.sent, name, size_bytes)

    def record_received(self, name: str, size_bytes: int) -> None:
        """Count a frame that has arrived."""
        _add(self.received, name, size_bytes)


def _add(counts: dict[str, Count], name: str, size_bytes: int) -> None:
    messages, total_bytes = counts.get(name, _NOTHING)
    counts[name] = Count(messages + 1, total_bytes + size_bytes)


# One process has one network, whatever the number of its peers and servers.
PROCESS_TRAFFIC = Traffic()
