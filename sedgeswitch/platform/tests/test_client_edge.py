"""Tests of client connections around a planned stop, and after unexpected input."""

import contextlib
import math
import socket
import unittest

import trio
import trio.testing

from sedgeswitch.platform import client_server
from sedgeswitch.platform.tests import builders
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.utils.tests import virtual_time

GRACE_S = 6.0
CONNECT = b"CONNECT primary key-1\r\n"


class PlannedStopTest(unittest.TestCase):
    """Guards against requests that a planned stop leaves without an answer."""

    def run_edge(self, body):
        async def main():
            world = relay_builders.World()
            async with trio.open_nursery() as nursery:
                edge = builders.ClientEdge(world, nursery)
                await body(world, edge)
                nursery.cancel_scope.cancel()

        virtual_time.run(main)

    def test_idle_connection_is_closed_without_a_message(self):
        async def body(world, edge):
            client = await edge.connect()
            await edge.server.drain(GRACE_S)
            self.assertEqual([], await client.read_all())

        self.run_edge(body)

    def test_statements_that_run_or_wait_are_answered(self):
        async def body(world, edge):
            world.instances["a"].is_frozen = True
            clients = [await edge.connect() for _ in range(30)]
            for number, client in enumerate(clients):
                await client.send(b"QUERY %d WRITE x %d\r\n" % (number, number))
            edge.start_drain(GRACE_S)
            await trio.sleep(0.3)
            world.instances["a"].is_frozen = False
            for client in clients:
                lines = await client.read_all()
                self.assertTrue(lines[-1].startswith(b"READY I"), lines)
            self.assertEqual(0, edge.server.open_connections)

        self.run_edge(body)

    def test_request_received_in_part_is_answered(self):
        async def body(world, edge):
            client = await edge.connect()
            await client.send(b"QUERY 1 WRITE x")
            edge.start_drain(GRACE_S)
            await trio.sleep(client_server.LINGER_S + 0.5)
            await client.send(b" 1\r\n")
            lines = await client.read_all()
            self.assertEqual(b"COMPLETE signed-a", lines[0])

        self.run_edge(body)

    def test_open_transaction_may_end_within_its_part_of_the_time(self):
        async def body(world, edge):
            client = await edge.connect()
            await client.ask(b"QUERY 1 BEGIN")
            edge.start_drain(GRACE_S)
            await trio.sleep(client_server.LINGER_S + 0.2)
            await client.ask(b"QUERY 2 WRITE x 1")
            lines = await client.ask(b"QUERY 3 COMMIT")
            self.assertEqual(b"COMPLETE signed-a", lines[0])
            self.assertEqual([], await client.read_all())
            self.assertEqual([b"WRITE x 1"], world.log)

        self.run_edge(body)

    def test_transaction_that_stays_idle_is_rolled_back_and_closed(self):
        async def body(world, edge):
            client = await edge.connect()
            await client.ask(b"QUERY 1 BEGIN")
            await client.ask(b"QUERY 2 WRITE x 1")
            with trio.fail_after(GRACE_S):
                await edge.server.drain(GRACE_S)
            self.assertEqual([], await client.read_all())
            self.assertEqual([], world.log)

        self.run_edge(body)

    def test_request_that_arrives_just_before_the_stop_is_answered(self):
        async def body():
            near, far = socket.socketpair()
            world = relay_builders.World()
            world.groups.set_lease(math.inf)
            world.databases.confirm(math.inf)
            edge = client_server.ClientServer(world.build_session)
            trio_socket = trio.socket.from_stdlib_socket(far)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    edge._serve_connection, trio.SocketStream(trio_socket)
                )
                near.sendall(CONNECT)
                with trio.fail_after(5.0):
                    await trio.to_thread.run_sync(near.recv, 100)
                    await trio.testing.wait_all_tasks_blocked()
                    # No other task runs between these two lines.
                    near.sendall(b"QUERY 1 WRITE x 1\r\n")
                    (connection,) = edge._connections
                    connection.stop()
                    answer = await trio.to_thread.run_sync(near.recv, 100)
                self.assertIn(b"COMPLETE signed-a", answer)
            near.close()

        trio.run(body)


class UnexpectedInputTest(unittest.TestCase):
    """Guards against one client that ends the process, and so all others."""

    def run_with_clients(self, body):
        async def main():
            async with trio.open_nursery() as nursery:
                edge = builders.ClientEdge(relay_builders.World(), nursery)
                healthy = await edge.connect()
                await body(edge)
                lines = await healthy.ask(b"QUERY 1 WRITE x 1")
                self.assertEqual(b"COMPLETE signed-a", lines[0])
                nursery.cancel_scope.cancel()

        virtual_time.run(main)

    def test_malformed_bytes_leave_other_clients_connected(self):
        inputs = (
            b"\r\n",
            b"\xff\xfe\x00 \x80\r\n",
            b"CONNECT\r\n",
            b"CONNECT \xff\xff \xff\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            CONNECT + b"\x00\xff\r\nQUERY\r\nQUERY 1\r\nQUERY \xff \xff\r\n",
            CONNECT + b"QUERY 1 PREPARE a READ\r\nQUERY 2 SET \xff \xff\r\n",
            CONNECT + b"QUERY 1 BEGIN",
            b"x" * (1024 * 1024 + 32 * 1024),
        )

        async def body(edge):
            for data in inputs:
                client = edge.open()
                with contextlib.suppress(trio.BrokenResourceError):
                    await client.send(data)
                await trio.sleep(0.5)
                await client.stream.aclose()

        self.run_with_clients(body)

    def test_unexpected_error_closes_its_connection_only(self):
        async def body(edge):
            def fail(database, key):
                raise KeyError(database)

            client = edge.open()
            connection = await edge.get_newest_connection()
            connection._build_session = fail
            await client.send(CONNECT)
            self.assertEqual([], await client.read_all())

        self.run_with_clients(body)


if __name__ == "__main__":
    unittest.main()
