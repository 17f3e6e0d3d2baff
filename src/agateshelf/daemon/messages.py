"""HTTP messages as the daemon holds them: bytes names, bytes values."""

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
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    peer: str
    http_version: bytes = b"1.1"


def header(headers: Headers, name: bytes) -> bytes | None:
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
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP and key not in named
    )
