"""Builds instances that run inside a test, and clients for them."""

import contextlib
import itertools
import os
import pathlib
import socket
import tempfile
import typing

import msgspec
import psycopg
import trio

from standin import addresses
from standin import http1
from standin.instance import program
from standin.instance import settings

GROUP = "lots"
HOST = "127.0.0.1"
POLL_S = 0.005
GIVE_UP_S = 15

_FIRST_PORT = 20_000
_PORT_SPAN = 12_000
_PORTS = itertools.count(_FIRST_PORT + os.getpid() * 50 % _PORT_SPAN)


class Running(typing.NamedTuple):
    """An instance that runs, and the scope that stops it."""

    settings: settings.Settings
    ports: program.Ports
    scope: trio.CancelScope

    async def control(self, method: str, path: str, body: object = None) -> dict:
        stream = await trio.open_tcp_stream(HOST, self.ports.control_port)
        async with stream:
            raw = b"" if body is None else msgspec.json.encode(body)
            request = http1.Request(method, path, {}, raw)
            response = await http1.call(stream, HOST, request)
        return msgspec.json.decode(response.body)

    async def set_faults(self, **faults: object) -> dict:
        return await self.control("POST", "/faults", faults)

    async def in_client(self, work: typing.Callable, **options: object) -> typing.Any:
        """Run `work` with a new psycopg connection in a thread."""
        return await trio.to_thread.run_sync(self._run_client, work, options)

    def connect(self, **options: object) -> psycopg.Connection:
        options.setdefault("autocommit", True)
        return psycopg.connect(
            host=HOST, port=self.ports.port, dbname=GROUP, user="u", **options
        )

    def _run_client(self, work: typing.Callable, options: dict) -> typing.Any:
        with self.connect(**options) as connection:
            return work(connection)

    async def fetch(self, sql: str, *values: object) -> list[tuple]:
        def work(connection):
            cursor = connection.execute(sql, values)
            return cursor.fetchall() if cursor.description else []

        return await self.in_client(work)

    async def wait_for(self, sql: str, expected: list[tuple]) -> None:
        with trio.fail_after(GIVE_UP_S):
            while True:
                with contextlib.suppress(psycopg.Error):
                    if await self.fetch(sql) == expected:
                        return
                await trio.sleep(POLL_S)


def build_free_port() -> int:
    """Return a port below those that the system gives to outgoing connections."""
    while True:
        port = next(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


def build_settings(folder: str, name: str, **changes: object) -> settings.Settings:
    values = {"is_first_primary": True, **changes}
    return settings.Settings(name, GROUP, pathlib.Path(folder) / name, **values)


async def start(nursery: trio.Nursery, own: settings.Settings) -> Running:
    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await program.run(own, task_status)

    return Running(own, await nursery.start(serve), scope)


@contextlib.asynccontextmanager
async def open_group(
    count: int = 1, **changes: object
) -> typing.AsyncIterator[tuple[trio.Nursery, list[Running]]]:
    """Run a primary and ``count - 1`` replicas of it."""
    peer_ports = [build_free_port() for _ in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            running = []
            for index, port in enumerate(peer_ports):
                others = [other for other in peer_ports if other != port]
                own = build_settings(
                    folder,
                    f"i{index}",
                    is_first_primary=index == 0,
                    peer_port=port,
                    peers=tuple(addresses.Address(HOST, other) for other in others),
                    **changes,
                )
                running.append(await start(nursery, own))
            yield nursery, running
            nursery.cancel_scope.cancel()
