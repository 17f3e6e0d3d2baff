"""Load and state that targets carry on their answers."""

from agateshelf import const
from agateshelf.core import events
from agateshelf.core.claims import const as claim_const
from agateshelf.daemon import messages
from agateshelf.daemon.targets import answers

_LOAD = const.HEADER_TARGET_LOAD.encode()
_STATE = const.HEADER_TARGET_STATE.encode()


def event_of(answer: answers.Answer) -> events.AttemptAnswered:
    """Return the event that tells the reducer of an answer."""
    state = messages.header(answer.headers, _STATE)
    return events.AttemptAnswered(
        attempt=answer.attempt,
        status=answer.status,
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in answer.headers
        ),
        streaming=answer.source is not None,
        load=parse_load(messages.header(answer.headers, _LOAD)),
        draining=state == const.STATE_DRAINING.encode(),
        body=_small_body(answer),
    )


def _small_body(answer: answers.Answer) -> bytes | None:
    whole = answer.source is None
    if whole and len(answer.body) <= claim_const.MAX_RECORDED_BODY_BYTES:
        return answer.body
    return None


def parse_load(value: bytes | None) -> events.TargetLoad | None:
    """Return the load in a header like `in-flight=3, queued=1, slots=2`."""
    if value is None:
        return None
    fields: dict[bytes, int] = {}
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if not number.isdigit():
            return None
        fields[name] = int(number)
    return events.TargetLoad(
        in_flight=fields.get(b"in-flight", 0),
        queued=fields.get(b"queued", 0),
        slots=fields.get(b"slots", 0),
    )
