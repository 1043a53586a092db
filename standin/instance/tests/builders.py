"""Runs instances and their clients inside a test."""

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
WAIT_TIMEOUT_S = 15

_FIRST_PORT = 20_000
_PORT_SPAN = 12_000
_PORTS = itertools.count(_FIRST_PORT + os.getpid() * 50 % _PORT_SPAN)


class RunningInstance(typing.NamedTuple):
    """A running instance; cancelling `scope` stops it."""

    settings: settings.Settings
    ports: program.Ports
    scope: trio.CancelScope

    async def call_control(self, method: str, path: str, body: object = None) -> dict:
        stream = await trio.open_tcp_stream(HOST, self.ports.control_port)
        async with stream:
            raw = b"" if body is None else msgspec.json.encode(body)
            request = http1.Request(method, path, {}, raw)
            response = await http1.call(stream, HOST, request)
        return msgspec.json.decode(response.body)

    async def set_faults(self, **faults: object) -> dict:
        return await self.call_control("POST", "/faults", faults)

    async def run_in_client(
        self, function: typing.Callable, **options: object
    ) -> typing.Any:
        """Call `function` with a new psycopg connection in a thread."""
        return await trio.to_thread.run_sync(self._run_client, function, options)

    def connect(self, **options: object) -> psycopg.Connection:
        options.setdefault("autocommit", True)
        return psycopg.connect(
            host=HOST, port=self.ports.port, dbname=GROUP, user="u", **options
        )

    def _run_client(self, function: typing.Callable, options: dict) -> typing.Any:
        with self.connect(**options) as connection:
            return function(connection)

    async def fetch(self, sql: str, *values: object) -> list[tuple]:
        def run_statement(connection):
            cursor = connection.execute(sql, values)
            return cursor.fetchall() if cursor.description else []

        return await self.run_in_client(run_statement)

    async def wait_for(self, sql: str, expected: list[tuple]) -> None:
        with trio.fail_after(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(psycopg.Error):
                    if await self.fetch(sql) == expected:
                        return
                await trio.sleep(POLL_S)


def find_free_port() -> int:
    """Return a free port below the range that the system uses for outgoing connections.

    A port from that range may be taken by an outgoing connection before the
    instance listens on it.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


def build_settings(folder: str, name: str, **changes: object) -> settings.Settings:
    values = {"is_first_primary": True, **changes}
    return settings.Settings(name, GROUP, pathlib.Path(folder) / name, **values)


async def start(
    nursery: trio.Nursery, instance_settings: settings.Settings
) -> RunningInstance:
    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await program.run(instance_settings, task_status)

    return RunningInstance(instance_settings, await nursery.start(serve), scope)


@contextlib.asynccontextmanager
async def open_group(
    count: int = 1, **changes: object
) -> typing.AsyncIterator[tuple[trio.Nursery, list[RunningInstance]]]:
    """Run a primary and ``count - 1`` replicas; `changes` are settings of all."""
    peer_ports = [find_free_port() for _ in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            instances = []
            for index, port in enumerate(peer_ports):
                others = [other for other in peer_ports if other != port]
                instance_settings = build_settings(
                    folder,
                    f"i{index}",
                    is_first_primary=index == 0,
                    peer_port=port,
                    peers=tuple(addresses.Address(HOST, other) for other in others),
                    **changes,
                )
                instances.append(await start(nursery, instance_settings))
            yield nursery, instances
            nursery.cancel_scope.cancel()
