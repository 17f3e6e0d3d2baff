"""HTTP requests and headers; names and values are bytes."""

from collections import abc
import dataclasses
from typing import Any

import h11

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request, buffered whole.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: End-to-end headers, names in lower case. One may hold a
            caller's key, so they are not in the representation.
        body: The whole body.
        peer: IP address of the caller.
        http_version: HTTP version of the request.
        scheme: `https` for a connection with TLS, else `http`.
    """

    method: bytes
    path: bytes
    headers: Headers = dataclasses.field(repr=False)
    body: bytes
    peer: str
    http_version: bytes = b"1.1"
    scheme: bytes = b"http"


def header(
    headers: abc.Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def headers_from_h11(headers: Any) -> Headers:
    """Return the headers of a parsed h11 event, names in lower case.

    It takes the raw items, since iterating over h11's header sequence takes
    several function calls for each header.
    """
    return tuple([(name.lower(), value) for name, value in headers.raw_items()])


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop headers."""
    kept = tuple([pair for pair in headers if pair[0] not in _HOP_BY_HOP])
    if len(kept) == len(headers):
        return kept
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return tuple([pair for pair in kept if pair[0] not in named])


def without_overridden_length(headers: Headers) -> Headers:
    """Return the headers without a length that chunks override.

    An intermediary must remove it (RFC 9112, section 6.3).
    """
    if header(headers, b"transfer-encoding") is None:
        return headers
    return tuple([pair for pair in headers if pair[0] != b"content-length"])


_H11Headers: Any = type(h11.Response(status_code=200, headers=[]).headers)


class _ValidatedHeaders(_H11Headers):  # type: ignore[misc]
    """Headers that h11 does not validate again and that iterate faster."""

    def __iter__(self) -> abc.Iterator[tuple[bytes, bytes]]:
        return iter([(name, value) for _, name, value in self._full_items])


def headers_to_h11(headers: abc.Iterable[tuple[bytes, bytes]]) -> Any:
    """Return headers for an h11 event that h11 does not validate again.

    Each must come from an h11 parser or consist of validated parts. h11
    validates the headers of a plain list, which takes as long as parsing them.
    """
    return _ValidatedHeaders([(name, name, value) for name, value in headers])
