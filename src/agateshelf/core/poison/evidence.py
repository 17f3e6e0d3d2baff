"""Decides which lost or unanswered attempts were crashes of their targets.

A lost connection alone proves nothing: answers get lost, and overloaded targets
reset connections. It counts as a crash once the target's process is known to
have ended: it refuses connections, is registered with a later start, its
address belongs to another target, or its registration was removed and it
answers no connection. A target that only keeps silent is suspected for some
seconds. The evidence may come before the loss, after it, or while a silent
target's attempt is still in flight.
"""

from collections import abc
import dataclasses
import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.directory import models as directory_models
from agateshelf.core.poison import const
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import models
from agateshelf.core.poison import records
from agateshelf.core.poison import replication
from agateshelf.core.reach import detection

Effects = list[effects.Effect]
Matches = abc.Callable[[models.Send], bool]

_NONCE_BYTES = 6


def loss_of(
    send: models.Send, now: float, *, kept_connection: bool = False
) -> models.Loss:
    """Return the loss of a send that ended now."""
    until = now + const.LOSS_TTL_SECONDS
    return models.Loss(send, now, until, kept_connection)


def on_loss(state: core_state.State, now: float, loss: models.Loss) -> Effects:
    """Count a loss whose target has ended; record and check any other."""
    send = loss.send
    registration = state.directory.targets.get(send.target)
    if registration is not None and registration.draining:
        return []
    emitted: Effects = [_possible_crash_event(loss)]
    if _is_known_ended(state, send):
        return [*emitted, *_confirm(state, now, send, "registration")]
    _record(state, now, loss)
    return [*emitted, *_start_checks(state, now, send)]


def record_silence(
    state: core_state.State, now: float, send: models.Send
) -> Effects:
    """Record an attempt that was abandoned without an answer.

    Its target is checked only if the platform reports on targets, since silence
    alone never confirms a crash.
    """
    _record(state, now, loss_of(send, now))
    is_long = now - send.sent_at >= const.UNANSWERED_CHECK_SECONDS
    if not is_long or not state.feed.enabled:
        return []
    return _check(state, now, send)


def _possible_crash_event(loss: models.Loss) -> effects.LogEvent:
    send = loss.send
    return effects.LogEvent(
        "crash.possible",
        send.request_id,
        (
            ("fingerprint", fingerprints.short(send.fingerprint)),
            ("caller", send.caller),
            ("target", send.target),
            ("born", send.born),
            ("kept_connection", loss.kept_connection),
        ),
    )


def _record(state: core_state.State, now: float, loss: models.Loss) -> None:
    losses = state.poison.losses
    while losses and next(iter(losses.values()))[-1].until <= now:
        losses.popitem(last=False)
    of_request = losses.setdefault(loss.send.fingerprint, [])
    of_request.append(loss)
    del of_request[: -const.MAX_LOSSES_PER_REQUEST]
    losses.move_to_end(loss.send.fingerprint)
    if len(losses) > const.MAX_LOSSES:
        losses.popitem(last=False)


def on_not_connected(
    state: core_state.State, now: float, send: models.Send
) -> Effects:
    """Check a target that was not reached if it has losses."""
    if not _losses_at(state, now, send.target):
        return []
    return _start_checks(state, now, send)


def _start_checks(
    state: core_state.State, now: float, send: models.Send
) -> Effects:
    """Check a target now and some more times soon, unless that is under way."""
    emitted = _check(state, now, send)
    if emitted:
        due = models.TargetCheckDue(send.target, send.address)
        for delay in const.CHECK_DELAYS_SECONDS:
            timers.schedule(state.timers, now + delay, due)
    return emitted


def _check(state: core_state.State, now: float, send: models.Send) -> Effects:
    checked_at = state.poison.checked_at
    if now - checked_at.get(send.target, -math.inf) < max(
        const.CHECK_DELAYS_SECONDS
    ):
        return []
    if len(checked_at) >= const.MAX_LOSSES:
        checked_at.clear()
    checked_at[send.target] = now
    return [effects.CheckTarget(send.target, send.address)]


def on_check_due(
    state: core_state.State, now: float, event: models.TargetCheckDue
) -> Effects:
    """Check a target again while it has losses without evidence (timer)."""
    if not _losses_at(state, now, event.target):
        return []
    return [effects.CheckTarget(event.target, event.address)]


def _losses(
    state: core_state.State, now: float, matches: Matches
) -> list[models.Loss]:
    return [
        loss
        for losses in state.poison.losses.values()
        for loss in losses
        if loss.until > now and matches(loss.send)
    ]


def _losses_at(
    state: core_state.State, now: float, target: str
) -> list[models.Loss]:
    return _losses(state, now, lambda send: send.target == target)


def on_refused(state: core_state.State, now: float, target: str) -> Effects:
    """Count the recent losses at a target that refuses connections.

    If its registration is gone as well, what is in flight there counts too.
    """
    registration = state.directory.targets.get(target)
    if registration is not None and registration.draining:
        return []
    if registration is not None and detection.is_in_doubt(
        state, registration.service, target
    ):
        state.poison.doubtful.add(target)
        return []
    if registration is not None and detection.is_cut(
        state, registration.service
    ):
        return []
    oldest = now - const.CONFIRM_SECONDS
    sends = [
        loss.send
        for loss in _losses_at(state, now, target)
        if loss.lost_at >= oldest
    ]
    if _is_removed(state, target):
        sends.extend(_in_flight(state, lambda send: send.target == target))
    return _confirm_all(state, now, sends, "refused")


def on_reach_judged(
    state: core_state.State, now: float, event: events.ReachJudged
) -> Effects:
    """Count or drop what was refused before it was known why."""
    targets = {
        target
        for target in state.poison.doubtful
        if target not in state.directory.targets
        or state.directory.targets[target].service == event.service
    }
    state.poison.doubtful -= targets
    if event.is_cut:
        return []
    return [
        effect
        for target in sorted(targets)
        for effect in on_refused(state, now, target)
    ]


def on_silent(state: core_state.State, now: float, target: str) -> Effects:
    """Suspect a target that answers no connection; if removed, it has ended."""
    registration = state.directory.targets.get(target)
    if registration is not None and registration.draining:
        return []
    sends = [loss.send for loss in _losses_at(state, now, target)]
    if _is_removed(state, target):
        sends.extend(_in_flight(state, lambda send: send.target == target))
        return _confirm_all(state, now, sends, "removed")
    emitted: Effects = []
    for send in sends:
        # An entry that gets no answers at all may be cut off itself.
        if state.poison.answered_at <= send.sent_at:
            continue
        emitted.extend(
            _count(state, now, send, models.Status.SUSPECTED, "silent")
        )
    return emitted


def _is_removed(state: core_state.State, target: str) -> bool:
    return state.feed.enabled and target not in state.directory.targets


def on_targets_changed(
    state: core_state.State, now: float, event: events.TargetsChanged
) -> Effects:
    """Count the losses and sends in flight at targets that have ended."""
    poison = state.poison
    if not (poison.losses or poison.in_flight or poison.suspects):
        return []
    emitted: Effects = []
    suspected = records.suspected_crashes(state)
    for target in event.targets:
        registration = state.directory.targets.get(target)
        for fingerprint, process in suspected.get(target, ()):
            if registration is None or records.is_earlier(
                process, registration
            ):
                emitted.extend(
                    _confirm_suspected(state, now, fingerprint, process)
                )
        if registration is None:
            emitted.extend(_on_removed(state, now, target))
        elif registration.draining:
            _drop_target(state, now, target)
        else:
            emitted.extend(_on_registered(state, now, registration))
    return emitted


def _confirm_suspected(
    state: core_state.State,
    now: float,
    fingerprint: bytes,
    process: models.Process,
) -> Effects:
    """Confirm a crash that this entry or another one suspected.

    All entries do so when they learn of the registration, so that nothing is
    announced, and the entry that suspected it need not be there any more.
    """
    confirmed = models.Status.CONFIRMED
    ttl = const.CRASH_TTL_SECONDS
    if not records.merge(state, now, fingerprint, process, confirmed, ttl):
        return []
    return [
        replication.log_event_of(
            state,
            now,
            "crash.counted",
            fingerprint,
            process,
            ("status", confirmed.name.lower()),
            ("evidence", "registration"),
        )
    ]


def _on_removed(state: core_state.State, now: float, target: str) -> Effects:
    """Check a removed target, which may only be cut off from the platform."""
    sends = [
        *(loss.send for loss in _losses_at(state, now, target)),
        *_in_flight(state, lambda send: send.target == target),
    ]
    if not sends:
        return []
    latest = max(sends, key=lambda send: send.sent_at)
    if _is_known_ended(state, latest):
        return _confirm_all(state, now, sends, "registration")
    return [effects.CheckTarget(target, latest.address)]


def _drop_target(state: core_state.State, now: float, target: str) -> None:
    """Drop what may be lost at a draining target: its end is planned."""
    for send in _in_flight(state, lambda send: send.target == target):
        del state.poison.in_flight[send.attempt]
    for loss in _losses_at(state, now, target):
        _drop_loss(state, loss.send)


def _on_registered(
    state: core_state.State,
    now: float,
    registration: directory_models.Registration,
) -> Effects:
    def has_ended(send: models.Send) -> bool:
        return _is_replaced_by(send, registration)

    sends = [loss.send for loss in _losses(state, now, has_ended)]
    sends.extend(_in_flight(state, has_ended))
    return _confirm_all(state, now, sends, "registration")


def _is_replaced_by(
    send: models.Send, registration: directory_models.Registration
) -> bool:
    """Return whether a registration shows that a send's process has ended."""
    if send.target != registration.id:
        return (
            send.address == registration.address
            and registration.revision > send.revision > 0
        )
    return records.is_earlier(_process_of(send), registration)


def _is_known_ended(state: core_state.State, send: models.Send) -> bool:
    registration = state.directory.targets.get(send.target)
    if registration is not None:
        return _is_replaced_by(send, registration)
    return any(
        _is_replaced_by(send, other)
        for other in state.directory.targets.values()
    )


def _in_flight(state: core_state.State, matches: Matches) -> list[models.Send]:
    return [send for send in state.poison.in_flight.values() if matches(send)]


def on_misdirected(
    state: core_state.State, now: float, send: models.Send
) -> Effects:
    """Count the losses at a target whose address another one answers on."""
    sends = [
        loss.send
        for loss in _losses_at(state, now, send.target)
        if loss.send.address == send.address
    ]
    return _confirm_all(state, now, sends, "misdirected")


def confirm_recent(
    state: core_state.State, now: float, target: str, within: float
) -> Effects:
    """Count the losses at a target within some seconds as crashes."""
    sends = [
        loss.send
        for loss in _losses_at(state, now, target)
        if now - loss.lost_at <= within
    ]
    return _confirm_all(state, now, sends, "concurrent")


def confirm_loss(
    state: core_state.State, now: float, loss: models.Loss
) -> Effects:
    """Count a loss as a crash by itself."""
    return _confirm(state, now, loss.send, "new connection")


def _confirm_all(
    state: core_state.State,
    now: float,
    sends: abc.Iterable[models.Send],
    evidence: str,
) -> Effects:
    emitted: Effects = []
    for send in sends:
        emitted.extend(_confirm(state, now, send, evidence))
    return emitted


def _confirm(
    state: core_state.State, now: float, send: models.Send, evidence: str
) -> Effects:
    _drop_loss(state, send)
    return _count(state, now, send, models.Status.CONFIRMED, evidence)


def _drop_loss(state: core_state.State, send: models.Send) -> None:
    losses = state.poison.losses
    kept = [
        loss
        for loss in losses.pop(send.fingerprint, [])
        if loss.send.attempt != send.attempt
    ]
    if kept:
        losses[send.fingerprint] = kept


def _count(
    state: core_state.State,
    now: float,
    send: models.Send,
    status: models.Status,
    evidence: str,
) -> Effects:
    ttl = const.CRASH_TTL_SECONDS
    if status is models.Status.SUSPECTED:
        ttl = const.SUSPICION_SECONDS
    process = _crashed_process(state, send)
    if not records.merge(state, now, send.fingerprint, process, status, ttl):
        return []
    emitted: Effects = []
    if status is models.Status.CONFIRMED:
        emitted.append(effects.Count("poison.crashes"))
    return [
        *emitted,
        replication.log_event_of(
            state,
            now,
            "crash.counted",
            send.fingerprint,
            process,
            ("status", status.name.lower()),
            ("evidence", evidence),
        ),
        *replication.announce(state, now, send.fingerprint, (process,)),
    ]


def _process_of(send: models.Send) -> models.Process:
    return models.Process(send.target, send.born)


def _crashed_process(
    state: core_state.State, send: models.Send
) -> models.Process:
    """Return the process that a send crashed, by its name at all entries.

    A send after its process was found to have ended went to a process whose
    start isn't known yet, and is told apart by the attempt.
    """
    poison = state.poison
    process = _process_of(send)
    ended_at = poison.ended.get(process)
    if ended_at is None or send.sent_at <= ended_at:
        return process
    if not poison.process_nonce:
        poison.process_nonce = state.rng.randbytes(_NONCE_BYTES).hex()
    nonce = f"{poison.process_nonce}-{send.attempt}"
    return dataclasses.replace(process, nonce=nonce)
