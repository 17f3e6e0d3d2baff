"""Reads what targets report of themselves with their answers."""

from collections import abc
import re
from typing import TypeVar

from agateshelf import const
from agateshelf.core import events
from agateshelf.core.claims import const as claim_const
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon.targets import answers

_TARGET_LOAD = const.HEADER_TARGET_LOAD.encode()
_DRAINING = const.STATE_DRAINING.encode()
_LOAD_VALUE = re.compile(
    rb"in-flight=([0-9]{1,9}), *queued=([0-9]{1,9}), *slots=([0-9]{1,9})"
)
_TARGET_STATE = const.HEADER_TARGET_STATE.encode()
_STATUS_MISDIRECTED_REQUEST = 421
_STATUS_UNAVAILABLE = 503
_EMPTY_TEXT = "(empty)"

InvalidNotices = tuple[tuple[str, str], ...]
_ValueT = TypeVar("_ValueT", float, bool)


def event_of(
    answer: answers.Answer,
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT,
) -> events.AttemptAnswered:
    """Return the event that reports an answer to the reducer."""
    reported: events.TargetLoad | None = None
    draining = False
    not_run = answer.status == _STATUS_MISDIRECTED_REQUEST and bool(
        dialect.not_run
    )
    headers = []
    for name, value in answer.headers:
        if name == _TARGET_LOAD:
            reported = parse_load(value)
        elif name == dialect.load:
            reported = dialect.parse_load(value)
        elif name == dialect.not_run:
            not_run = True
        elif name == _TARGET_STATE:
            draining = value == _DRAINING
        headers.append((name.decode("latin-1"), value.decode("latin-1")))
    limit, invalid_limit = _read_one(
        answer.headers, "limit", dialect.limit, dialect.parse_limit
    )
    leaving, invalid_leaving = _read_one(
        answer.headers, "leaving", dialect.leaving, dialect.parse_leaving
    )
    pause: float | None = None
    invalid_pause: InvalidNotices = ()
    if answer.status == _STATUS_UNAVAILABLE:
        pause, invalid_pause = _read_one(
            answer.headers, "pause", dialect.pause, dialect.parse_pause
        )
    return events.AttemptAnswered(
        attempt=answer.attempt,
        status=answer.status,
        headers=tuple(headers),
        streaming=answer.source is not None,
        load=reported,
        draining=draining or bool(leaving),
        body=_recordable_body(answer),
        not_run=not_run,
        misdirected=not_run and answer.status == _STATUS_MISDIRECTED_REQUEST,
        limit=limit,
        pause=pause or 0.0,
        invalid_notices=(*invalid_limit, *invalid_leaving, *invalid_pause),
    )


def is_leaving(
    headers: messages.Headers, dialect: daemon_dialect.Dialect
) -> bool:
    """Return whether the target that sent these headers is leaving."""
    leaving, _ = _read_one(
        headers, "leaving", dialect.leaving, dialect.parse_leaving
    )
    return bool(leaving)


def _read_one(
    headers: messages.Headers,
    kind: str,
    name: bytes,
    parse: abc.Callable[[bytes], _ValueT | None],
) -> tuple[_ValueT | None, InvalidNotices]:
    """Return the value of a header; if it is invalid, its kind and text."""
    values = [value for key, value in headers if name and key == name]
    if not values:
        return None, ()
    value = parse(values[0]) if len(values) == 1 else None
    if value is None:
        text = b", ".join(values).decode("latin-1")
        return None, ((kind, text or _EMPTY_TEXT),)
    return value, ()


def _recordable_body(answer: answers.Answer) -> bytes | None:
    whole = answer.source is None
    if whole and len(answer.body) <= claim_const.MAX_RECORDED_BODY_BYTES:
        return answer.body
    return None


def parse_load(value: bytes) -> events.TargetLoad | None:
    """Parse a header value like `in-flight=3, queued=1, slots=2`."""
    match = _LOAD_VALUE.fullmatch(value)
    if match is None:
        return None
    in_flight, queued, slots = match.groups()
    return events.TargetLoad(int(in_flight), int(queued), int(slots))
