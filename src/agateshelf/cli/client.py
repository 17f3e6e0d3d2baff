"""Requests of the command-line tool to an entry's administration API."""

import dataclasses
import http.client
import json
import ssl
from typing import Any

from agateshelf import exceptions

_TIMEOUT_SECONDS = 30.0


class UnreachableError(exceptions.AgateshelfError):
    """The entry gave no answer; what it did is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Administration:
    """Where and as whom to administer.

    Attributes:
        address: `HOST:PORT` of an entry's administration API.
        token: Bearer token, or None.
        authority: Certificate file to trust, which also turns TLS on.
    """

    address: str
    token: str | None = None
    authority: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to the administration API."""

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An entry's answer.

    Attributes:
        status: HTTP status.
        value: The decoded JSON body.
    """

    status: int
    value: Any


def send(admin: Administration, request: Request) -> Reply:
    """Send a request and return the answer.

    Raises:
        UnreachableError: The entry gave no answer.
    """
    headers = dict(request.headers)
    if admin.token is not None:
        headers["authorization"] = f"Bearer {admin.token}"
    conn = _connection(admin)
    try:
        conn.request(request.method, request.path, request.body, headers)
        answer = conn.getresponse()
        return Reply(answer.status, json.loads(answer.read()))
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise UnreachableError(f"{admin.address}: {exc}") from exc
    finally:
        conn.close()


def _connection(admin: Administration) -> http.client.HTTPConnection:
    if admin.authority is None:
        return http.client.HTTPConnection(
            admin.address, timeout=_TIMEOUT_SECONDS
        )
    context = ssl.create_default_context(cafile=admin.authority)
    return http.client.HTTPSConnection(
        admin.address, timeout=_TIMEOUT_SECONDS, context=context
    )
