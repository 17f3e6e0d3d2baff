"""Changes of the configuration by operators, and what became of them."""

import dataclasses
import http
import re
import time
from typing import Any
import uuid

import msgspec

from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.configuration import content
from agateshelf.core.configuration import results
from agateshelf.daemon import messages
from agateshelf.daemon.administration import models
from agateshelf.daemon.administration import question
from agateshelf.daemon.administration import replies
from agateshelf.daemon.callers import problems
from agateshelf.documents import check
from agateshelf.documents import configuration
from agateshelf.documents import patches
from agateshelf.documents import rights
from agateshelf.documents import teams

_DEFAULT_HISTORY = 20
_MAX_REASON_CHARACTERS = 200
_MEDIA_TYPES = frozenset({b"application/json-patch+json", b"application/json"})
_PATCH_ID = re.compile(r"^[0-9A-Za-z][0-9A-Za-z._\-]{0,63}$")
_VERSION = re.compile(rb'^"?([0-9]{1,18})"?$')


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A patch as an operator sent it.

    Attributes:
        patch_id: Its own identifier.
        base_version: Version it was written for.
        operations: The decoded JSON Patch.
        reason: Why.
    """

    patch_id: str
    base_version: int
    operations: Any
    reason: str


class _UnusableError(exceptions.AgateshelfError):
    """A request that can't be a patch."""

    def __init__(self, status: http.HTTPStatus, error: str) -> None:
        super().__init__(error)
        self.status = status


async def patch(asked: question.Question) -> problems.Reply:
    """Submit a patch; the answer is true, or says that it is not known."""
    try:
        sent = _read_patch(asked.request)
        parts = _apply(asked, sent)
    except _UnusableError as exc:
        return replies.fault(exc.status, str(exc))
    except exceptions.DocumentError as exc:
        return replies.fault(http.HTTPStatus.UNPROCESSABLE_ENTITY, str(exc))
    except rights.ForbiddenError as exc:
        return replies.fault(http.HTTPStatus.FORBIDDEN, str(exc))
    driver = asked.driver
    event = events.PatchRequested(
        operation=driver.operations.next_number(),
        patch_id=sent.patch_id,
        base_version=sent.base_version,
        parts=parts,
        author=f"{asked.speaker.team}/{asked.speaker.token}",
        reason=sent.reason,
        at=time.time(),
    )
    return await _ask_of_patch(asked, event, sent.patch_id)


async def republish(asked: question.Question) -> problems.Reply:
    """Write what is in force over a store that fell behind it."""
    try:
        patch_id = _patch_id_of(asked.request)
    except _UnusableError as exc:
        return replies.fault(exc.status, str(exc))
    event = events.RepublishRequested(
        operation=asked.driver.operations.next_number(),
        patch_id=patch_id,
        author=f"{asked.speaker.team}/{asked.speaker.token}",
        reason=_reason_of(asked.request),
        at=time.time(),
    )
    return await _ask_of_patch(asked, event, patch_id)


async def lookup(asked: question.Question) -> problems.Reply:
    """Say what became of a patch."""
    number = asked.driver.operations.next_number()
    event = events.PatchLookupRequested(number, asked.rest)
    return await _ask_of_patch(asked, event, asked.rest)


async def history(asked: question.Question) -> problems.Reply:
    """List the latest changes, the newest first."""
    limit = asked.query.get("limit", str(_DEFAULT_HISTORY))
    if not limit.isdecimal():
        return replies.fault(
            http.HTTPStatus.BAD_REQUEST, "limit: a whole number"
        )
    number = asked.driver.operations.next_number()
    answer = await asked.driver.operations.execute(
        events.HistoryRequested(number, int(limit)), asked.driver.post
    )
    if not isinstance(answer, effects.AnswerHistory) or answer.records is None:
        return replies.fault(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "the store, which keeps the history, gives no answer",
        )
    rows = [_change_of(record) for record in answer.records]
    return replies.reply(http.HTTPStatus.OK, rows)


async def entries(asked: question.Question) -> problems.Reply:
    """List which version each entry has in force."""
    number = asked.driver.operations.next_number()
    answer = await asked.driver.operations.execute(
        events.SurveyRequested(number), asked.driver.post
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
    return replies.reply(http.HTTPStatus.OK, rows)


async def show(asked: question.Question) -> problems.Reply:
    """Show the configuration in force, as the operators wrote it."""
    document = _written(asked)
    if asked.speaker.right is not teams.Right.ADMINISTER:
        document = {**document, "teams": {}}
    return replies.reply(http.HTTPStatus.OK, document)


def _read_patch(request: messages.Request) -> Patch:
    kind = messages.header(request.headers, b"content-type") or b""
    if kind.split(b";")[0].strip().lower() not in _MEDIA_TYPES:
        raise _UnusableError(
            http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            "Content-Type: application/json-patch+json",
        )
    return Patch(
        patch_id=_patch_id_of(request),
        base_version=_base_version_of(request),
        operations=_operations_of(request),
        reason=_reason_of(request),
    )


def _patch_id_of(request: messages.Request) -> str:
    value = messages.header(request.headers, b"patch-id")
    if value is None:
        return uuid.uuid4().hex
    patch_id = value.decode("latin-1")
    if not _PATCH_ID.match(patch_id):
        raise _UnusableError(
            http.HTTPStatus.BAD_REQUEST,
            "Patch-Id: up to 64 letters, digits, dots, dashes, underscores",
        )
    return patch_id


def _base_version_of(request: messages.Request) -> int:
    value = messages.header(request.headers, b"if-match")
    if value is None:
        raise _UnusableError(
            http.HTTPStatus.PRECONDITION_REQUIRED,
            "If-Match: the version that the patch was written for",
        )
    found = _VERSION.match(value.strip())
    if found is None:
        raise _UnusableError(
            http.HTTPStatus.BAD_REQUEST, 'If-Match: a version like "12"'
        )
    return int(found.group(1))


def _operations_of(request: messages.Request) -> Any:
    try:
        return msgspec.json.decode(request.body)
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        raise _UnusableError(
            http.HTTPStatus.BAD_REQUEST, "the body: a JSON Patch (RFC 6902)"
        ) from None


def _reason_of(request: messages.Request) -> str:
    value = messages.header(request.headers, b"patch-reason") or b""
    return value.decode("latin-1")[:_MAX_REASON_CHARACTERS]


def _apply(
    asked: question.Question, sent: Patch
) -> tuple[content.Part, ...] | None:
    """Return the new content whole, or None if the base is not in force."""
    written = _written(asked)
    if written["version"] != sent.base_version:
        return None
    changed = patches.apply(written, sent.operations)
    if not isinstance(changed, dict):
        raise exceptions.DocumentError("", "an object")
    if changed.get("version") != sent.base_version:
        raise exceptions.DocumentError("/version", "no change by a patch")
    changed = {**changed, "version": sent.base_version + 1}
    after = check.check_value(configuration.ConfigurationDocument, changed)
    if asked.speaker.right is not teams.Right.ADMINISTER:
        _check_rights(asked, after)
    return configuration.to_parts(changed)


def _check_rights(
    asked: question.Question, after: configuration.ConfigurationDocument
) -> None:
    before = asked.driver.document
    if before is None:
        raise rights.ForbiddenError("/: only administrators begin")
    rights.check_change(asked.speaker.team, before, after)


def _written(asked: question.Question) -> dict[str, Any]:
    held = asked.driver.state.configuration.active
    if held is None:
        return configuration.from_parts(0, ())
    return configuration.from_parts(held.version, held.parts.values())


async def _ask_of_patch(
    asked: question.Question, event: events.OperatorRequest, patch_id: str
) -> problems.Reply:
    answer = await asked.driver.operations.execute(event, asked.driver.post)
    if not isinstance(answer, effects.AnswerPatch):
        raise TypeError(f"{type(answer).__name__} does not answer a patch")
    return _reply_of(patch_id, answer.result)


def _reply_of(patch_id: str, result: results.PatchResult) -> problems.Reply:
    status, word, version, detail = http.HTTPStatus.OK, "", None, ""
    match result:
        case results.Accepted() | results.AlreadyAccepted():
            word, version = "accepted", result.version
        case results.VersionConflict():
            status = http.HTTPStatus.PRECONDITION_FAILED
            word, version = "version-moved", result.current_version
            detail = f"the present version is {result.current_version}"
        case results.Refused():
            status = http.HTTPStatus.CONFLICT
            word, detail = "refused", result.detail
        case results.OutcomeUnknown():
            status = http.HTTPStatus.ACCEPTED
            word = "not-known-yet"
            detail = f"ask with GET /config/patches/{patch_id}"
        case results.NotFound():
            status = http.HTTPStatus.NOT_FOUND
            word, detail = "not-found", "no entry has begun to write it"
    row = models.PatchStatus(patch_id, word, version, detail)
    return replies.reply(status, row)


def _change_of(record: results.HistoryRecord) -> models.Change:
    return models.Change(
        version=record.version,
        patch_id=record.patch_id,
        author=record.author,
        reason=record.reason,
        time=record.at,
    )
