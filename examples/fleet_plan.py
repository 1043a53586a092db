"""Prepare the files and command lines of an example fleet for the shell scripts.

    python examples/fleet_plan.py processes daura-lots run/daura-lots
    python examples/fleet_plan.py organisations daura-lots run/daura-lots

``processes`` writes the settings of each daemon and the configuration to the
folder, and prints a line ``NAME MODULE ARGUMENT...`` for each process.
``organisations`` writes ``organisations.json`` for the load tool from the keys in
``keys/``.
"""

import argparse
import json
import pathlib
import typing

import msgspec

from sedgeswitch import settings as daemon_settings
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import indexes
from standin.load import _mix

EXAMPLES = pathlib.Path(__file__).resolve().parent
PEER_PORT_OFFSET = 20
CONTROL_PORT_OFFSET = 40


class Instance(typing.TypedDict):
    """A stand-in instance, an element of ``instances.json``."""

    instance: str
    group: str
    host: str
    port: int
    availability_zone: str
    region: str
    role: str
    labels: dict[str, str]


class Instances(typing.TypedDict):
    """The content of ``instances.json``."""

    slots: int
    max_connections: int
    connect_delay_ms: float
    instances: list[Instance]


class Plan(typing.NamedTuple):
    """Example to run, its folder and the differences from the example.

    Attributes
    ----------
    deployment : pathlib.Path
        Folder of the example.
    folder : pathlib.Path
        Folder for settings, data, keys and logs of the fleet.
    port_offset : int
        Added to each port of the example.
    settings_overrides : dict
        Settings that replace those of the example.
    instance_options : list of str
        Further arguments of each stand-in instance.
    """

    deployment: pathlib.Path
    folder: pathlib.Path
    port_offset: int = 0
    settings_overrides: dict[str, typing.Any] = {}
    instance_options: list[str] = []


def load_instances(plan: Plan) -> Instances:
    """Return the instances of a deployment, with the offset added to their ports."""
    body = (plan.deployment / "instances.json").read_bytes()
    instances = msgspec.json.decode(body, type=Instances)
    for item in instances["instances"]:
        item["port"] += plan.port_offset
    return instances


def save_settings(plan: Plan) -> list[daemon_settings.Settings]:
    """Write the settings of each daemon under the folder and return them."""
    folder = plan.folder / "settings"
    folder.mkdir(parents=True, exist_ok=True)
    saved = []
    for path in sorted(plan.deployment.glob("settings/*.json")):
        document = json.loads(path.read_text())
        _add_port_offset(document, plan.port_offset)
        document["data_folder"] = str(plan.folder / path.stem)
        document.update(plan.settings_overrides)
        target = folder / path.name
        target.write_text(json.dumps(document, indent=2) + "\n")
        saved.append(daemon_settings.load_settings(target))
    return saved


def save_configuration(plan: Plan) -> None:
    """Write the configuration of the example with a selector for the load tool.

    The selector allows the load tool to create its tables and to read the final state
    on the primaries.
    """
    body = (plan.deployment / "configuration.json").read_bytes()
    document = json.loads(body)
    mix = _mix.load_mix(plan.deployment / "mix.json")
    labels = [item["labels"].items() for item in load_instances(plan)["instances"]]
    document["selectors"]["load-tool"] = {
        "organisations": "*",
        "work": [mix.schema_work, mix.audit_work],
        "access": ["write"],
        "labels": dict(labels[0] & set.intersection(*map(set, labels))),
    }
    target = plan.folder / "configuration.json"
    target.write_text(json.dumps(document, indent=2) + "\n")


def _add_port_offset(document: dict[str, typing.Any], offset: int) -> None:
    addresses = [document["callers"], document["peers"], *document["control_hosts"]]
    for address in addresses:
        address["port"] += offset
    for host in document["control_hosts"]:
        host["http_port"] += offset


def build_processes(plan: Plan) -> list[str]:
    """Return a line ``NAME MODULE ARGUMENT...`` for each process."""
    hosts = save_settings(plan)
    lines = [_build_daemon(plan, host) for host in hosts]
    announce_to = ",".join(f"{host.callers.host}:{host.callers.port}" for host in hosts)
    instances = load_instances(plan)
    for item in instances["instances"]:
        arguments = [
            *_build_instance(plan, instances, item),
            f"--announce-to={announce_to}",
            *plan.instance_options,
        ]
        lines.append(f"{item['instance']} standin.instance {' '.join(arguments)}")
    return lines


def _build_daemon(plan: Plan, host: daemon_settings.Settings) -> str:
    path = plan.folder / "settings" / f"{host.host_id}.json"
    return f"{host.host_id} sedgeswitch.daemon --settings={path}"


def _build_instance(plan: Plan, instances: Instances, item: Instance) -> list[str]:
    peers = [
        f"{other['host']}:{other['port'] + PEER_PORT_OFFSET}"
        for other in instances["instances"]
        if other["group"] == item["group"] and other is not item
    ]
    labels = ",".join(f"{name}={value}" for name, value in item["labels"].items())
    arguments = [
        f"--instance={item['instance']}",
        f"--group={item['group']}",
        f"--data-folder={plan.folder / item['instance']}",
        f"--host={item['host']}",
        f"--port={item['port']}",
        f"--peer-port={item['port'] + PEER_PORT_OFFSET}",
        f"--control-port={item['port'] + CONTROL_PORT_OFFSET}",
        f"--peers={','.join(peers)}",
        f"--availability-zone={item['availability_zone']}",
        f"--labels={labels}",
        f"--slots={instances['slots']}",
        f"--max-connections={instances['max_connections']}",
        f"--connect-delay-ms={instances['connect_delay_ms']}",
    ]
    if item["role"] == "primary":
        arguments.append("--primary")
    return arguments


def save_organisations(plan: Plan, busy: str = "", busy_factor: float = 1.0) -> None:
    """Write the organisations, with their keys and limits, for the load tool.

    Parameters
    ----------
    plan : Plan
    busy : str
        Organisation that sends more than the others; empty for none.
    busy_factor : float
        Its demand in relation to its rate, as a multiple of that of the others.
    """
    document = documents.decode_document(
        (plan.deployment / "configuration.json").read_bytes()
    )
    mix = _mix.load_mix(plan.deployment / "mix.json")
    index = indexes.Index(document)
    organisations = []
    for name, limits in sorted(document.organisations.items()):
        works, groups = _find_work(index, mix, name)
        if not works:
            continue
        key = json.loads((plan.folder / "keys" / f"{name}.json").read_text())["key"]
        share = limits.rate_per_s * (busy_factor if name == busy else 1)
        organisations.append(
            _mix.Organisation(
                name, key, groups, limits.rate_per_s, limits.burst, share, works
            )
        )
    path = plan.folder / "keys" / "organisations.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(organisations), indent=2))


def _find_work(
    index: indexes.Index, mix: _mix.Mix, organisation: str
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the works an organisation may do, and the groups that allow them all."""
    allowed = {
        (work.name, group): all(
            index.get_selectors(organisation, work.name, other.access.value, group)
            for other in mix.works
            if other.name == work.name
        )
        for work in mix.works
        for group in index.document.groups
    }
    works = sorted({name for (name, _), is_allowed in allowed.items() if is_allowed})
    groups = [
        group
        for group in sorted(index.document.groups)
        if all(allowed[name, group] for name in works)
    ]
    return tuple(works), tuple(groups)


def main() -> None:
    """Run the step named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("step", choices=("processes", "organisations"))
    parser.add_argument("deployment")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--port-offset", type=int, default=0)
    parser.add_argument("--settings", type=json.loads, default={})
    parser.add_argument("--instance-options", default="")
    parser.add_argument("--busy", default="")
    parser.add_argument("--busy-factor", type=float, default=1.0)
    arguments = parser.parse_args()
    plan = Plan(
        EXAMPLES / arguments.deployment,
        arguments.folder,
        arguments.port_offset,
        arguments.settings,
        arguments.instance_options.split(),
    )
    if arguments.step == "processes":
        save_configuration(plan)
        print("\n".join(build_processes(plan)))
    else:
        save_organisations(plan, arguments.busy, arguments.busy_factor)


if __name__ == "__main__":
    main()
