"""The check of a presented key against the keys in force.

It is made for every request, also on a connection that was open before the
configuration changed.
"""

import enum
import hmac
import typing

from sedgeswitch.keys import key_format

_BEARER = "bearer "


class IndexedKey(typing.NamedTuple):
    """A key of the configuration, as the index by digest holds it.

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
    """Whom a good key belongs to.

    Attributes
    ----------
    organisation : str
    key_id : str
    """

    organisation: str
    key_id: str


class KeyProblem(enum.Enum):
    """Why a presented key does not work."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


KeyIndex = typing.Mapping[str, IndexedKey]


def get_bearer(authorization: str | None) -> str | None:
    """Return the key of an ``Authorization: Bearer`` header, if it has one."""
    if authorization is None or not authorization.lower().startswith(_BEARER):
        return None
    return authorization[len(_BEARER) :].strip() or None


def check_key(index: KeyIndex, presented: str | None) -> KeyHolder | KeyProblem:
    """Return whom a presented key belongs to, or why it does not work.

    Parameters
    ----------
    index : mapping of str to IndexedKey
        By digest; see `sedgeswitch.configuration.indexes`.
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
    # The look-up goes by digest, whose timing tells nothing about the key.
    if indexed is None or not hmac.compare_digest(indexed.digest, digest):
        return KeyProblem.UNKNOWN
    if indexed.withdrawn:
        return KeyProblem.WITHDRAWN
    return KeyHolder(indexed.organisation, indexed.key_id)


def is_operator(digest: str | None, authorization: str | None) -> bool:
    """Return whether a header carries the operators' token.

    Parameters
    ----------
    digest : str or None
        SHA-256 digest of the token; None where no token is asked for.
    authorization : str or None
    """
    if digest is None:
        return True
    presented = get_bearer(authorization)
    if presented is None:
        return False
    return hmac.compare_digest(key_format.get_digest(presented), digest)
