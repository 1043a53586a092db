"""Look-up tables of one document, built once per version."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import selectors
from sedgeswitch.keys import lookup

# Bounds the memory that made-up kinds of work can take.
MAX_CACHED_REQUESTS = 10_000


class _Serving(typing.NamedTuple):
    """Whether an instance may serve, and what that was decided by."""

    matched: typing.Iterable[documents.Selector]
    announced: typing.Mapping[str, str]
    may_serve: bool


class Index:
    """Answers the questions of each request about one document.

    Parameters
    ----------
    document : documents.Document

    Attributes
    ----------
    document : documents.Document
    keys : mapping of str to lookup.IndexedKey
        By digest, for `lookup.check_key`.
    """

    def __init__(self, document: documents.Document):
        self.document = document
        self.keys = {key.digest: key for key in _list_keys(document)}
        self._selectors: dict[selectors.Request, tuple[documents.Selector, ...]] = {}
        self._serving: dict[tuple[int, str], _Serving] = {}

    def check_key(self, presented: str | None) -> lookup.KeyHolder | lookup.KeyProblem:
        """Return whom a presented key belongs to, or why it does not work."""
        return lookup.check_key(self.keys, presented)

    def get_selectors(
        self, organisation: str | None, work: str, access: str, group: str
    ) -> tuple[documents.Selector, ...]:
        """Return the selectors that match a request.

        See `selectors.match_selectors` for the parameters.
        """
        request = selectors.Request(organisation, work, access, group)
        found = self._selectors.get(request)
        if found is None:
            found = selectors.match_selectors(self.document, *request)
            if len(self._selectors) >= MAX_CACHED_REQUESTS:
                self._selectors.clear()
            self._selectors[request] = found
        return found

    def may_serve(
        self,
        matched: typing.Iterable[documents.Selector],
        instance: str,
        announced: typing.Mapping[str, str],
    ) -> bool:
        """Return whether an instance may serve a request.

        Parameters
        ----------
        matched : iterable of documents.Selector
            From `get_selectors`.
        instance : str
        announced : mapping of str to str
            Labels that the instance announces.
        """
        key = (id(matched), instance)
        known = self._serving.get(key)
        # The objects themselves are kept, so an id can't stand for another.
        if known and known.matched is matched and known.announced is announced:
            return known.may_serve
        labels = selectors.merge_labels(self.document, instance, announced)
        is_drained = selectors.is_drained(self.document, labels)
        may_serve = not is_drained and selectors.is_eligible(matched, labels)
        if len(self._serving) >= MAX_CACHED_REQUESTS:
            self._serving.clear()
        self._serving[key] = _Serving(matched, announced, may_serve)
        return may_serve


def _list_keys(document: documents.Document) -> typing.Iterator[lookup.IndexedKey]:
    for name, organisation in document.organisations.items():
        for key_id, key in organisation.keys.items():
            yield lookup.IndexedKey(name, key_id, key.digest, key.withdrawn)
