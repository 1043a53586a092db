"""The operations that a change of the configuration is made of.

Each operation sets or removes one item of one collection.  Operations are
registered by name, which is how JSON tells them apart.
"""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

NAME_FIELD = "operation"


class Operation(typing.Protocol):
    """One step of a change."""

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""


_TYPE_BY_NAME: dict[str, type] = {}
_NAME_BY_TYPE: dict[type, str] = {}


def register_operation(name: str) -> typing.Callable[[type], type]:
    """Return a decorator that registers an operation under a name.

    Raises
    ------
    ValueError
        If the name is taken.
    """

    def register(operation_type: type) -> type:
        if name in _TYPE_BY_NAME:
            raise ValueError(f"operation {name} is registered already")
        _TYPE_BY_NAME[name] = operation_type
        _NAME_BY_TYPE[operation_type] = name
        return operation_type

    return register


def get_name(operation: Operation) -> str:
    """Return the name that the type of an operation is registered under."""
    return _NAME_BY_TYPE[type(operation)]


def build_operation(plain: typing.Any, field: str = "operations") -> Operation:
    """Return the operation that a plain JSON value describes.

    Raises
    ------
    CheckError
        If the operation is unknown or a field is not allowed.
    """
    if not isinstance(plain, dict):
        raise checks.CheckError(field, "an object", plain)
    name = plain.get(NAME_FIELD)
    if not isinstance(name, str):
        raise checks.CheckError(f"{field}.{NAME_FIELD}", "a name", name)
    checks.check_choice(f"{field}.{NAME_FIELD}", name, _TYPE_BY_NAME)
    fields = {key: value for key, value in plain.items() if key != NAME_FIELD}
    return records.build_record(_TYPE_BY_NAME[name], fields, field)


def build_operations(
    plain: typing.Any, field: str = "operations"
) -> tuple[Operation, ...]:
    """Return the operations that a plain list describes.

    Raises
    ------
    CheckError
        If it is no list, or as `build_operation` does.
    """
    if not isinstance(plain, list):
        raise checks.CheckError(field, "a list of operations", plain)
    return tuple(
        build_operation(item, f"{field}[{position}]")
        for position, item in enumerate(plain)
    )


def to_plain(operation: Operation) -> dict[str, typing.Any]:
    """Return an operation as a plain JSON value."""
    return {NAME_FIELD: get_name(operation), **records.to_plain(operation)}


def apply_operations(
    document: documents.Document, operations: typing.Iterable[Operation]
) -> documents.Document:
    """Return the document after all the operations.

    The parts are checked against each other only at the end, so operations may
    come in any order.

    Raises
    ------
    CheckError
        If an operation cannot be applied or the result is not allowed.
    """
    return documents.check_document(apply_unchecked(document, operations))


def apply_unchecked(
    document: documents.Document, operations: typing.Iterable[Operation]
) -> documents.Document:
    """Return the document after operations that were checked elsewhere.

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
    """Adds an organisation, or changes its rate and burst; its keys stay."""

    name: records.Name
    rate_per_s: documents.Rate
    burst: documents.Rate

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        plain = {"rate_per_s": self.rate_per_s, "burst": self.burst}
        field = f"organisations.{self.name}"
        organisation = records.build_record(documents.Organisation, plain, field)
        former = document.organisations.get(self.name)
        if former is not None:
            organisation = organisation._replace(keys=former.keys)
        return _set_item(document, "organisations", self.name, organisation)


@register_operation("remove_organisation")
class RemoveOrganisation(typing.NamedTuple):
    """Removes an organisation with its keys."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _remove_item(document, "organisations", self.name)


@register_operation("set_key")
class SetKey(typing.NamedTuple):
    """Gives an organisation a key; a key that exists is never replaced."""

    organisation: records.Name
    key_id: records.Name
    digest: documents.Digest

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        organisation = _get_organisation(document, self.organisation)
        if self.key_id in organisation.keys:
            field = f"organisations.{self.organisation}.keys"
            raise checks.CheckError(field, "a new key id", self.key_id)
        key = documents.Key(self.digest)
        return _set_key(document, self.organisation, self.key_id, key)


@register_operation("withdraw_key")
class WithdrawKey(typing.NamedTuple):
    """Withdraws a key for good; withdrawing it again changes nothing."""

    organisation: records.Name
    key_id: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
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
        """Return the document after this step."""
        return _set_item(document, "selectors", self.name, self.selector)


@register_operation("remove_selector")
class RemoveSelector(typing.NamedTuple):
    """Removes a selector."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _remove_item(document, "selectors", self.name)


@register_operation("set_group")
class SetGroup(typing.NamedTuple):
    """Adds or replaces a database group."""

    name: records.Name
    group: documents.Group

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _set_item(document, "groups", self.name, self.group)


@register_operation("remove_group")
class RemoveGroup(typing.NamedTuple):
    """Removes a database group that no selector names."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _remove_item(document, "groups", self.name)


@register_operation("set_backend_server")
class SetBackendServer(typing.NamedTuple):
    """Puts operators' labels on an instance, in place of earlier ones."""

    name: records.Name
    backend_server: documents.BackendServer

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _set_item(document, "backend_servers", self.name, self.backend_server)


@register_operation("remove_backend_server")
class RemoveBackendServer(typing.NamedTuple):
    """Takes the operators' labels off an instance."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _remove_item(document, "backend_servers", self.name)


@register_operation("set_drain")
class SetDrain(typing.NamedTuple):
    """Drains the backend servers that carry all the labels."""

    name: records.Name
    drain: documents.Drain

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _set_item(document, "drains", self.name, self.drain)


@register_operation("remove_drain")
class RemoveDrain(typing.NamedTuple):
    """Ends a drain."""

    name: records.Name

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return _remove_item(document, "drains", self.name)


@register_operation("set_overload")
class SetOverload(typing.NamedTuple):
    """Replaces the overload limits."""

    overload: documents.Overload

    def apply(self, document: documents.Document) -> documents.Document:
        """Return the document after this step."""
        return document._replace(overload=self.overload)
