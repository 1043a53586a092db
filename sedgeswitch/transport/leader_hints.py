"""Leader hints: the leader's address in the answers of other control hosts.

A hint contains the address, because the leader may be a control host that has
replaced one of those in the settings of an entry host.
"""

import typing

from sedgeswitch.transport import peer

NOT_LEADER = "not_leader"
_SEPARATOR = " "


class Hint(typing.NamedTuple):
    """Id and address of the leader that a control host has recorded.

    Attributes
    ----------
    host_id : str
    address : peer.Address
    """

    host_id: str
    address: peer.Address


def encode_hint(host_id: str | None, address: peer.Address | None) -> str:
    """Return the detail of a ``not_leader`` failure; empty if no leader is known."""
    if host_id is None or address is None:
        return ""
    return _SEPARATOR.join((host_id, address.host, str(address.port)))


def decode_hint(detail: str) -> Hint | None:
    """Return the hint in the detail of a failure, or None if there is none."""
    parts = detail.split(_SEPARATOR)
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    return Hint(parts[0], peer.Address(parts[1], int(parts[2])))
