"""Checks of request heads against request smuggling.

h11 accepts lenient forms such as bare line feeds, folded header lines and
repeated lengths, which other hops may parse differently. Requests that can be
parsed in more than one way are rejected.
"""

import re

import h11

from agateshelf.daemon import messages
from agateshelf.daemon.callers import const

_FRAMING = re.compile(
    rb"\n(content-length|transfer-encoding):[ \t]*([^\r]*)", re.IGNORECASE
)
_METHOD = re.compile(rb"[A-Z][A-Z\-]*")
_HOST = re.compile(rb"[0-9A-Za-z.\-_~%!$&'()*+;=\[\]:]*")
_VERSIONS = frozenset({b"1.0", b"1.1"})
_UNSUPPORTED_METHODS = frozenset({b"CONNECT", b"TRACE"})
_FIRST_VISIBLE_BYTE = 0x21


class BadRequestError(Exception):
    """A request is rejected; its connection is closed after the answer.

    Attributes:
        status: HTTP status of the answer.
        reason: Stable machine-readable code.
        detail: Human-readable explanation, one sentence.
        retry_after: Seconds after which the request may be retried.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.retry_after = retry_after


def malformed(detail: str = "The request is malformed.") -> BadRequestError:
    """Return the error for a request that violates the protocol."""
    return BadRequestError(
        const.STATUS_BAD_REQUEST, "malformed-request", detail
    )


def check_partial_head(data: bytearray) -> None:
    """Check the part of a request head received so far.

    Raises:
        BadRequestError: It can't be the beginning of a valid head.
    """
    if data and data[0] < _FIRST_VISIBLE_BYTE:
        raise malformed()
    if data.count(b"\n") != data.count(b"\r\n"):
        raise malformed("A header line ends in a bare line feed.")


def check_raw_head(head: bytes) -> None:
    """Check the raw bytes of a complete head for ambiguous framing.

    Raises:
        BadRequestError: Hops may parse the head differently.
    """
    crlf_count = head.count(b"\r\n")
    if head.count(b"\n") != crlf_count or head.count(b"\r") != crlf_count:
        raise malformed("A header line does not end in CR LF.")
    if b"\n " in head or b"\n\t" in head:
        raise malformed("A header line is folded.")
    framing_headers = _FRAMING.findall(head)
    if len(framing_headers) > 1:
        raise malformed("More than one header gives the length of the body.")
    for name, value in framing_headers:
        if name.lower() == b"content-length" and not value.strip().isdigit():
            raise malformed("Content-Length is not a single number.")


def check_request(head: h11.Request, headers: messages.Headers) -> None:
    """Check the request line and headers of a parsed head.

    Raises:
        BadRequestError: The request is malformed or not supported.
    """
    if head.http_version not in _VERSIONS:
        raise malformed("The HTTP version is not supported.")
    if (
        not _METHOD.fullmatch(head.method)
        or head.method in _UNSUPPORTED_METHODS
    ):
        raise BadRequestError(
            const.STATUS_NOT_IMPLEMENTED,
            "method-not-served",
            "The method is not supported.",
        )
    _check_request_target(head)
    for name, value in headers:
        if name == b"host" and not _HOST.fullmatch(value):
            raise malformed("The Host header is malformed.")
        if name == b"transfer-encoding" and head.http_version == b"1.0":
            raise malformed("HTTP/1.0 does not allow Transfer-Encoding.")
        if name == b"expect" and value.lower() != b"100-continue":
            raise BadRequestError(
                const.STATUS_EXPECTATION_FAILED,
                "expectation-failed",
                "Expect has a value other than 100-continue.",
            )


def _check_request_target(head: h11.Request) -> None:
    target = head.target
    if target == b"*" and head.method == b"OPTIONS":
        return
    if target[:1] != b"/" or b"#" in target:
        raise malformed("The request target is not an absolute path.")


def body_length(headers: messages.Headers) -> int | None:
    """Return the announced length of the body; None if it is chunked."""
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0
