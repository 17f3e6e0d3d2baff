"""Detects crashes of targets from lost connections.

A connection that is lost after sending counts as a crash if it was a new
connection, if another one to the same target is lost at about the same time, or
if the target refuses a connection soon after. A request that gets a response is
cleared, so that requests that merely ran on a crashing target do not remain
suspects.
"""

import hashlib

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.calls import models as call_models
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import const
from agateshelf.core.poison import lost_connections
from agateshelf.core.poison import models
from agateshelf.core.poison import refusals
from agateshelf.core.poison import suspects
from agateshelf.core.routing import groups

_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 4
_LOSS_KINDS = frozenset(
    {
        outcome_models.FailureKind.RESET,
        outcome_models.FailureKind.WRITE_CUT,
        outcome_models.FailureKind.ANSWER_CUT,
        outcome_models.FailureKind.BAD_ANSWER,
    }
)


def fingerprint_of(call: call_models.Call) -> bytes:
    """Return a digest that identifies a request if its caller retries it.

    It includes the caller, so that no request is refused because of another
    caller's.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    parts = (call.service.name, call.caller, call.method, call.path)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(data)
    digest.update(call.body_digest)
    return digest.digest()


def refusal_of(
    state: core_state.State, now: float, call: call_models.Call
) -> outcome_models.Refusal | None:
    """Return the refusal of a request that crashed too many targets, if any."""
    if not state.poison.suspects:
        return None
    suspect = suspects.find(state, now, fingerprint_of(call))
    if suspect is None or len(suspect.crashes) < call.service.poison_crashes:
        return None
    return refusals.poisonous(len(suspect.crashes), suspect.until - now)


def may_retry(call: call_models.Call) -> bool:
    """Return whether a call has lost few enough connections for a retry."""
    return call.lost_connections < call.service.poison_crashes


def on_failure(
    state: core_state.State,
    now: float,
    call: call_models.Call,
    attempt: call_models.Attempt,
    event: events.AttemptFailed,
) -> list[effects.Effect]:
    """Count or record a possible crash after an attempt without a response.

    A reused connection may merely have been closed by the target after its idle
    timeout, so the target is checked.
    """
    if event.kind is outcome_models.FailureKind.CONNECT:
        return lost_connections.confirm(
            state, now, attempt.target, const.CONFIRM_SECONDS
        )
    if event.kind not in _LOSS_KINDS or not event.any_byte_sent:
        return []
    call.lost_connections += 1
    incarnation = state.claims.incarnation.hex()
    lost = models.LostConnection(
        attempt.target,
        fingerprint_of(call),
        f"{incarnation}-{attempt.number}",
        now,
    )
    if not event.kept_connection:
        return lost_connections.count_crash(state, now, lost)
    concurrent = lost_connections.confirm(
        state, now, attempt.target, const.CONCURRENT_LOSS_SECONDS
    )
    if concurrent:
        return [*concurrent, *lost_connections.count_crash(state, now, lost)]
    lost_connections.add(state, lost)
    view = groups.find_target_view(
        state.routing, call.service.name, attempt.target
    )
    if view is None:
        return []
    return [effects.CheckTarget(attempt.target, view.target.address)]


def on_answer(
    state: core_state.State,
    now: float,
    call: call_models.Call,
    event: events.AttemptAnswered,
) -> list[effects.Effect]:
    """Clear a request that a target has run and responded to.

    A request that the target refused did not run and is not cleared.
    """
    if not state.poison.suspects and not state.poison.lost_connections:
        return []
    if event.status == outcome_const.STATUS_UNAVAILABLE:
        return []
    if verdicts.is_refusal(call.service, event.headers):
        return []
    fingerprint = fingerprint_of(call)
    lost_connections.drop_request(state, fingerprint)
    return suspects.clear(state, now, fingerprint)
