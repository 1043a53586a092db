"""Time and size of configuration operations, at the largest size designed for.

Usage: ``.venv/bin/python -m benchmarks.configuration_cost``

Changes, snapshots, heartbeat sections and look-ups run in this process on a
configuration of 310 groups, 500 organisations with 1,500 keys, and 1,000 selectors.
"""

import random
import time

from sedgeswitch.configuration import changes
from sedgeswitch.configuration import distributor as distributors
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import follower as followers
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import operations
from sedgeswitch.keys import key_format

GROUPS = 310
ORGANISATIONS = 500
KEYS_PER_ORGANISATION = 3
SELECTORS = 1_000
ROUNDS = 50
LOOKUPS = 100_000


def build_operations(rng):
    """Return the operations that build a large configuration, and one of its keys."""
    operation_list = []
    for number in range(GROUPS):
        operation_list.append(
            operations.SetGroup(f"g{number}", documents.Group("draw"))
        )
    for number in range(ORGANISATIONS):
        name = f"o{number}"
        operation_list.append(operations.SetOrganisation(name, 10.0, 20.0))
        for _ in range(KEYS_PER_ORGANISATION):
            key = key_format.generate_key(rng.randbytes)
            operation_list.append(operations.SetKey(name, key.key_id, key.digest))
    for number in range(SELECTORS):
        organisations = tuple({f"o{rng.randrange(ORGANISATIONS)}" for _ in range(4)})
        selector = documents.Selector(organisations, work=("lookup",))
        operation_list.append(operations.SetSelector(f"s{number}", selector))
    return tuple(operation_list), key


def measure(name, action, rounds):
    """Print the mean wall-clock time of an action."""
    start_s = time.perf_counter()
    for _ in range(rounds):
        action()
    mean_s = (time.perf_counter() - start_s) / rounds
    print(f"{name:<44} {mean_s * 1e6:12.1f} us")


def main():
    """Print the results."""
    operation_list, key = build_operations(random.Random(1))
    machine = machines.ConfigurationMachine()
    first_change = changes.Change(0, "first", "bench", operation_list)
    answer = changes.decode_answer(
        machine.apply(1, changes.encode_change(first_change))
    )
    print(answer)
    distributor = distributors.Distributor(machine)
    follower = followers.Follower()

    def change():
        name = f"r{machine.version}"
        operation = operations.SetOrganisation("o1", float(machine.version), 20.0)
        single_change = changes.Change(machine.version, name, "bench", (operation,))
        machine.apply(1, changes.encode_change(single_change))

    def exchange():
        report = follower.build_report(1.0)
        body = distributor.answer_report("e1", report, 1.0)
        follower.receive_answer(body, 1.0)
        return len(body)

    measure("full document to an entry host", exchange, 1)
    print(f"full document {len(documents.encode_document(machine.document))} bytes")
    measure("unchanged heartbeat section, both sides", exchange, 10_000)
    measure("one change on a control host", change, ROUNDS)
    measure(f"{ROUNDS} deltas to an entry host", exchange, 1)
    change()
    measure("one delta to an entry host", exchange, 1)
    change()
    print(f"one delta {exchange()} bytes, no change {exchange()} bytes")
    measure("snapshot saved", machine.save_snapshot, 5)
    body = machine.save_snapshot()
    print(f"snapshot {len(body)} bytes")
    measure("snapshot loaded", lambda: machine.load_snapshot(body), 5)
    index = follower.index
    measure("key checked", lambda: index.check_key(key.plain), LOOKUPS)
    request = ("o1", "lookup", "read", "g1")
    measure(
        "selectors of a known request", lambda: index.get_selectors(*request), LOOKUPS
    )


if __name__ == "__main__":
    main()
