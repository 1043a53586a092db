"""Computes the operations that turn one configuration into a desired one.

A desired document may be partial. A collection that it does not contain stays
unchanged, so that applying a file cannot end a drain that the file does not
mention. Keys are added and withdrawn one by one; a key that is missing in the
desired document stays.
"""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import operations
from sedgeswitch.utils import checks
from sedgeswitch.utils import records


class _ItemOperations(typing.NamedTuple):
    """The operation types that set and remove one item of a collection."""

    set_type: type
    remove_type: type


class FieldChange(typing.NamedTuple):
    """A field that differs between two documents.

    Attributes
    ----------
    path : str
        Names of the enclosing fields and of the field, separated by dots.
    before : object
        None if the field is added.
    after : object
        None if the field is removed.
    """

    path: str
    before: typing.Any
    after: typing.Any


_OPERATIONS_BY_COLLECTION = {
    "groups": _ItemOperations(operations.SetGroup, operations.RemoveGroup),
    "selectors": _ItemOperations(operations.SetSelector, operations.RemoveSelector),
    "backend_servers": _ItemOperations(
        operations.SetBackendServer, operations.RemoveBackendServer
    ),
    "drains": _ItemOperations(operations.SetDrain, operations.RemoveDrain),
}
_OPERATIONS_FIELD = "operations"


def compute_operations(
    current: documents.Document, desired: typing.Any
) -> tuple[operations.Operation, ...]:
    """Return the operations that turn the current document into the desired one.

    Parameters
    ----------
    current : documents.Document
    desired : object
        Decoded JSON: a complete or partial document, or
        ``{"operations": [...]}``.

    Returns
    -------
    tuple of Operation
        Empty if there is no difference.

    Raises
    ------
    CheckError
        If the desired document or the resulting configuration is invalid.
    """
    if isinstance(desired, dict) and set(desired) == {_OPERATIONS_FIELD}:
        return operations.build_operations(desired[_OPERATIONS_FIELD])
    target = records.build_record(documents.Document, desired)
    steps: list[operations.Operation] = []
    if "organisations" in desired:
        steps += _compare_organisations(current.organisations, target.organisations)
    for collection, item_operations in _OPERATIONS_BY_COLLECTION.items():
        if collection in desired:
            before = getattr(current, collection)
            after = getattr(target, collection)
            steps += _compare_items(item_operations, before, after)
    if "overload" in desired and target.overload != current.overload:
        steps.append(operations.SetOverload(target.overload))
    # Raises an error if the result would be invalid.
    operations.apply_operations(current, steps)
    return tuple(steps)


def list_field_changes(
    before: documents.Document, after: documents.Document
) -> tuple[FieldChange, ...]:
    """Return the fields that differ between two documents, sorted by path."""
    fields = _compare("", records.to_plain(before), records.to_plain(after))
    return tuple(sorted(fields, key=lambda field: field.path))


def _compare_items(
    item_operations: _ItemOperations, before: typing.Mapping, after: typing.Mapping
) -> typing.Iterator[operations.Operation]:
    for name, item in after.items():
        if before.get(name) != item:
            yield item_operations.set_type(name, item)
    for name in before:
        if name not in after:
            yield item_operations.remove_type(name)


def _compare_organisations(
    before: typing.Mapping[str, documents.Organisation],
    after: typing.Mapping[str, documents.Organisation],
) -> typing.Iterator[operations.Operation]:
    for name, organisation in after.items():
        previous = before.get(name)
        if previous is None or previous[:2] != organisation[:2]:
            yield operations.SetOrganisation(name, *organisation[:2])
        previous_keys = previous.keys if previous is not None else records.EMPTY_MAPPING
        yield from _compare_keys(name, previous_keys, organisation.keys)
    for name in before:
        if name not in after:
            yield operations.RemoveOrganisation(name)


def _compare_keys(
    organisation: str,
    before: typing.Mapping[str, documents.Key],
    after: typing.Mapping[str, documents.Key],
) -> typing.Iterator[operations.Operation]:
    for key_id, key in after.items():
        previous = before.get(key_id)
        if previous is None:
            yield operations.SetKey(organisation, key_id, key.digest)
            previous = documents.Key(key.digest)
        if previous.digest != key.digest or (previous.withdrawn and not key.withdrawn):
            field = f"organisations.{organisation}.keys.{key_id}"
            raise checks.CheckError(
                field, "the digest and state of the existing key, or a new key id", key
            )
        if key.withdrawn and not previous.withdrawn:
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
