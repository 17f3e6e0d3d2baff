"""HTTP messages as the daemon holds them: bytes names, bytes values."""

from collections import abc
import dataclasses

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
