"""Handlers that change the configuration or report on it."""

import dataclasses
import http
import re
import time
from typing import Any
import uuid

import msgspec

from agateshelf import decoding
from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.configuration import content
from agateshelf.core.configuration import results
from agateshelf.daemon import messages
from agateshelf.daemon.administration import context
from agateshelf.daemon.administration import models
from agateshelf.daemon.administration import replies
from agateshelf.daemon.callers import problems
from agateshelf.documents import check
from agateshelf.documents import configuration
from agateshelf.documents import patches
from agateshelf.documents import rights
from agateshelf.documents import teams

_DEFAULT_HISTORY = 20
_MAX_REASON_CHARACTERS = 200
_PATCH_MEDIA_TYPES = frozenset(
    {b"application/json-patch+json", b"application/json"}
)
_PATCH_ID = re.compile(r"^[0-9A-Za-z][0-9A-Za-z._\-]{0,63}$")
_VERSION = re.compile(rb'^"?([0-9]{1,18})"?$')


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A patch as submitted by an operator.

    Attributes:
        patch_id: Identifier of the patch, which makes repeats idempotent.
        base_version: Version that the patch was written for.
        operations: The decoded JSON Patch, not validated.
        reason: Reason given by the operator.
    """

    patch_id: str
    base_version: int
    operations: Any
    reason: str


class _InvalidRequestError(exceptions.AgateshelfError):
    """The request is not a valid patch request.

    Attributes:
        status: HTTP status of the reply.
    """

    def __init__(self, status: http.HTTPStatus, error: str) -> None:
        super().__init__(error)
        self.status = status


async def patch(ctx: context.RequestContext) -> problems.Reply:
    """Submit a patch and reply with its result.

    If the result can't be determined yet, the reply says so rather than
    guessing.
    """
    try:
        submitted = _read_patch(ctx.request)
        parts = _apply(ctx, submitted)
    except _InvalidRequestError as exc:
        return replies.error_reply(exc.status, str(exc))
    except exceptions.DocumentError as exc:
        return replies.error_reply(
            http.HTTPStatus.UNPROCESSABLE_ENTITY, str(exc)
        )
    except rights.ForbiddenError as exc:
        return replies.error_reply(http.HTTPStatus.FORBIDDEN, str(exc))
    driver = ctx.driver
    event = events.PatchRequested(
        operation=driver.operations.next_number(),
        patch_id=submitted.patch_id,
        base_version=submitted.base_version,
        parts=parts,
        author=f"{ctx.principal.team}/{ctx.principal.token}",
        reason=submitted.reason,
        at=time.time(),
    )
    return await _await_patch_result(ctx, event, submitted.patch_id)


async def republish(ctx: context.RequestContext) -> problems.Reply:
    """Write the active configuration to a store that lost it.

    A store restored from a backup may hold a lower version than the entries.
    """
    try:
        patch_id = _read_patch_id(ctx.request)
    except _InvalidRequestError as exc:
        return replies.error_reply(exc.status, str(exc))
    event = events.RepublishRequested(
        operation=ctx.driver.operations.next_number(),
        patch_id=patch_id,
        author=f"{ctx.principal.team}/{ctx.principal.token}",
        reason=_read_reason(ctx.request),
        at=time.time(),
    )
    return await _await_patch_result(ctx, event, patch_id)


async def lookup(ctx: context.RequestContext) -> problems.Reply:
    """Reply with the result of an earlier patch."""
    number = ctx.driver.operations.next_number()
    event = events.PatchLookupRequested(number, ctx.path_suffix)
    return await _await_patch_result(ctx, event, ctx.path_suffix)


async def history(ctx: context.RequestContext) -> problems.Reply:
    """Reply with the latest changes, newest first."""
    limit = ctx.query.get("limit", str(_DEFAULT_HISTORY))
    if not limit.isdecimal():
        return replies.error_reply(
            http.HTTPStatus.BAD_REQUEST, "limit: must be a whole number"
        )
    number = ctx.driver.operations.next_number()
    answer = await ctx.driver.operations.execute(
        events.HistoryRequested(number, int(limit)), ctx.driver.post
    )
    if not isinstance(answer, effects.AnswerHistory) or answer.records is None:
        return replies.error_reply(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "the history is unavailable: the store did not answer",
        )
    rows = [_to_change(record) for record in answer.records]
    return replies.json_reply(http.HTTPStatus.OK, rows)


async def entries(ctx: context.RequestContext) -> problems.Reply:
    """Reply with the configuration version of each entry."""
    number = ctx.driver.operations.next_number()
    answer = await ctx.driver.operations.execute(
        events.SurveyRequested(number), ctx.driver.post
    )
    rows: list[models.EntryStatus] = []
    if isinstance(answer, effects.AnswerSurvey):
        rows.extend(
            models.EntryStatus(entry.entry, "heard", entry.version)
            for entry in answer.versions
        )
        rows.extend(
            models.EntryStatus(entry, "silent", None) for entry in answer.silent
        )
    return replies.json_reply(http.HTTPStatus.OK, rows)


async def show(ctx: context.RequestContext) -> problems.Reply:
    """Reply with the active configuration as written by the operators.

    Teams, which hold digests of tokens, are shown only to administrators.
    """
    document = _active_document(ctx)
    if ctx.principal.right is not teams.Right.ADMINISTER:
        document = {**document, "teams": {}}
    return replies.json_reply(http.HTTPStatus.OK, document)


def _read_patch(request: messages.Request) -> Patch:
    media_type = messages.header(request.headers, b"content-type") or b""
    if media_type.split(b";")[0].strip().lower() not in _PATCH_MEDIA_TYPES:
        raise _InvalidRequestError(
            http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            "Content-Type: must be application/json-patch+json",
        )
    return Patch(
        patch_id=_read_patch_id(request),
        base_version=_read_base_version(request),
        operations=_read_operations(request),
        reason=_read_reason(request),
    )


def _read_patch_id(request: messages.Request) -> str:
    value = messages.header(request.headers, b"patch-id")
    if value is None:
        return uuid.uuid4().hex
    patch_id = value.decode("latin-1")
    if not _PATCH_ID.match(patch_id):
        raise _InvalidRequestError(
            http.HTTPStatus.BAD_REQUEST,
            "Patch-Id: must be up to 64 letters, digits, dots, dashes and "
            "underscores",
        )
    return patch_id


def _read_base_version(request: messages.Request) -> int:
    value = messages.header(request.headers, b"if-match")
    if value is None:
        raise _InvalidRequestError(
            http.HTTPStatus.PRECONDITION_REQUIRED,
            "If-Match: required, with the version that the patch was written "
            "for",
        )
    match = _VERSION.match(value.strip())
    if match is None:
        raise _InvalidRequestError(
            http.HTTPStatus.BAD_REQUEST, 'If-Match: must be a version like "12"'
        )
    return int(match.group(1))


def _read_operations(request: messages.Request) -> Any:
    try:
        return msgspec.json.decode(request.body)
    except decoding.ERRORS:
        raise _InvalidRequestError(
            http.HTTPStatus.BAD_REQUEST,
            "the body must be a JSON Patch (RFC 6902)",
        ) from None


def _read_reason(request: messages.Request) -> str:
    value = messages.header(request.headers, b"patch-reason") or b""
    return value.decode("latin-1")[:_MAX_REASON_CHARACTERS]


def _apply(
    ctx: context.RequestContext, submitted: Patch
) -> tuple[content.Part, ...] | None:
    """Return all parts of the changed configuration, validated.

    Returns:
        The parts; None if the base version is not the active one here.

    Raises:
        exceptions.DocumentError: The patch or the result is not valid.
        rights.ForbiddenError: The principal may not make this change.
    """
    document = _active_document(ctx)
    if document["version"] != submitted.base_version:
        return None
    changed = patches.apply(document, submitted.operations)
    if not isinstance(changed, dict):
        raise exceptions.DocumentError("", "must be an object")
    if changed.get("version") != submitted.base_version:
        raise exceptions.DocumentError(
            "/version", "must not be changed by a patch"
        )
    changed = {**changed, "version": submitted.base_version + 1}
    after = check.check_value(configuration.ConfigurationDocument, changed)
    if ctx.principal.right is not teams.Right.ADMINISTER:
        _check_rights(ctx, after)
    return configuration.to_parts(changed)


def _check_rights(
    ctx: context.RequestContext, after: configuration.ConfigurationDocument
) -> None:
    before = ctx.driver.document
    if before is None:
        raise rights.ForbiddenError(
            "/: only administrators may create the first configuration"
        )
    rights.check_change(ctx.principal.team, before, after)


def _active_document(ctx: context.RequestContext) -> dict[str, Any]:
    active = ctx.driver.state.configuration.active
    if active is None:
        return configuration.from_parts(0, ())
    return configuration.from_parts(active.version, active.parts.values())


async def _await_patch_result(
    ctx: context.RequestContext, event: events.OperatorRequest, patch_id: str
) -> problems.Reply:
    answer = await ctx.driver.operations.execute(event, ctx.driver.post)
    if not isinstance(answer, effects.AnswerPatch):
        raise TypeError(f"expected AnswerPatch, got {type(answer).__name__}")
    return _to_reply(patch_id, answer.result)


def _to_reply(patch_id: str, result: results.PatchResult) -> problems.Reply:
    status, result_name, version, detail = http.HTTPStatus.OK, "", None, ""
    match result:
        case results.Accepted() | results.AlreadyAccepted():
            result_name, version = "accepted", result.version
        case results.VersionConflict():
            status = http.HTTPStatus.PRECONDITION_FAILED
            result_name, version = "version-moved", result.current_version
            detail = f"the current version is {result.current_version}"
        case results.Refused():
            status = http.HTTPStatus.CONFLICT
            result_name, detail = "refused", result.detail
        case results.OutcomeUnknown():
            status = http.HTTPStatus.ACCEPTED
            result_name = "not-known-yet"
            detail = f"look it up with GET /config/patches/{patch_id}"
        case results.NotFound():
            status = http.HTTPStatus.NOT_FOUND
            result_name, detail = (
                "not-found",
                "no entry has started to write it",
            )
    row = models.PatchStatus(patch_id, result_name, version, detail)
    return replies.json_reply(status, row)


def _to_change(record: results.HistoryRecord) -> models.Change:
    return models.Change(
        version=record.version,
        patch_id=record.patch_id,
        author=record.author,
        reason=record.reason,
        time=record.at,
    )
