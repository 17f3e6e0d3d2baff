"""HTTP client for the administration API of an entry."""

import dataclasses
import http.client
import json
import ssl
from typing import Any

from agateshelf import exceptions

_TIMEOUT_SECONDS = 30.0


class UnreachableError(exceptions.AgateshelfError):
    """The entry did not answer; whether it handled the request is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Administration:
    """Address and credentials of an administration API.

    Attributes:
        address: `HOST:PORT` of the API.
        token: Bearer token, or None.
        authority: File of trusted CA certificates; enables TLS if set.
    """

    address: str
    token: str | None = None
    authority: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to the administration API.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: Body, or None.
        headers: Names and values of further headers.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A response of the administration API.

    Attributes:
        status: HTTP status code.
        value: Decoded JSON body.
    """

    status: int
    value: Any


def send(admin: Administration, request: Request) -> Reply:
    """Send a request and return the response.

    Raises:
        UnreachableError: There was no valid response.
    """
    headers = dict(request.headers)
    if admin.token is not None:
        headers["authorization"] = f"Bearer {admin.token}"
    conn = _create_connection(admin)
    try:
        conn.request(request.method, request.path, request.body, headers)
        response = conn.getresponse()
        return Reply(response.status, json.loads(response.read()))
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise UnreachableError(f"{admin.address}: {exc}") from exc
    finally:
        conn.close()


def _create_connection(admin: Administration) -> http.client.HTTPConnection:
    if admin.authority is None:
        return http.client.HTTPConnection(
            admin.address, timeout=_TIMEOUT_SECONDS
        )
    context = ssl.create_default_context(cafile=admin.authority)
    return http.client.HTTPSConnection(
        admin.address, timeout=_TIMEOUT_SECONDS, context=context
    )
