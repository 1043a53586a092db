"""The check of a presented key against the keys of the configuration.

Each request is checked, not each connection, so that a changed configuration also
applies to connections that are already open.
"""

import enum
import hmac
import typing

from sedgeswitch.keys import key_format

_BEARER = "bearer "


class IndexedKey(typing.NamedTuple):
    """A key of the configuration, as stored in the index by digest.

    Attributes
    ----------
    organisation : str
    key_id : str
    digest : str
    withdrawn : bool
    """

    organisation: str
    key_id: str
    digest: str
    withdrawn: bool


class KeyHolder(typing.NamedTuple):
    """The organisation and id of an accepted key.

    Attributes
    ----------
    organisation : str
    key_id : str
    """

    organisation: str
    key_id: str


class KeyProblem(enum.Enum):
    """Why a presented key is rejected."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


KeyIndex = typing.Mapping[str, IndexedKey]


def get_bearer(authorization: str | None) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header; None if it has none."""
    if authorization is None or not authorization.lower().startswith(_BEARER):
        return None
    return authorization[len(_BEARER) :].strip() or None


def check_key(index: KeyIndex, presented: str | None) -> KeyHolder | KeyProblem:
    """Return the holder of a presented key, or why the key is rejected.

    Parameters
    ----------
    index : mapping of str to IndexedKey
        Keys by digest; see `sedgeswitch.configuration.indexes`.
    presented : str or None

    Returns
    -------
    KeyHolder or KeyProblem
    """
    if not presented:
        return KeyProblem.MISSING
    if not key_format.is_well_formed(presented):
        return KeyProblem.MALFORMED
    digest = key_format.get_digest(presented)
    indexed = index.get(digest)
    # The key is looked up by its digest, so that the timing reveals nothing about it.
    if indexed is None or not hmac.compare_digest(indexed.digest, digest):
        return KeyProblem.UNKNOWN
    if indexed.withdrawn:
        return KeyProblem.WITHDRAWN
    return KeyHolder(indexed.organisation, indexed.key_id)


def is_operator(digest: str | None, authorization: str | None) -> bool:
    """Return whether a header carries the operators' token or none is required.

    Parameters
    ----------
    digest : str or None
        SHA-256 digest of the token; None if no token is required.
    authorization : str or None
        Value of the ``Authorization`` header.
    """
    if digest is None:
        return True
    presented = get_bearer(authorization)
    if presented is None:
        return False
    return hmac.compare_digest(key_format.get_digest(presented), digest)
