"""Which requests may reach which backend servers.

An instance may serve a request if some selector matches the request and all
labels of that selector are on the instance, and no drain matches the instance.
"""

import typing

from sedgeswitch.configuration import documents

Labels = typing.Mapping[str, str]


class Request(typing.NamedTuple):
    """What selectors look at in a request.

    Attributes
    ----------
    organisation : str or None
        None for a request without a key.
    work : str
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
    """Return the selectors that match a request.

    Parameters
    ----------
    document : documents.Document
    organisation : str or None
        None for a request without a key, which only open selectors match.
    work : str
    access : str
        ``read`` or ``write``.
    group : str

    Returns
    -------
    tuple of documents.Selector
        Empty if the request may reach no backend server.
    """
    request = Request(organisation, work, access, group)
    return tuple(
        selector
        for _, selector in sorted(document.selectors.items())
        if _matches(selector, request)
    )


def is_eligible(selectors: typing.Iterable[documents.Selector], labels: Labels) -> bool:
    """Return whether an instance with these labels may serve by some selector.

    Examples
    --------
    >>> is_eligible([documents.Selector(labels={"tier": "draw"})], {"tier": "draw"})
    True
    """
    return any(has_labels(labels, selector.labels) for selector in selectors)


def is_drained(document: documents.Document, labels: Labels) -> bool:
    """Return whether some drain matches an instance with these labels."""
    return any(has_labels(labels, drain.labels) for drain in document.drains.values())


def merge_labels(
    document: documents.Document, instance: str, announced: Labels
) -> dict[str, str]:
    """Return the labels of an instance, those of operators over announced ones."""
    backend_server = document.backend_servers.get(instance)
    if backend_server is None:
        return dict(announced)
    return {**announced, **backend_server.labels}


def has_labels(labels: Labels, wanted: Labels) -> bool:
    """Return whether all `wanted` labels are among `labels`."""
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
