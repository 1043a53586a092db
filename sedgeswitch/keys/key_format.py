"""Generation, digest and redaction of keys.

A key is the prefix ``ssk_``, 43 characters of base64url that hold 256 random bits, and
a CRC-32 checksum of 8 hexadecimal digits.  People and programs recognise a key by the
prefix; the checksum distinguishes a mistyped key from a well-formed key that was never
issued.
"""

import base64
import hashlib
import re
import typing
import zlib

PREFIX = "ssk_"
SECRET_BYTES = 32
REDACTED = "[redacted]"

_SECRET_LENGTH = 43
_CHECKSUM_LENGTH = 8
_KEY_ID_LENGTH = 12
# Also matches mistyped keys, truncated keys and bearer tokens of other kinds.
_REDACT_PATTERN = re.compile(
    r"ssk_[A-Za-z0-9_-]+|(?P<scheme>\bbearer(?:\s|%20|\+)+)[^\s\"',;]+", re.IGNORECASE
)


class GeneratedKey(typing.NamedTuple):
    """A new key.

    Attributes
    ----------
    plain : str
        The key itself, in plain text; it is shown once and stored nowhere.
    key_id : str
        Name of the key for operators: ``k-`` and the start of its digest.
    digest : str
        SHA-256 digest of the key, which the configuration stores.
    """

    plain: str
    key_id: str
    digest: str


def generate_key(get_random_bytes: typing.Callable[[int], bytes]) -> GeneratedKey:
    """Return a new random key.

    Parameters
    ----------
    get_random_bytes : callable
        Returns as many random bytes as its argument says; `os.urandom` outside
        tests.

    Returns
    -------
    GeneratedKey
    """
    secret = base64.urlsafe_b64encode(get_random_bytes(SECRET_BYTES)).rstrip(b"=")
    body = PREFIX + secret.decode()
    plain = body + _get_checksum(body)
    digest = get_digest(plain)
    return GeneratedKey(plain, f"k-{digest[:_KEY_ID_LENGTH]}", digest)


def get_digest(plain: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal.

    Notes
    -----
    A slow password hash is needed for secrets that people choose.  A key holds 256
    random bits, which cannot be found by trying even with a fast hash, and the hash is
    computed for each request.
    """
    return hashlib.sha256(plain.encode()).hexdigest()


def is_well_formed(plain: str) -> bool:
    """Return whether a text has the length, the prefix and the checksum of a key."""
    if len(plain) != len(PREFIX) + _SECRET_LENGTH + _CHECKSUM_LENGTH:
        return False
    body, checksum = plain[:-_CHECKSUM_LENGTH], plain[-_CHECKSUM_LENGTH:]
    return (
        body.startswith(PREFIX) and plain.isascii() and checksum == _get_checksum(body)
    )


def redact(text: str) -> str:
    """Return `text` with ``[redacted]`` in place of keys and bearer tokens.

    A key that does not follow the word ``Bearer`` keeps its prefix.

    Examples
    --------
    >>> redact("Authorization: Bearer ssk_abc, GET /")
    'Authorization: Bearer [redacted], GET /'
    """
    return _REDACT_PATTERN.sub(_replace, text)


def _replace(match: re.Match) -> str:
    return (match.group("scheme") or PREFIX) + REDACTED


def _get_checksum(body: str) -> str:
    return f"{zlib.crc32(body.encode()):08x}"
