"""Speed of the replicated log: three processes on loopback, SQLite storage.

Each write is synced to disk (``synchronous = FULL``). Printed are the time to open
logs of several lengths, proposals per second and commit latency at several
concurrencies, and the time from killing the leader until another host leads with a
confirmed lease::

    PYTHONPATH=. .venv/bin/python benchmarks/agreement.py --seconds 3 --kills 10
"""

import argparse
import json
import pathlib
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import trio

from sedgeswitch.agreement import network
from sedgeswitch.agreement import node
from sedgeswitch.agreement import settings
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import state_machines
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.transport import server

HOST = "127.0.0.1"
NODE_IDS = ("c1", "c2", "c3")
CONCURRENCIES = (1, 16, 128)
BODY_BYTES = 200
# Numbers of entries written before a log is opened.
LOG_LENGTHS = (600, 6000, 60000)
POLL_INTERVAL_S = 0.005


class NullMachine:
    """A state machine that only counts its commands."""

    count = 0

    def apply(self, _index, _body):
        """Count a command."""
        self.count += 1
        return b""

    def save_snapshot(self):
        """Return the count."""
        return str(self.count).encode()

    def load_snapshot(self, body):
        """Replace the count."""
        self.count = int(body)


async def propose_until(running_node, end_s, latencies_s):
    """Propose one command after the other and record the latency of each."""
    body = bytes(BODY_BYTES)
    while trio.current_time() < end_s:
        before_s = time.perf_counter()
        await running_node.propose("null", body, 5.0)
        latencies_s.append(time.perf_counter() - before_s)


async def measure_load(running_node, concurrency, duration_s):
    """Print throughput and latency of a number of concurrent proposers."""
    latencies_s = []
    end_s = trio.current_time() + duration_s
    cpu_s = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(propose_until, running_node, end_s, latencies_s)
    cpu_s = time.process_time() - cpu_s
    percentiles = statistics.quantiles(latencies_s, n=100)
    result = {
        "concurrency": concurrency,
        "proposals_per_s": round(len(latencies_s) / duration_s),
        "p50_ms": round(percentiles[49] * 1000, 2),
        "p99_ms": round(percentiles[98] * 1000, 2),
        "leader_cpu_us_per_proposal": round(cpu_s / len(latencies_s) * 1e6),
    }
    print("load", json.dumps(result), flush=True)


async def announce_leadership(running_node):
    """Print a line with the time whenever this process becomes the leader."""
    term = 0
    while True:
        leadership = running_node.get_leadership(trio.current_time())
        if leadership is not None and leadership.term != term:
            term = leadership.term
            print("leading", time.monotonic(), flush=True)
        await trio.sleep(POLL_INTERVAL_S)


async def run_worker(node_id, ports, folder):
    """Run one host; measure the load of each line "concurrency seconds" on stdin."""
    bootstrap_voters = tuple(
        settings.VoterAddress(name, HOST, port)
        for name, port in zip(NODE_IDS, ports, strict=True)
    )
    serving = server.Server()
    registry = state_machines.Registry()
    registry.register_machine("null", NullMachine())
    running_node = node.Node(
        settings.NodeSettings(node_id, bootstrap_voters),
        sqlite_storage.SqliteStorage(pathlib.Path(folder) / node_id),
        network.TransportNetwork(serving),
        registry,
        random.Random(),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(running_node.run)
        await nursery.start(serving.serve, HOST, ports[NODE_IDS.index(node_id)])
        nursery.start_soon(announce_leadership, running_node)
        while line := await trio.to_thread.run_sync(sys.stdin.readline):
            concurrency, duration_s = line.split()
            await measure_load(running_node, int(concurrency), float(duration_s))
        nursery.cancel_scope.cancel()


def find_free_ports(count):
    """Return TCP ports that are currently free."""
    probes = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Fleet:
    """The three processes, with their output read in the background."""

    def __init__(self, nursery, ports, folder):
        self._nursery = nursery
        self._ports = ports
        self._folder = folder
        self.processes = {}
        self.send, self.events = trio.open_memory_channel(1000)

    async def start(self, node_id):
        """Start the process of a host."""
        command = [sys.executable, __file__, "--node", node_id, "--folder"]
        command += [self._folder, "--ports", *map(str, self._ports)]
        process = await trio.lowlevel.open_process(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.processes[node_id] = process
        self._nursery.start_soon(self._read, node_id, process)

    async def wait_for(self, kind):
        """Return the host and the text of the next event of a kind."""
        while True:
            node_id, line = await self.events.receive()
            name, _, rest = line.partition(" ")
            if name == kind:
                return node_id, rest

    async def _read(self, node_id, process):
        buffer = b""
        async for chunk in process.stdout:
            buffer += chunk
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                await self.send.send((node_id, line.decode()))


async def measure_elections(fleet, leader, kills):
    """Kill the leader repeatedly; return the seconds until each new one leads."""
    durations_s = []
    for _ in range(kills):
        killed_s = time.monotonic()
        fleet.processes[leader].kill()
        await fleet.processes[leader].wait()
        previous_leader = leader
        leader, leading_s = await fleet.wait_for("leading")
        durations_s.append(float(leading_s) - killed_s)
        await fleet.start(previous_leader)
        await trio.sleep(2.0)
    return durations_s


def measure_log_open(entry_count):
    """Print the time to open a log to which `entry_count` entries were written.

    A snapshot is saved at the usual interval, so only the entries kept after the
    last one are read.
    """
    voter_set = voters.VoterSet((voters.Member("c1", HOST, 1, "aa"),))
    snapshot_interval = settings.NodeSettings("c1").snapshot_every_entries
    kind = storage.EntryKind.COMMAND
    with tempfile.TemporaryDirectory() as folder:
        store = sqlite_storage.SqliteStorage(pathlib.Path(folder))
        store.reset("aa")
        for last in range(snapshot_interval, entry_count + 1, snapshot_interval):
            entries = tuple(
                storage.Entry(index, 1, kind, bytes(BODY_BYTES))
                for index in range(last - snapshot_interval + 1, last + 1)
            )
            snapshot = storage.Snapshot(last, 1, voter_set, bytes(BODY_BYTES))
            save = storage.SaveSnapshot(snapshot, last - snapshot_interval + 1)
            store.write([storage.Append(entries), save])
        store.close()
        started_s = time.perf_counter()
        count = len(store.open().entries)
        duration_ms = (time.perf_counter() - started_s) * 1000
        store.close()
    result = {"history": entry_count, "loaded": count, "open_ms": round(duration_ms, 1)}
    print(json.dumps(result))


async def measure_fleet(duration_s, kills):
    """Print the load and election results of a fleet of three processes."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, find_free_ports(len(NODE_IDS)), folder)
            for node_id in NODE_IDS:
                await fleet.start(node_id)
            leader, _ = await fleet.wait_for("leading")
            for concurrency in CONCURRENCIES:
                request_line = f"{concurrency} {duration_s}\n".encode()
                await fleet.processes[leader].stdin.send_all(request_line)
                print((await fleet.wait_for("load"))[1])
            durations_s = await measure_elections(fleet, leader, kills)
            elections = {
                "kills": kills,
                "median_s": round(statistics.median(durations_s), 2),
                "max_s": round(max(durations_s), 2),
            }
            print(json.dumps(elections))
            for process in fleet.processes.values():
                process.kill()


def main():
    """Run the benchmark, or one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--kills", type=int, default=10)
    parser.add_argument("--node", help=argparse.SUPPRESS)
    parser.add_argument("--folder", help=argparse.SUPPRESS)
    parser.add_argument("--ports", type=int, nargs="+", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.node:
        trio.run(run_worker, options.node, options.ports, options.folder)
    else:
        for entry_count in LOG_LENGTHS:
            measure_log_open(entry_count)
        trio.run(measure_fleet, options.seconds, options.kills)


if __name__ == "__main__":
    main()
