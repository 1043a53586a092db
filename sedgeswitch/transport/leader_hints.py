"""Hints: where a control host that does not lead says the leader is.

A hint holds the address, so that entry hosts find a control host that took the
place of one in their settings.
"""

import typing

from sedgeswitch.transport import peer

NOT_LEADER = "not_leader"
_SEPARATOR = " "


class Hint(typing.NamedTuple):
    """The leader, as another control host knows it.

    Attributes
    ----------
    host_id : str
    address : peer.Address
    """

    host_id: str
    address: peer.Address


def encode_hint(host_id: str | None, address: peer.Address | None) -> str:
    """Return the detail of a ``not_leader`` failure; empty for no leader."""
    if host_id is None or address is None:
        return ""
    return _SEPARATOR.join((host_id, address.host, str(address.port)))


def decode_hint(detail: str) -> Hint | None:
    """Return the hint that a detail holds, None if it holds none."""
    parts = detail.split(_SEPARATOR)
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    return Hint(parts[0], peer.Address(parts[1], int(parts[2])))
