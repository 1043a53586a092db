"""Fakes of a fleet whose control hosts run the real operators' API in memory."""

import json
import pathlib
import random
import shlex

import httptools
import trio
from cleo.io.outputs import buffered_output

from sedgeswitch import verdicts
from sedgeswitch.cli import __main__ as cli
from sedgeswitch.cli import client
from sedgeswitch.cli import environment as environments
from sedgeswitch.configuration import distributor as distributors
from sedgeswitch.configuration import follower as followers
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import operator_routes
from sedgeswitch.configuration import operators
from sedgeswitch.configuration.tests import builders as configuration_builders
from sedgeswitch.evacuations import machine as evacuations_machine
from sedgeswitch.evacuations import operations as evacuation_operations
from sedgeswitch.evacuations.tests import builders as evacuation_builders
from sedgeswitch.keys import key_format

ROOT = pathlib.Path(__file__).resolve().parents[3]
INSTANCES = ROOT / "examples" / "daura-lots" / "instances.json"
HOSTS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")
TOKEN = key_format.generate_key(random.Random(7).randbytes)


class FakeFleet:
    """Three control hosts, two entry hosts and the backend servers of an example."""

    def __init__(self):
        self.machine = machines.ConfigurationMachine()
        self.distributor = distributors.Distributor(self.machine)
        self.evacuations = evacuations_machine.EvacuationsMachine(lambda: self.now_s)
        self.followers = {"e1": followers.Follower(), "e2": followers.Follower()}
        self.instances = json.loads(INSTANCES.read_text())["instances"]
        self.leader = HOSTS[0]
        self.down = set()
        self.lost_answers = 0
        self.unknown_outcomes = 0
        self.races = 0
        self.polls_until_idle = 2
        self.now_s = 100.0
        self.requests = []

    def sleep(self, seconds):
        self.now_s += seconds
        self.polls_until_idle -= 1
        for host_id, follower in self.followers.items():
            report = follower.build_report(self.now_s)
            answer = self.distributor.answer_report(host_id, report, self.now_s)
            follower.receive_answer(answer, self.now_s)

    def connect(self, address, timeout_s):  # noqa: ARG002
        name = "{}:{}".format(*address)
        if name in self.down:
            raise ConnectionRefusedError("connection refused")
        return FakeConnection(self, name)

    def answer(self, name, request):
        self.requests.append(request)
        services = operators.Services(
            machine=self.machine,
            distributor=self.distributor,
            propose=self.propose,
            is_leader=lambda _: name == self.leader,
            get_leader_address=lambda: self.leader,
            list_entry_hosts=lambda _: tuple(self.followers),
            status_providers={
                "groups": self.list_groups,
                "control": lambda _: [{"host_id": "c1", "role": "leader", "term": 3}],
                "entry": lambda _: [{"host_id": name} for name in self.followers],
                "backend": self.list_backend,
            },
            move_primary=self.move_primary,
            replace_voter=self.replace_voter,
            evacuations=evacuation_operations.Operations(
                self.evacuations,
                evacuation_builders.FailingLog(self.evacuations),
                lambda: evacuation_builders.ZONES,
            ),
            operator_token_digest=TOKEN.digest,
        )
        return trio.run(operator_routes.handle, services, request, self.now_s)

    async def propose(self, body):
        if self.races:
            self.races -= 1
            base_version = self.machine.version
            change = configuration_builders.build_rate_change(
                base_version, f"race-{base_version}", 70.0, "lot-desk"
            )
            configuration_builders.apply_change(self.machine, change)
        answer = self.machine.apply(1, body)
        if self.unknown_outcomes:
            self.unknown_outcomes -= 1
            raise verdicts.build_may_have_run(503, "outcome_unknown", "no quorum")
        return answer

    def list_groups(self, now_s):  # noqa: ARG002
        groups = sorted(self.machine.document.groups)
        return [{"group": name, "primary": f"{name}-a", "term": 1} for name in groups]

    def list_backend(self, now_s):  # noqa: ARG002
        return [
            {
                "instance": item["instance"],
                "group": item["group"],
                "labels": item["labels"],
                "role": item["role"],
                "is_drained": bool(self.machine.document.drains),
                "in_use": max(0, self.polls_until_idle),
                "is_idle": self.polls_until_idle <= 0,
            }
            for item in self.instances
        ]

    async def move_primary(self, group, instance):
        if not instance.startswith(group):
            raise verdicts.build_not_run(
                422, "not_in_group", f"{instance} is not an instance of {group}"
            )

    async def replace_voter(self, old, new, address):
        pass


class FakeConnection:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.headers = {}
        self.body = b""
        self.url = b""
        self.unread = b""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    def settimeout(self, timeout_s):
        pass

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body):
        self.body += body

    def sendall(self, data):
        parser = httptools.HttpRequestParser(self)
        parser.feed_data(data)
        response = self.fleet.answer(
            self.name,
            operator_routes.OperatorRequest(
                parser.get_method().decode(),
                self.url.decode(),
                self.headers.get("authorization"),
                self.body,
            ),
        )
        if self.fleet.lost_answers and parser.get_method() == b"POST":
            self.fleet.lost_answers -= 1
            return
        head = f"HTTP/1.1 {response.status} -\r\nContent-Length: {len(response.body)}"
        self.unread = f"{head}\r\n\r\n".encode() + response.body

    def recv(self, size):
        data, self.unread = self.unread[:size], self.unread[size:]
        return data


class Session:
    """Runs the commands and events of a golden file on a fake fleet.

    A line ``$ COMMAND`` runs a command, ``! EVENT`` changes the state of the fleet
    or of the environment variables, and ``# TEXT`` is a comment.
    """

    def __init__(self):
        self.fleet = FakeFleet()
        self.variables = {
            "SEDGESWITCH_CONTROL": ",".join(HOSTS),
            "SEDGESWITCH_OPERATOR_TOKEN": TOKEN.plain,
            "USER": "asha",
        }
        self.random = random.Random(1)
        self.printed = ""

    def run_event(self, words):
        match words:
            case ["leader", name]:
                self.fleet.leader = name
            case ["down", *names]:
                self.fleet.down = set(names)
            case ["lose-answers", count]:
                self.fleet.lost_answers = int(count)
            case ["polls-until-idle", count]:
                self.fleet.polls_until_idle = int(count)
            case ["races", count]:
                self.fleet.races = int(count)
            case ["unset", name]:
                del self.variables[name]
            case _:
                raise ValueError(f"unknown event {words}")

    def run_command(self, words):
        environment = environments.Environment(
            self.variables,
            self.random.randbytes,
            lambda: self.fleet.now_s,
            self.fleet.sleep,
            self.fleet.connect,
        )
        output = buffered_output.BufferedOutput()
        errors = buffered_output.BufferedOutput()
        exit_code = cli.run(words, environment, output, errors)
        self.printed = output.fetch()
        text = key_format.redact(f"{self.printed}{errors.fetch()}")
        return f"{text}[exit {int(exit_code)}]\n"


def replay(text):
    """Return the text of a golden file with the current output of its commands."""
    session = Session()
    lines = []
    for line in text.splitlines():
        if line.startswith(("# ", "! ", "$ ")):
            lines.append(f"{line}\n")
        if line.startswith("! "):
            session.run_event(shlex.split(line[2:]))
        if line.startswith("$ "):
            lines.append(session.run_command(shlex.split(line[2:])[1:]))
    return "".join(lines)


def build_client(fleet, timeout_s=2.0):
    environment = environments.Environment(
        {}, random.Random(1).randbytes, lambda: fleet.now_s, fleet.sleep, fleet.connect
    )
    addresses = [client.build_address(name) for name in HOSTS]
    return client.ControlClient(addresses, TOKEN.plain, timeout_s, environment)
