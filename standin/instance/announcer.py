"""Announces the instance to the entry hosts by HTTP."""

import typing

import msgspec
import trio

from standin import addresses
from standin import http1
from standin.instance import server
from standin.instance import settings

PATH = "/v1/announcements"
TIMEOUT_S = 2.0


class Announcement(typing.TypedDict):
    """Body of an announcement."""

    instance: str
    group: str
    host: str
    port: int
    availability_zone: str
    labels: dict[str, str]
    slots: int
    max_connections: int


def build_announcement(own: settings.Settings, port: int) -> Announcement:
    """Return the announcement of an instance that listens on `port`."""
    return Announcement(
        instance=own.instance,
        group=own.group,
        host=own.host,
        port=port,
        availability_zone=own.availability_zone,
        labels=own.labels,
        slots=own.slots,
        max_connections=own.max_connections,
    )


async def run(instance: server.Instance, port: int) -> None:
    """Announce the instance to each receiver until cancelled."""
    async with trio.open_nursery() as nursery:
        for receiver in instance.settings.announce_to:
            nursery.start_soon(_announce_to, instance, port, receiver)


async def _announce_to(
    instance: server.Instance, port: int, receiver: addresses.Address
) -> None:
    announced_port = instance.settings.announced_port or port
    body = msgspec.json.encode(build_announcement(instance.settings, announced_port))
    request = http1.Request("POST", PATH, {"connection": "close"}, body)
    while True:
        await instance.wait_thawed()
        try:
            with trio.fail_after(TIMEOUT_S):
                stream = await trio.open_tcp_stream(*receiver)
                async with stream:
                    await http1.call(stream, receiver.host, request)
        except (OSError, http1.HttpError, trio.BrokenResourceError, trio.TooSlowError):
            pass  # The next announcement is the retry.
        await trio.sleep(instance.settings.announce_interval_s)
