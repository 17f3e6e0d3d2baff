"""Builds replies of the administration API with JSON bodies."""

import dataclasses
import http

import msgspec

from agateshelf.daemon.administration import models
from agateshelf.daemon.callers import problems

_JSON = ((b"content-type", b"application/json"),)


def json_reply(status: http.HTTPStatus, value: object) -> problems.Reply:
    """Return a reply with a JSON body."""
    body = msgspec.json.encode(value)
    return problems.Reply(status, status.phrase.encode(), _JSON, body)


def error_reply(status: http.HTTPStatus, error: str) -> problems.Reply:
    """Return a reply with the reason why a request failed."""
    reply = json_reply(status, models.ErrorBody(error))
    if status is not http.HTTPStatus.UNAUTHORIZED:
        return reply
    headers = (*reply.headers, problems.CHALLENGE)
    return dataclasses.replace(reply, headers=headers)
