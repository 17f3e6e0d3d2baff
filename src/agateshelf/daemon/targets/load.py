"""Reads the load, limit and state that targets report with their answers."""

import re

from agateshelf import const
from agateshelf.core import events
from agateshelf.core.claims import const as claim_const
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon.targets import answers

_TARGET_LOAD = const.HEADER_TARGET_LOAD.encode()
_DRAINING = const.STATE_DRAINING.encode()
_LOAD_VALUE = re.compile(
    rb"in-flight=([0-9]{1,9}), *queued=([0-9]{1,9}), *slots=([0-9]{1,9})"
)
_TARGET_STATE = const.HEADER_TARGET_STATE.encode()
_STATUS_MISDIRECTED_REQUEST = 421
_EMPTY_TEXT = "(empty)"


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
    limit, invalid_limit = _limit_of(answer, dialect)
    return events.AttemptAnswered(
        attempt=answer.attempt,
        status=answer.status,
        headers=tuple(headers),
        streaming=answer.source is not None,
        load=reported,
        draining=draining,
        body=_recordable_body(answer),
        not_run=not_run,
        misdirected=not_run and answer.status == _STATUS_MISDIRECTED_REQUEST,
        limit=limit,
        invalid_limit=invalid_limit,
    )


def _limit_of(
    answer: answers.Answer, dialect: daemon_dialect.Dialect
) -> tuple[float | None, str]:
    """Return the limit that an answer names, and its text if it is invalid."""
    values = [
        value
        for name, value in answer.headers
        if dialect.limit and name == dialect.limit
    ]
    if not values:
        return None, ""
    limit = dialect.parse_limit(values[0]) if len(values) == 1 else None
    if limit is None:
        text = b", ".join(values).decode("latin-1")
        return None, text or _EMPTY_TEXT
    return limit, ""


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
