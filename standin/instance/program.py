"""Opens the ports of an instance and serves them."""

import functools
import typing

import trio

from standin import http1
from standin.instance import announcer
from standin.instance import control
from standin.instance import replication
from standin.instance import server
from standin.instance import session
from standin.instance import settings
from standin.instance import store


class Ports(typing.NamedTuple):
    """The TCP ports that an instance listens on."""

    port: int
    peer_port: int
    control_port: int


async def run(
    instance_settings: settings.Settings,
    task_status: trio.TaskStatus[Ports] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an instance until cancelled.

    Parameters
    ----------
    instance_settings : settings.Settings
    task_status : trio.TaskStatus
        Receives the `Ports` once the instance listens on them.
    """
    data = store.Store(instance_settings.data_folder)
    try:
        await _serve(server.Instance(instance_settings, data), task_status)
    finally:
        data.close()


async def _serve(
    instance: server.Instance, task_status: trio.TaskStatus[Ports]
) -> None:
    instance_settings = instance.settings
    replicator = replication.Replicator(instance)
    answer = control.Control(instance).answer

    async def serve_client(stream: trio.SocketStream) -> None:
        await session.Session(instance, stream).run()

    async def serve_control(stream: trio.SocketStream) -> None:
        await http1.serve_connection(stream, answer)

    async with trio.open_nursery() as nursery:
        listen = functools.partial(_listen, nursery, instance_settings.host)
        ports = Ports(
            await listen(serve_client, instance_settings.port),
            await listen(replicator.serve, instance_settings.peer_port),
            await listen(serve_control, instance_settings.control_port),
        )
        nursery.start_soon(replicator.run)
        nursery.start_soon(announcer.run, instance, ports.port)
        task_status.started(ports)


async def _listen(
    nursery: trio.Nursery,
    host: str,
    handler: typing.Callable[[trio.SocketStream], typing.Awaitable[None]],
    port: int,
) -> int:
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, handler, listeners)
    return listeners[0].socket.getsockname()[1]
