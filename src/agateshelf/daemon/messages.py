"""HTTP messages as the daemon holds them: bytes names, bytes values."""

from collections import abc
import dataclasses
from typing import Any

import h11

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request, held whole.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
        peer: Address the request came from.
        http_version: Version the caller spoke.
        scheme: `http`, or `https` for a caller that came by TLS.
    """

    method: bytes
    path: bytes
    headers: Headers
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


def parsed(headers: Any) -> Headers:
    """Return the headers of a parsed h11 event, names in lower case.

    Iterating over h11's own sequence costs several calls for each header.
    """
    return tuple([(name.lower(), value) for name, value in headers.raw_items()])


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection only."""
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


_H11Headers: Any = type(h11.Response(status_code=200, headers=[]).headers)


class _CheckedHeaders(_H11Headers):  # type: ignore[misc]
    """Headers that h11 need not check again, quicker to iterate over."""

    def __iter__(self) -> abc.Iterator[tuple[bytes, bytes]]:
        return iter([(name, value) for _, name, value in self._full_items])


def sendable(headers: abc.Iterable[tuple[bytes, bytes]]) -> Any:
    """Return headers for an h11 event without a second check.

    Each must have come out of an h11 parser or be made of checked parts; h11
    checks a plain list again, which costs as much as parsing it.
    """
    return _CheckedHeaders([(name, name, value) for name, value in headers])
