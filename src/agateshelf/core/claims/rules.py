"""Decision rules for proposed records, the only place that defines them."""

from agateshelf.core.claims import models


def decide(
    known: models.Record | None, proposed: models.Record
) -> tuple[models.Word, models.Record | None]:
    """Return the result for a proposal and the record to write, if any.

    A claim is granted if the key is free: never claimed, or released. A
    completion is written unless the log shows another claim or another end of
    this one; it is confirmed in any case.
    """
    if proposed.state is not models.RecordState.CLAIMED:
        return models.Word.KEPT, _end_to_write(known, proposed)
    if known is None:
        return models.Word.GRANTED, proposed
    if known.nonce == proposed.nonce:
        return _word_on_own(known), None
    if known.state is models.RecordState.RELEASED:
        return models.Word.GRANTED, proposed
    if known.request != proposed.request:
        return models.Word.MISMATCH, None
    return _word_on_repeat(known), None


def _word_on_own(known: models.Record) -> models.Word:
    if known.state is models.RecordState.CLAIMED:
        return models.Word.GRANTED
    return models.Word.VOID


def _word_on_repeat(known: models.Record) -> models.Word:
    match known.state:
        case models.RecordState.CLAIMED:
            return models.Word.IN_FLIGHT
        case models.RecordState.ANSWERED:
            return models.Word.ANSWERED
        case _:
            return models.Word.UNKNOWN


def _end_to_write(
    known: models.Record | None, proposed: models.Record
) -> models.Record | None:
    if known is None:
        return proposed
    if known.nonce != proposed.nonce:
        return None
    if known.state is not models.RecordState.CLAIMED:
        return None
    return proposed
