"""Decision rules for proposed records, the only place that defines them."""

from agateshelf.core.claims import models


def decide(
    known: models.Record | None, proposed: models.Record
) -> tuple[models.ProposalResult, models.Record | None]:
    """Return the result for a proposal and the record to write, if any.

    A claim is granted if the key is free: never claimed, or released. A
    completion is written unless the log shows another claim or another end of
    this one; it is confirmed in any case.
    """
    if proposed.state is not models.RecordState.CLAIMED:
        return models.ProposalResult.CONFIRMED, _completion_to_write(
            known, proposed
        )
    if known is None:
        return models.ProposalResult.GRANTED, proposed
    if known.nonce == proposed.nonce:
        return _result_for_own_claim(known), None
    if known.state is models.RecordState.RELEASED:
        return models.ProposalResult.GRANTED, proposed
    if known.request_digest != proposed.request_digest:
        return models.ProposalResult.MISMATCH, None
    return _result_for_duplicate(known), None


def _result_for_own_claim(known: models.Record) -> models.ProposalResult:
    if known.state is models.RecordState.CLAIMED:
        return models.ProposalResult.GRANTED
    return models.ProposalResult.ALREADY_ENDED


def _result_for_duplicate(known: models.Record) -> models.ProposalResult:
    match known.state:
        case models.RecordState.CLAIMED:
            return models.ProposalResult.IN_FLIGHT
        case models.RecordState.ANSWERED:
            return models.ProposalResult.ANSWERED
        case _:
            return models.ProposalResult.UNKNOWN


def _completion_to_write(
    known: models.Record | None, proposed: models.Record
) -> models.Record | None:
    if known is None:
        return proposed
    if known.nonce != proposed.nonce:
        return None
    if known.state is not models.RecordState.CLAIMED:
        return None
    return proposed
