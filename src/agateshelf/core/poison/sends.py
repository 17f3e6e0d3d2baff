"""Every attempt passes here: withheld or sent, and how it ended.

Answers the load of a caller that repeats a poisonous request through all
entries: whatever path leads to a send (the first attempt, a retry, a hedge, a
call that waited), the request is withheld from the moment at which this entry
knows enough crashes.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import const
from agateshelf.core.poison import evidence
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import models
from agateshelf.core.poison import records
from agateshelf.core.poison import refusals
from agateshelf.core.poison import replication
from agateshelf.core.poison import trials

Effects = list[effects.Effect]

_FIRST_SERVER_ERROR = 500
_LOSS_KINDS = frozenset(
    {
        outcome_models.FailureKind.RESET,
        outcome_models.FailureKind.WRITE_CUT,
        outcome_models.FailureKind.ANSWER_CUT,
        outcome_models.FailureKind.BAD_ANSWER,
    }
)


def is_loss(event: events.AttemptFailed) -> bool:
    """Return whether an attempt lost its connection after it was sent."""
    return event.kind in _LOSS_KINDS and event.any_byte_sent


def start(
    state: core_state.State,
    now: float,
    send: models.Send,
    outcome: outcome_models.Outcome,
) -> outcome_models.Refusal | None:
    """Record a send; return a refusal instead if its request is withheld.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        send: The send.
        outcome: Whether earlier attempts of its call may have run.
    """
    refusal = refusals.refusal_of(
        state, now, send.fingerprint, send.crash_limit, outcome
    )
    if refusal is not None:
        return refusal
    if _is_withheld(state, now, send):
        trials.begin(state, now, send)
    state.poison.in_flight[send.attempt] = send
    return None


def _is_withheld(
    state: core_state.State, now: float, send: models.Send
) -> bool:
    """Return whether the request of a send is withheld but for trials."""
    until = records.withheld_until(
        state, now, send.fingerprint, send.crash_limit
    )
    return until is not None


def on_failed(
    state: core_state.State, now: float, event: events.AttemptFailed
) -> Effects:
    """Look for a crash after an attempt that got no answer."""
    send = state.poison.in_flight.pop(event.attempt, None)
    if send is None:
        return []
    if not event.any_byte_sent:
        trials.on_not_run(state, now, send)
    if event.kind is outcome_models.FailureKind.CONNECT:
        return _on_not_connected(state, now, send)
    if not event.any_byte_sent:
        return []
    trials.on_lost(state, send)
    if not is_loss(event):
        return evidence.record_silence(state, now, send)
    loss = evidence.loss_of(send, now, kept_connection=event.kept_connection)
    if not send.loss_is_crash:
        return evidence.on_loss(state, now, loss)
    if not event.kept_connection:
        return evidence.confirm_loss(state, now, loss)
    concurrent = evidence.confirm_recent(
        state, now, send.target, const.CONCURRENT_LOSS_SECONDS
    )
    if concurrent:
        return [*concurrent, *evidence.confirm_loss(state, now, loss)]
    return evidence.on_loss(state, now, loss)


def _on_not_connected(
    state: core_state.State, now: float, send: models.Send
) -> Effects:
    """Use a failed connection as evidence of earlier crashes."""
    if send.loss_is_crash:
        return evidence.on_refused(state, now, send.target)
    return evidence.on_not_connected(state, now, send)


def on_answered(
    state: core_state.State,
    now: float,
    attempt: int,
    status: int,
    *,
    not_run: bool,
    misdirected: bool = False,
) -> Effects:
    """Clear a request that a target has run and survived.

    A request that the target refused did not run. A server error proves
    nothing, since a failing target answers it without running the request.
    """
    state.poison.answered_at = now
    send = state.poison.in_flight.pop(attempt, None)
    if send is None:
        return []
    if not_run or status >= _FIRST_SERVER_ERROR:
        trials.on_not_run(state, now, send)
    if misdirected:
        return evidence.on_misdirected(state, now, send)
    if not_run or status >= _FIRST_SERVER_ERROR:
        return []
    return _clear(state, now, send)


def _clear(state: core_state.State, now: float, send: models.Send) -> Effects:
    """Clear a request that was answered, unless it is withheld.

    An answer that crossed the crashes says little: some targets, such as those
    of another version, may survive what crashes others. Trials decide then.
    """
    fingerprint = send.fingerprint
    state.poison.losses.pop(fingerprint, None)
    is_cleared = trials.on_answered(state, now, send)
    if not is_cleared and records.is_confirmed(
        state, now, fingerprint, send.crash_limit
    ):
        return []
    cleared = records.clear(state, now, fingerprint)
    if not cleared:
        return []
    return [
        effects.Count("poison.cleared"),
        effects.LogEvent(
            "crash.cleared",
            details=(
                ("fingerprint", fingerprints.short(fingerprint)),
                ("crashes", len(cleared)),
            ),
        ),
        *replication.announce(state, now, fingerprint, cleared),
    ]


def on_stream_ended(
    state: core_state.State, now: float, event: events.StreamEnded
) -> Effects:
    """Look for a crash after a streamed answer that broke off."""
    send = state.poison.in_flight.pop(event.attempt, None)
    if send is None:
        return []
    if not event.whole:
        trials.on_lost(state, send)
        return evidence.on_loss(state, now, evidence.loss_of(send, now))
    return _clear(state, now, send)


def forget(state: core_state.State, attempt: int) -> None:
    """Forget an attempt whose request was answered by another target."""
    state.poison.in_flight.pop(attempt, None)


def on_abandoned(
    state: core_state.State, now: float, event: events.AttemptAbandoned
) -> Effects:
    """Record an attempt that the entry abandoned without an answer."""
    send = state.poison.in_flight.pop(event.attempt, None)
    if send is None:
        return []
    trials.on_lost(state, send)
    return evidence.record_silence(state, now, send)
