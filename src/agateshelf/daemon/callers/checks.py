"""Checks on a request's head that h11 leaves out.

h11 reads lenient forms (bare line feeds, folded lines, a repeated length) that
another hop may read in another way; a request that two hops can read in two
ways is refused.
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
_UNSERVED_METHODS = frozenset({b"CONNECT", b"TRACE"})
_CONTROLS = 0x21


class BadRequestError(Exception):
    """A request that can't be taken; the connection ends after the answer.

    Attributes:
        status: HTTP status of the answer.
        reason: Short code, stable for scripts.
        detail: One sentence for a person.
        retry_after: Seconds after which the same request may be sent again.
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
    """Return the error for a request that breaks the protocol."""
    return BadRequestError(
        const.STATUS_BAD_REQUEST, "malformed-request", detail
    )


def check_beginning(data: bytearray) -> None:
    """Check the part of a head that has come so far.

    Raises:
        BadRequestError: It can't become a proper head.
    """
    if data and data[0] < _CONTROLS:
        raise malformed()
    if data.count(b"\n") != data.count(b"\r\n"):
        raise malformed("A line ends in a bare line feed.")


def check_lines(head: bytes) -> None:
    """Check the raw bytes of a whole head.

    Raises:
        BadRequestError: Two hops may read the head in two ways.
    """
    ends = head.count(b"\r\n")
    if head.count(b"\n") != ends or head.count(b"\r") != ends:
        raise malformed("A line does not end in CR LF.")
    if b"\n " in head or b"\n\t" in head:
        raise malformed("A header line is folded.")
    framing = _FRAMING.findall(head)
    if len(framing) > 1:
        raise malformed("The length of the body is given more than once.")
    for name, value in framing:
        if name.lower() == b"content-length" and not value.strip().isdigit():
            raise malformed("Content-Length is not one number.")


def check_request(head: h11.Request, headers: messages.Headers) -> None:
    """Check a parsed head and its headers.

    Raises:
        BadRequestError: It can't be taken.
    """
    if head.http_version not in _VERSIONS:
        raise malformed("The version of HTTP is not served.")
    if not _METHOD.fullmatch(head.method) or head.method in _UNSERVED_METHODS:
        raise BadRequestError(
            const.STATUS_NOT_IMPLEMENTED,
            "method-not-served",
            "The method is not served.",
        )
    _check_target(head)
    for name, value in headers:
        if name == b"host" and not _HOST.fullmatch(value):
            raise malformed("The Host header is malformed.")
        if name == b"transfer-encoding" and head.http_version == b"1.0":
            raise malformed("HTTP/1.0 has no Transfer-Encoding.")
        if name == b"expect" and value.lower() != b"100-continue":
            raise BadRequestError(
                const.STATUS_EXPECTATION_FAILED,
                "expectation-failed",
                "The expectation is not known.",
            )


def _check_target(head: h11.Request) -> None:
    target = head.target
    if target == b"*" and head.method == b"OPTIONS":
        return
    if target[:1] != b"/" or b"#" in target:
        raise malformed("The request target is not a path.")


def body_length(headers: messages.Headers) -> int | None:
    """Return the length that headers announce; None if it is chunked."""
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0
