"""Detects requests that crash the targets that run them.

A request that crashes the target that runs it, and is sent again each time,
would take down one target after another. A lost connection alone is not a
crash: it counts against the request, on all entries, only if the target
refuses connections right afterwards. A request that gets an answer is no
longer suspected.
"""

import hashlib

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import lost_connections
from agateshelf.core.poison import models as poison_models
from agateshelf.core.poison import refusals as poison_refusals
from agateshelf.core.poison import suspects

_FINGERPRINT_BYTES = 16
_CONNECTION_LOSSES = frozenset(
    {
        outcome_models.FailureKind.RESET,
        outcome_models.FailureKind.WRITE_CUT,
        outcome_models.FailureKind.ANSWER_CUT,
    }
)


def fingerprint_of(event: events.RequestArrived) -> bytes:
    """Return a digest by which repeats of a request are recognised."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (event.host, event.method, event.path, event.caller):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(event.body_digest)
    return digest.digest()


def refusal_of(
    state: core_state.State, now: float, fingerprint: bytes
) -> outcome_models.Refusal | None:
    """Return the refusal if a request crashed too many targets, else None."""
    suspect = suspects.find(state, now, fingerprint)
    if suspect is None or len(suspect.crashes) < const.POISON_CRASHES:
        return None
    return poison_refusals.poisonous(len(suspect.crashes), suspect.until - now)


def on_failure(
    state: core_state.State,
    now: float,
    call: models.Call,
    attempt: models.Attempt,
    event: events.AttemptFailed,
) -> list[effects.Effect]:
    """Check after a lost connection whether the target has crashed."""
    if event.kind not in _CONNECTION_LOSSES or not event.any_byte_sent:
        return []
    call.lost_connections += 1
    registration = state.directory.targets.get(attempt.target)
    if registration is None:
        return []
    crash = f"{state.identity.entry}-{attempt.target}-{attempt.number}"
    lost_connections.add(
        state,
        poison_models.LostConnection(
            attempt.target, call.fingerprint, crash, now
        ),
    )
    return [
        effects.LogEvent(
            "crash.possible",
            call.request_id,
            (
                ("fingerprint", suspects.short(call.fingerprint)),
                ("target", attempt.target),
                ("kind", event.kind.value),
                ("born", registration.born),
            ),
        ),
        effects.CheckTarget(attempt.target, registration.address),
    ]


def on_answered(
    state: core_state.State, now: float, call: models.Call
) -> list[effects.Effect]:
    """Stop suspecting a request that a target answered without crashing."""
    if not state.poison.suspects and not state.poison.lost_connections:
        return []
    lost_connections.drop_request(state, call.fingerprint)
    return suspects.clear(state, now, call.fingerprint)
