"""Fingerprints, by which repeats of a request are recognised."""

from collections import abc
import hashlib
import re
import string

_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 4
_LOGGED_BYTES = 4
_ESCAPE = re.compile("%[0-9A-Fa-f]{2}")
# RFC 3986, section 2.3.
_UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")


def fingerprint_of(parts: abc.Iterable[str], body_digest: bytes) -> bytes:
    """Return a digest that identifies a request if its caller repeats it.

    Args:
        parts: What a repeat has in common with the request. A caller with a
            name of its own is one of them, so that no request is refused
            because of another caller's.
        body_digest: Digest of the body.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(data)
    digest.update(body_digest)
    return digest.digest()


def normalize_path(path: str) -> str:
    """Return a path with query in the one form of all equivalent escapes.

    Targets see no difference between them (RFC 3986, section 6.2.2).
    """
    return _ESCAPE.sub(_normalize_escape, path)


def _normalize_escape(match: re.Match[str]) -> str:
    character = chr(int(match[0][1:], 16))
    return character if character in _UNRESERVED else match[0].upper()


def short(fingerprint: bytes) -> str:
    """Return the start of a fingerprint, which joins log lines."""
    return fingerprint[:_LOGGED_BYTES].hex()
