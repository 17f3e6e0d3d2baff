"""Names and formats of the HTTP headers used towards callers and targets.

They differ between deployments, so the daemon refers to headers by their
meaning and takes names and formats from a `Dialect`.
"""

from collections import abc
import dataclasses

from agateshelf import const
from agateshelf.core import events

ParseLoad = abc.Callable[[bytes], events.TargetLoad | None]
ParseNumber = abc.Callable[[bytes], float | None]
ParseFlag = abc.Callable[[bytes], bool | None]
ParseKey = abc.Callable[[bytes], bytes | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case, empty if unused, and header formats.

    Attributes:
        timeout_ms: Time that the sender still waits, in milliseconds.
        request_id: Identifier of the request, which targets echo.
        expected_target: Identifier of the only target that may run the request.
        not_run: Set by a target that did not run the request.
        signature: Set by the target itself on each successful response.
        target: Identifier of the target that responds.
        load: Load report of the target that responds.
        parse_load: Parses the value of `load`; returns None if it is invalid.
        limit: Requests a second that the target that responds takes from all
            entries together.
        parse_limit: Parses the value of `limit`; returns None if it is invalid.
        leaving: Whether the target that responds is leaving.
        parse_leaving: Parses the value of `leaving`; returns None if it is
            invalid.
        pause: Seconds for which a target that turns a request away wants no
            others.
        parse_pause: Parses the value of `pause`; returns None if it is invalid.
        cold: Milliseconds for which a target that answers a probe is still
            cold.
        parse_cold: Parses the value of `cold`; returns None if it is invalid.
        key: The caller's key.
        parse_key: Returns the key in the value of `key`; None if it is invalid.
        workspace: Name of the caller's workspace, as targets are told it.
        adds_proxy_headers: Whether `Via` and `Forwarded` are added.
        allows_close_delimited: Whether the end of the connection may mark the
            end of a response (RFC 9112, section 6.3).
        fractional_retry_after: Whether `Retry-After` may hold fractions of a
            second.
    """

    timeout_ms: bytes
    request_id: bytes
    expected_target: bytes
    not_run: bytes
    signature: bytes
    target: bytes
    load: bytes
    parse_load: ParseLoad
    limit: bytes
    parse_limit: ParseNumber
    leaving: bytes
    parse_leaving: ParseFlag
    pause: bytes
    parse_pause: ParseNumber
    cold: bytes
    parse_cold: ParseNumber
    key: bytes
    parse_key: ParseKey
    workspace: bytes
    adds_proxy_headers: bool
    allows_close_delimited: bool
    fractional_retry_after: bool


def _no_load(value: bytes) -> events.TargetLoad | None:
    del value
    return None


def _no_number(value: bytes) -> float | None:
    del value
    return None


def _no_flag(value: bytes) -> bool | None:
    del value
    return None


def _no_key(value: bytes) -> bytes | None:
    del value
    return None


DEFAULT = Dialect(
    timeout_ms=const.HEADER_TIMEOUT_MS.encode(),
    request_id=b"",
    expected_target=b"",
    not_run=b"",
    signature=b"",
    target=b"",
    load=b"",
    parse_load=_no_load,
    limit=b"",
    parse_limit=_no_number,
    leaving=b"",
    parse_leaving=_no_flag,
    pause=b"",
    parse_pause=_no_number,
    cold=b"",
    parse_cold=_no_number,
    key=b"",
    parse_key=_no_key,
    workspace=b"",
    adds_proxy_headers=True,
    allows_close_delimited=False,
    fractional_retry_after=False,
)
