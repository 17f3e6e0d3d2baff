"""Requests of the command-line tool to an entry's administration API."""

import dataclasses
import http.client
import json
from typing import Any

from agateshelf import exceptions

_TIMEOUT_SECONDS = 10.0


class UnreachableError(exceptions.AgateshelfError):
    """The entry gave no answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An entry's answer.

    Attributes:
        status: HTTP status.
        value: The decoded JSON body.
    """

    status: int
    value: Any


def request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send a request and return the answer.

    Raises:
        UnreachableError: The entry gave no answer.
    """
    conn = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    try:
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        return Reply(answer.status, json.loads(answer.read()))
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise UnreachableError(f"{address}: {exc}") from exc
    finally:
        conn.close()
