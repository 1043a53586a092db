"""The HTTP endpoint at which backend servers announce themselves."""

import ipaddress
import typing

import msgspec

from sedgeswitch.callers import http
from sedgeswitch.membership import directory
from sedgeswitch.statements import requests

PATH = "/v1/announcements"

_Name = typing.Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._-]{1,64}\Z")]
_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class _Body(typing.TypedDict):
    instance: _Name
    group: _Name
    host: typing.Annotated[str, msgspec.Meta(min_length=2, max_length=64)]
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    availability_zone: _Name
    labels: dict[_Name, _Name]
    slots: _Count
    max_connections: _Count
    is_leaving: typing.NotRequired[bool]
    is_cold: typing.NotRequired[bool]


_FIELDS = frozenset(_Body.__annotations__)


class AnnouncementEndpoint:
    """Validates announcements and records them in the directory of this host.

    Parameters
    ----------
    servers : directory.EntryDirectory
        Reports the announcements to the leader.
    """

    def __init__(self, servers: directory.EntryDirectory):
        self._servers = servers

    async def handle(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        """Answer ``POST /v1/announcements``.

        Raises
        ------
        verdicts.RefusedError
            400 if the announcement is malformed.
        """
        body = requests.decode_fields(request.body, _FIELDS, _Body)
        _check_ip(body["host"])
        self._servers.record_announcement(directory.BackendServer(**body))
        return http.Response(204, b"")


def _check_ip(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise requests.build_bad_request(
            f"host: expected an IP address, got {host!r}"
        ) from error
