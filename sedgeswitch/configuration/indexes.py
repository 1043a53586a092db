"""Lookup tables for one version of the configuration document."""

import typing

from sedgeswitch.configuration import documents
from sedgeswitch.configuration import selectors
from sedgeswitch.keys import lookup

# Bounds the memory of each cache: callers choose the kind of work freely, so the
# number of different requests is unlimited.
MAX_CACHED_REQUESTS = 10_000


class _ServingDecision(typing.NamedTuple):
    """A cached result of `Index.may_serve` with the objects it was computed from."""

    matched: typing.Iterable[documents.Selector]
    announced: typing.Mapping[str, str]
    may_serve: bool


class Index:
    """Looks up keys, selectors and eligible instances in one document.

    Results are cached; build a new index for each version of the document.

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
        self._serving_decisions: dict[tuple[int, str], _ServingDecision] = {}

    def check_key(self, presented: str | None) -> lookup.KeyHolder | lookup.KeyProblem:
        """Return the holder of a presented key, or why the key is not accepted."""
        return lookup.check_key(self.keys, presented)

    def get_selectors(
        self, organisation: str | None, work: str, access: str, group: str
    ) -> tuple[documents.Selector, ...]:
        """Return the selectors that match a request, from the cache if possible.

        See `selectors.match_selectors` for the parameters.
        """
        request = selectors.Request(organisation, work, access, group)
        matched = self._selectors.get(request)
        if matched is None:
            matched = selectors.match_selectors(self.document, *request)
            if len(self._selectors) >= MAX_CACHED_REQUESTS:
                self._selectors.clear()
            self._selectors[request] = matched
        return matched

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
            Selectors of the request, as returned by `get_selectors`.
        instance : str
            Instance id.
        announced : mapping of str to str
            Labels that the instance announces about itself.
        """
        key = (id(matched), instance)
        cached = self._serving_decisions.get(key)
        # Python may reuse the id() of a deleted object. The cached decision holds
        # references to its objects, so that they can be compared by identity.
        if cached and cached.matched is matched and cached.announced is announced:
            return cached.may_serve
        labels = selectors.merge_labels(self.document, instance, announced)
        is_drained = selectors.is_drained(self.document, labels)
        may_serve = not is_drained and selectors.is_eligible(matched, labels)
        if len(self._serving_decisions) >= MAX_CACHED_REQUESTS:
            self._serving_decisions.clear()
        self._serving_decisions[key] = _ServingDecision(matched, announced, may_serve)
        return may_serve


def _list_keys(document: documents.Document) -> typing.Iterator[lookup.IndexedKey]:
    for name, organisation in document.organisations.items():
        for key_id, key in organisation.keys.items():
            yield lookup.IndexedKey(name, key_id, key.digest, key.withdrawn)
