"""Parses TCP addresses of command-line options."""

import typing


class Address(typing.NamedTuple):
    """A TCP address."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address that a text of the form ``host:port`` states.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"expected host:port, got {text!r}")
    return Address(host, int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list; empty parts are skipped.

    Raises
    ------
    ValueError
        If a part is not of the form ``host:port``.
    """
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )
