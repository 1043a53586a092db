"""The operations that a change of the configuration consists of.

Each operation sets or removes one item of a collection. Operation types are
registered by name; in JSON the field `operation` holds that name.
"""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

# JSON field that holds the name of the operation type.
NAME_FIELD = "operation"


class Operation(typing.Protocol):
    """One operation of a change."""

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""


_TYPE_BY_NAME: dict[str, type] = {}
_NAME_BY_TYPE: dict[type, str] = {}


def register_operation(name: str) -> typing.Callable[[type], type]:
    """Return a decorator that registers an operation type under a name.

    Raises
    ------
    ValueError
        If the name is already registered.
    """

    def register(operation_type: type) -> type:
        if name in _TYPE_BY_NAME:
            raise ValueError(f"operation {name} is already registered")
        _TYPE_BY_NAME[name] = operation_type
        _NAME_BY_TYPE[operation_type] = name
        return operation_type

    return register


def get_name(operation: Operation) -> str:
    """Return the name under which the type of an operation is registered."""
    return _NAME_BY_TYPE[type(operation)]


def build_operation(plain: typing.Any, field: str = "operations") -> Operation:
    """Return the operation that a decoded JSON value describes.

    Parameters
    ----------
    plain : object
    field : str
        Path of the value, for error messages.

    Raises
    ------
    CheckError
        If the operation is unknown, or a field is unknown, missing or invalid.
    """
    if not isinstance(plain, dict):
        raise checks.CheckError(field, "an object", plain)
    name = plain.get(NAME_FIELD)
    if not isinstance(name, str):
        raise checks.CheckError(
            f"{field}.{NAME_FIELD}", "the name of an operation", name
        )
    checks.check_choice(f"{field}.{NAME_FIELD}", name, _TYPE_BY_NAME)
    fields = {key: value for key, value in plain.items() if key != NAME_FIELD}
    return records.build_record(_TYPE_BY_NAME[name], fields, field)


def build_operations(
    plain: typing.Any, field: str = "operations"
) -> tuple[Operation, ...]:
    """Return the operations that a decoded JSON list describes.

    Parameters
    ----------
    plain : object
    field : str
        Path of the list, for error messages.

    Raises
    ------
    CheckError
        If `plain` is not a list, or as `build_operation` does.
    """
    if not isinstance(plain, list):
        raise checks.CheckError(field, "a list of operations", plain)
    return tuple(
        build_operation(item, f"{field}[{position}]")
        for position, item in enumerate(plain)
    )


def to_plain(operation: Operation) -> dict[str, typing.Any]:
    """Return an operation as a dictionary that can be encoded as JSON."""
    return {NAME_FIELD: get_name(operation), **records.to_plain(operation)}


def apply_operations(
    document: documents.Document, operations: typing.Iterable[Operation]
) -> documents.Document:
    """Return the document with all operations applied, in order.

    References between items are checked only after the last operation, so that an
    item may be set before the item that it refers to.

    Raises
    ------
    CheckError
        If an operation cannot be applied or the result is invalid. Control hosts
        store the text of the error with the answer; see `documents.check_document`.
    """
    return documents.check_document(apply_unchecked(document, operations))


def apply_unchecked(
    document: documents.Document, operations: typing.Iterable[Operation]
) -> documents.Document:
    """Apply operations without checking the result, for already checked changes.

    Raises
    ------
    CheckError
        If an operation cannot be applied.
    """
    for operation in operations:
        document = operation.apply(document)
    return document


def _set_item(
    document: documents.Document, collection: str, name: str, item: typing.Any
) -> documents.Document:
    items = {**getattr(document, collection), name: item}
    return document._replace(**{collection: items})


def _remove_item(
    document: documents.Document, collection: str, name: str
) -> documents.Document:
    items = dict(getattr(document, collection))
    if name not in items:
        raise checks.CheckError(collection, "the name of an item in force", name)
    del items[name]
    return document._replace(**{collection: items})


def _get_organisation(
    document: documents.Document, name: str
) -> documents.Organisation:
    organisation = document.organisations.get(name)
    if organisation is None:
        allowed = "the name of an organisation in force"
        raise checks.CheckError("organisations", allowed, name)
    return organisation


def _set_key(
    document: documents.Document, organisation_id: str, key_id: str, key: documents.Key
) -> documents.Document:
    organisation = _get_organisation(document, organisation_id)
    keys = {**organisation.keys, key_id: key}
    organisation = organisation._replace(keys=keys)
    return _set_item(document, "organisations", organisation_id, organisation)


@register_operation("set_organisation")
class SetOrganisation(typing.NamedTuple):
    """Adds an organisation, or changes the rate and burst of one but not its keys."""

    name: records.Name
    rate_per_s: documents.Rate
    burst: documents.Rate

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        plain = {"rate_per_s": self.rate_per_s, "burst": self.burst}
        field = f"organisations.{self.name}"
        organisation = records.build_record(documents.Organisation, plain, field)
        previous = document.organisations.get(self.name)
        if previous is not None:
            organisation = organisation._replace(keys=previous.keys)
        return _set_item(document, "organisations", self.name, organisation)


@register_operation("remove_organisation")
class RemoveOrganisation(typing.NamedTuple):
    """Removes an organisation and its keys."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _remove_item(document, "organisations", self.name)


@register_operation("set_key")
class SetKey(typing.NamedTuple):
    """Adds a key to an organisation; an existing key cannot be replaced."""

    organisation: records.Name
    key_id: records.Name
    digest: documents.Digest

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        organisation = _get_organisation(document, self.organisation)
        if self.key_id in organisation.keys:
            field = f"organisations.{self.organisation}.keys"
            raise checks.CheckError(field, "a new key id", self.key_id)
        key = documents.Key(self.digest)
        return _set_key(document, self.organisation, self.key_id, key)


@register_operation("withdraw_key")
class WithdrawKey(typing.NamedTuple):
    """Revokes a key permanently; idempotent."""

    organisation: records.Name
    key_id: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        organisation = _get_organisation(document, self.organisation)
        key = organisation.keys.get(self.key_id)
        if key is None:
            field = f"organisations.{self.organisation}.keys"
            raise checks.CheckError(field, "a key id in force", self.key_id)
        key = key._replace(withdrawn=True)
        return _set_key(document, self.organisation, self.key_id, key)


@register_operation("set_selector")
class SetSelector(typing.NamedTuple):
    """Adds or replaces a selector."""

    name: records.Name
    selector: documents.Selector

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _set_item(document, "selectors", self.name, self.selector)


@register_operation("remove_selector")
class RemoveSelector(typing.NamedTuple):
    """Removes a selector."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _remove_item(document, "selectors", self.name)


@register_operation("set_group")
class SetGroup(typing.NamedTuple):
    """Adds or replaces a database group."""

    name: records.Name
    group: documents.Group

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _set_item(document, "groups", self.name, self.group)


@register_operation("remove_group")
class RemoveGroup(typing.NamedTuple):
    """Removes a database group; an error if a selector still names it."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _remove_item(document, "groups", self.name)


@register_operation("set_backend_server")
class SetBackendServer(typing.NamedTuple):
    """Replaces the labels that operators have assigned to an instance."""

    name: records.Name
    backend_server: documents.BackendServer

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _set_item(document, "backend_servers", self.name, self.backend_server)


@register_operation("remove_backend_server")
class RemoveBackendServer(typing.NamedTuple):
    """Removes the labels that operators have assigned to an instance."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _remove_item(document, "backend_servers", self.name)


@register_operation("set_drain")
class SetDrain(typing.NamedTuple):
    """Drains the backend servers that have all labels of the drain."""

    name: records.Name
    drain: documents.Drain

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _set_item(document, "drains", self.name, self.drain)


@register_operation("remove_drain")
class RemoveDrain(typing.NamedTuple):
    """Ends a drain."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return _remove_item(document, "drains", self.name)


@register_operation("set_overload")
class SetOverload(typing.NamedTuple):
    """Replaces the overload limits."""

    overload: documents.Overload

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document with this operation applied."""
        return document._replace(overload=self.overload)
