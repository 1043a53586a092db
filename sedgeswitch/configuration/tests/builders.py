"""Test data for the tests of the configuration."""

from sedgeswitch.configuration import changes
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations


def build_document(**parts):
    plain = {
        "organisations": {
            "ward-4": {"rate_per_s": 10, "burst": 20},
            "ward-5": {"rate_per_s": 10, "burst": 20},
        },
        "groups": {"draw-1": {"database": "draw"}},
        "selectors": {
            "desk": {"organisations": ["ward-4"], "groups": ["draw-1"]},
        },
    }
    return documents.build_document({**plain, **parts})


def build_change(base_version, request_id, *steps):
    return changes.Change(base_version, request_id, "asha", steps)


def build_rate_change(base_version, request_id, rate_per_s=10.0, name="ward-4"):
    step = operations.SetOrganisation(name, rate_per_s, 20.0)
    return build_change(base_version, request_id, step)


def apply_change(machine, change):
    return changes.decode_answer(machine.apply(1, changes.encode_change(change)))


def apply_rates(machine, count):
    """Apply `count` changes of an organisation's rate and return the last answer."""
    answer = None
    for _ in range(count):
        base_version = machine.version
        change = build_rate_change(
            base_version, f"rate-{base_version}", base_version + 1
        )
        answer = apply_change(machine, change)
    return answer
