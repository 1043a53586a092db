"""The operations that lead from one configuration to a desired one.

A desired document may be partial.  A collection that it leaves out stays as it
is, so that applying a file cannot end a drain that the file knows nothing of.
Keys are given and withdrawn one by one and never vanish because a file lacks
them.
"""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import checks
from sedgeswitch.utils import records


class _ItemSteps(typing.NamedTuple):
    set_type: type
    remove_type: type


class FieldChange(typing.NamedTuple):
    """One field that two documents differ in.

    Attributes
    ----------
    path : str
    before : object
        None if the field is new.
    after : object
        None if the field goes.
    """

    path: str
    before: typing.Any
    after: typing.Any


_STEPS_BY_COLLECTION = {
    "groups": _ItemSteps(operations.SetGroup, operations.RemoveGroup),
    "selectors": _ItemSteps(operations.SetSelector, operations.RemoveSelector),
    "backend_servers": _ItemSteps(
        operations.SetBackendServer, operations.RemoveBackendServer
    ),
    "drains": _ItemSteps(operations.SetDrain, operations.RemoveDrain),
}
_OPERATIONS_FIELD = "operations"


def compute_operations(
    current: documents.Document, desired: typing.Any
) -> tuple[operations.Operation, ...]:
    """Return the operations that make the desired state of the current one.

    Parameters
    ----------
    current : documents.Document
    desired : object
        A plain document, whole or partial, or ``{"operations": [...]}``.

    Returns
    -------
    tuple of Operation
        Empty if nothing differs.

    Raises
    ------
    CheckError
        If the desired state is not allowed.
    """
    if isinstance(desired, dict) and set(desired) == {_OPERATIONS_FIELD}:
        return operations.build_operations(desired[_OPERATIONS_FIELD])
    target = records.build_record(documents.Document, desired)
    steps: list[operations.Operation] = []
    if "organisations" in desired:
        steps += _compare_organisations(current.organisations, target.organisations)
    for collection, item_steps in _STEPS_BY_COLLECTION.items():
        if collection in desired:
            before = getattr(current, collection)
            after = getattr(target, collection)
            steps += _compare_items(item_steps, before, after)
    if "overload" in desired and target.overload != current.overload:
        steps.append(operations.SetOverload(target.overload))
    operations.apply_operations(current, steps)
    return tuple(steps)


def list_field_changes(
    before: documents.Document, after: documents.Document
) -> tuple[FieldChange, ...]:
    """Return the fields that two documents differ in, sorted by path."""
    fields = _compare("", records.to_plain(before), records.to_plain(after))
    return tuple(sorted(fields, key=lambda field: field.path))


def _compare_items(
    steps: _ItemSteps, before: typing.Mapping, after: typing.Mapping
) -> typing.Iterator[operations.Operation]:
    for name, item in after.items():
        if before.get(name) != item:
            yield steps.set_type(name, item)
    for name in before:
        if name not in after:
            yield steps.remove_type(name)


def _compare_organisations(
    before: typing.Mapping[str, documents.Organisation],
    after: typing.Mapping[str, documents.Organisation],
) -> typing.Iterator[operations.Operation]:
    for name, organisation in after.items():
        former = before.get(name)
        if former is None or former[:2] != organisation[:2]:
            yield operations.SetOrganisation(name, *organisation[:2])
        former_keys = former.keys if former is not None else records.EMPTY_MAPPING
        yield from _compare_keys(name, former_keys, organisation.keys)
    for name in before:
        if name not in after:
            yield operations.RemoveOrganisation(name)


def _compare_keys(
    organisation: str,
    before: typing.Mapping[str, documents.Key],
    after: typing.Mapping[str, documents.Key],
) -> typing.Iterator[operations.Operation]:
    for key_id, key in after.items():
        former = before.get(key_id)
        if former is None:
            yield operations.SetKey(organisation, key_id, key.digest)
            former = documents.Key(key.digest)
        if former.digest != key.digest or (former.withdrawn and not key.withdrawn):
            field = f"organisations.{organisation}.keys.{key_id}"
            raise checks.CheckError(field, "the key in force or a new key id", key)
        if key.withdrawn and not former.withdrawn:
            yield operations.WithdrawKey(organisation, key_id)


def _compare(
    path: str, before: typing.Any, after: typing.Any
) -> typing.Iterator[FieldChange]:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield FieldChange(path, before, after)
        return
    for name in before.keys() | after.keys():
        item_path = f"{path}.{name}" if path else name
        yield from _compare(item_path, before.get(name), after.get(name))
