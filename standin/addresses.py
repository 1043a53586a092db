"""TCP addresses in options."""

import typing


class Address(typing.NamedTuple):
    """A TCP address."""

    host: str
    port: int


def get_address(text: str) -> Address:
    """Return the address that ``host:port`` states.

    Raises
    ------
    ValueError
        If the text is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"expected host:port, got {text!r}")
    return Address(host, int(port))


def get_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list; empty for no text."""
    return tuple(get_address(part.strip()) for part in text.split(",") if part.strip())
