"""Decides which requests may reach which backend servers.

An instance may serve a request if at least one selector matches the request and
the instance has all labels of that selector, and if no drain matches the instance.
"""

import typing

from sedgeswitch.configuration import documents

Labels = typing.Mapping[str, str]


class Request(typing.NamedTuple):
    """The properties of a request that selectors match.

    Attributes
    ----------
    organisation : str or None
        None for a request without a key.
    work : str
        Kind of work.
    access : str
        ``read`` or ``write``.
    group : str
    """

    organisation: str | None
    work: str
    access: str
    group: str


def match_selectors(
    document: documents.Document,
    organisation: str | None,
    work: str,
    access: str,
    group: str,
) -> tuple[documents.Selector, ...]:
    """Return the selectors that match a request, in the order of their names.

    Parameters
    ----------
    document : documents.Document
    organisation : str or None
        None for a request without a key, which only open selectors match.
    work : str
        Kind of work.
    access : str
        ``read`` or ``write``.
    group : str

    Returns
    -------
    tuple of documents.Selector
        Empty if the request may not reach any backend server.
    """
    request = Request(organisation, work, access, group)
    return tuple(
        selector
        for _, selector in sorted(document.selectors.items())
        if _matches(selector, request)
    )


def is_eligible(selectors: typing.Iterable[documents.Selector], labels: Labels) -> bool:
    """Return whether `labels` include all labels of at least one selector.

    Examples
    --------
    >>> is_eligible([documents.Selector(labels={"tier": "draw"})], {"tier": "draw"})
    True
    """
    return any(has_labels(labels, selector.labels) for selector in selectors)


def is_drained(document: documents.Document, labels: Labels) -> bool:
    """Return whether a drain of the document matches an instance with `labels`."""
    return any(has_labels(labels, drain.labels) for drain in document.drains.values())


def merge_labels(
    document: documents.Document, instance: str, announced: Labels
) -> dict[str, str]:
    """Return the labels of an instance; those of operators override announced ones."""
    backend_server = document.backend_servers.get(instance)
    if backend_server is None:
        return dict(announced)
    return {**announced, **backend_server.labels}


def has_labels(labels: Labels, wanted: Labels) -> bool:
    """Return whether `labels` contain all `wanted` names with the same values."""
    return all(labels.get(name) == value for name, value in wanted.items())


def _matches(selector: documents.Selector, request: Request) -> bool:
    return (
        _allows_caller(selector, request.organisation)
        and _includes(selector.work, request.work)
        and request.access in selector.access
        and _includes(selector.groups, request.group)
    )


def _allows_caller(selector: documents.Selector, organisation: str | None) -> bool:
    if selector.open:
        return True
    return organisation is not None and _includes(selector.organisations, organisation)


def _includes(names: documents.Names, name: str) -> bool:
    return names == documents.ALL or name in names
