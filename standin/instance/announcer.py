"""Announces the instance to the entry hosts over HTTP."""

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
    """JSON body of an announcement."""

    instance: str
    group: str
    host: str
    port: int
    availability_zone: str
    labels: dict[str, str]
    slots: int
    max_connections: int


def build_announcement(instance_settings: settings.Settings, port: int) -> Announcement:
    """Return the announcement of an instance whose client port is `port`."""
    return Announcement(
        instance=instance_settings.instance,
        group=instance_settings.group,
        host=instance_settings.host,
        port=port,
        availability_zone=instance_settings.availability_zone,
        labels=instance_settings.labels,
        slots=instance_settings.slots,
        max_connections=instance_settings.max_connections,
    )


async def run(instance: server.Instance, port: int) -> None:
    """Announce the instance to each of `settings.announce_to` until cancelled.

    Each receiver gets an announcement every `settings.announce_interval_s`.
    """
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
        await instance.wait_while_frozen()
        try:
            with trio.fail_after(TIMEOUT_S):
                stream = await trio.open_tcp_stream(*receiver)
                async with stream:
                    await http1.call(stream, receiver.host, request)
        except (OSError, http1.HttpError, trio.BrokenResourceError, trio.TooSlowError):
            pass  # The announcement after the interval serves as the retry.
        await trio.sleep(instance.settings.announce_interval_s)
