"""A fleet on loopback addresses: three daemons and the three instances of a group."""

import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from sedgeswitch.keys import key_format

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
GROUP = "lots"
HOST_IDS = ("c1", "c2", "c3")
INSTANCES = ("lots-a", "lots-b", "lots-c")
ZONES = ("bagmati-1", "gandaki-1", "koshi-1")
CLEANING_DAYS = ("monday", "tuesday", "wednesday")
ORGANISATIONS = ("ward-1", "ward-2")
STATEMENTS = "/v1/statements"
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CREATE_SQL = "CREATE TABLE slips (id TEXT, household TEXT)"
INSERT_SQL = "/* id={id} */ INSERT INTO slips (id, household) VALUES ($1, $2)"
SELECT_SQL = "/* id={id} */ SELECT id, count(*) AS runs FROM slips GROUP BY id"
CONFIGURATION = {
    "organisations": {
        name: {"rate_per_s": 2000, "burst": 4000} for name in ORGANISATIONS
    },
    "groups": {
        GROUP: {"database": GROUP, "ack_instances": 2, "replicas_may_serve": True}
    },
    "selectors": {
        "register": {
            "organisations": ["ward-1"],
            "work": ["register"],
            "access": ["read", "write"],
            "labels": {"service": GROUP},
        },
        "lookup": {
            "organisations": ["ward-2"],
            "work": ["lookup"],
            "access": ["read"],
            "labels": {"service": GROUP},
        },
    },
}
# Below the range of ephemeral ports, so that no outgoing connection occupies one.
_PORTS = itertools.count(22_000 + os.getpid() * 40 % 3_000)


def find_port():
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


def wait_until(condition, what):
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline_s:
            raise AssertionError(f"timed out after {TIMEOUT_S} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def build_statement(access, sql, *parameters, **fields):
    body = {"group": GROUP, "work": "register", "access": access, "sql": sql}
    return {**body, "parameters": list(parameters), "deadline_ms": 20_000, **fields}


class Fleet:
    """Daemons and instances as separate processes whose files share one folder."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="sedgeswitch-"))
        self.ports = {name: find_port() for name in HOST_IDS}
        self.control_ports = {name: find_port() for name in INSTANCES}
        self.processes = {}
        self.keys = {
            "unknown": key_format.generate_key(random.Random(1).randbytes).plain
        }
        self._peer_ports = {name: find_port() for name in HOST_IDS + INSTANCES}
        self._environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "SEDGESWITCH_CONTROL": ",".join(
                f"{HOST}:{port}" for port in self.ports.values()
            ),
        }

    def start(self):
        for host_id, zone in zip(HOST_IDS, ZONES, strict=True):
            path = self.folder / f"{host_id}.json"
            path.write_text(json.dumps(self._build_settings(host_id, zone)))
            self._start(host_id, "sedgeswitch.daemon", f"--settings={path}")
        for name, zone, day in zip(INSTANCES, ZONES, CLEANING_DAYS, strict=True):
            arguments = self._build_instance(name, zone, day)
            self._start(name, "standin.instance", *arguments)
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(CONFIGURATION))
        wait_until(lambda: self.run_command("show").returncode == 0, "a leader")
        self.check_command("apply", str(path))
        for name in ORGANISATIONS:
            created = self.check_command("key", "give", name, "--json")
            self.keys[name] = json.loads(created.stdout)["key"]
        self.check_command("in-force", "--wait", str(TIMEOUT_S))
        wait_until(lambda: self.get_primary() == INSTANCES[0], "a primary")
        answer = self.send("c1", build_statement("write", CREATE_SQL))
        assert answer[0] == 200, answer

    def stop(self):
        """Terminate all processes and return their exit codes by name."""
        for process in self.processes.values():
            process.terminate()
        codes = {}
        for name, process in self.processes.items():
            try:
                codes[name] = process.wait(TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        return codes

    def remove(self):
        shutil.rmtree(self.folder)

    def run_command(self, *words):
        return subprocess.run(
            [sys.executable, "-m", "sedgeswitch.cli", *words],
            env=self._environment,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=2 * TIMEOUT_S,
            check=False,
        )

    def check_command(self, *words):
        completed = self.run_command(*words)
        assert completed.returncode == 0, (words, completed.stdout, completed.stderr)
        return completed

    def get_primary(self):
        listed = self.run_command("status", "groups", "--json")
        groups = json.loads(listed.stdout)["groups"] if listed.returncode == 0 else []
        return groups[0]["primary"] if groups else None

    def connect(self, host_id):
        return http.client.HTTPConnection(HOST, self.ports[host_id], timeout=TIMEOUT_S)

    def send(self, host_id, body, key="ward-1", connection=None, **headers):
        """Send a statement and return the status, headers and body of its answer."""
        with_key = {"Authorization": f"Bearer {self.keys[key]}", **headers}
        opened = connection or self.connect(host_id)
        try:
            opened.request("POST", STATEMENTS, json.dumps(body), with_key)
            response = opened.getresponse()
            return response.status, response.headers, json.loads(response.read())
        finally:
            if connection is None:
                opened.close()

    def insert(self, host_id, slip_id, **headers):
        body = build_statement("write", INSERT_SQL.format(id=slip_id), slip_id, "h1")
        return self.send(host_id, body, **{"Idempotency-Key": slip_id}, **headers)

    def call_instance(self, name, method, path, body=None):
        connection = http.client.HTTPConnection(HOST, self.control_ports[name])
        connection.request(method, path, json.dumps(body) if body else None)
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)

    def read_outputs(self):
        """Return the logs and traces of all processes by file name."""
        paths = [*self.folder.glob("*.log"), *self.folder.glob("*/traces.jsonl")]
        return {str(path): path.read_text() for path in paths}

    def read_spans(self):
        texts = [path.read_text() for path in self.folder.glob("*/traces.jsonl")]
        return [json.loads(line) for text in texts for line in text.splitlines()]

    def _build_settings(self, host_id, zone):
        control_hosts = [
            {"host_id": name, "host": HOST, "port": port, "http_port": http_port}
            for name, http_port in self.ports.items()
            for port in [self._peer_ports[name]]
        ]
        return {
            "host_id": host_id,
            "roles": ["entry", "control"],
            "availability_zone": zone,
            "region": zone.removesuffix("-1"),
            "data_folder": str(self.folder / host_id),
            "callers": {"host": HOST, "port": self.ports[host_id]},
            "peers": {"host": HOST, "port": self._peer_ports[host_id]},
            "control_hosts": control_hosts,
            "trace_sample_share": 1.0,
            "requests": {"max_body_bytes": 4096, "header_timeout_s": 1.0},
        }

    def _build_instance(self, name, zone, day):
        others = [self._peer_ports[other] for other in INSTANCES if other != name]
        arguments = [
            f"--instance={name}",
            f"--group={GROUP}",
            f"--data-folder={self.folder / name}",
            f"--port={find_port()}",
            f"--peer-port={self._peer_ports[name]}",
            f"--control-port={self.control_ports[name]}",
            f"--peers={','.join(f'{HOST}:{port}' for port in others)}",
            f"--announce-to={self._environment['SEDGESWITCH_CONTROL']}",
            f"--availability-zone={zone}",
            f"--labels=service={GROUP},cleaning={day}",
        ]
        return arguments + (["--primary"] if name == INSTANCES[0] else [])

    def _start(self, name, module, *arguments):
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                env=self._environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
