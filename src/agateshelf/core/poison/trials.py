"""Lets a withheld request show that it crashes nothing.

Answers the load of a request that many callers send, and that ran on targets
which ended for another reason: the loss of a rack, or a crashing request beside
it. It would be refused to all of them for as long as one that is to blame. So a
single copy is sent now and then, by one entry for all, with pauses that grow
with each crash. As soon as enough copies in a row are answered, the request is
cleared everywhere.
"""

import dataclasses
import itertools

import xxhash

from agateshelf.core import state as core_state
from agateshelf.core.membership import view
from agateshelf.core.poison import const
from agateshelf.core.poison import models
from agateshelf.core.poison import records


def next_at(state: core_state.State, now: float, fingerprint: bytes) -> float:
    """Return the time of the next trial of a request, in seconds.

    It follows from the crashes alone, so that all entries know it.
    """
    found_at = sorted(
        _found_at(crash)
        for crash in records.active_crashes(state, now, fingerprint)
    )
    if not found_at:
        return now
    pauses = sum(
        later - earlier >= const.TRIAL_PAUSE_SECONDS
        for earlier, later in itertools.pairwise(found_at)
    )
    return found_at[-1] + _pause_after(pauses)


def _found_at(crash: models.Crash) -> float:
    if crash.status is models.Status.SUSPECTED:
        return crash.until - const.SUSPICION_SECONDS
    return crash.until - const.CRASH_TTL_SECONDS


def _pause_after(failed: int) -> float:
    return const.TRIAL_PAUSE_SECONDS * const.TRIAL_PAUSE_FACTOR**failed


def is_due(state: core_state.State, now: float, fingerprint: bytes) -> bool:
    """Return whether this entry may send a copy of a withheld request now."""
    if not _is_chosen(state, fingerprint):
        return False
    trial = state.poison.trials.get(fingerprint)
    if trial is not None:
        is_running = trial.attempt in state.poison.in_flight
        if is_running or now < trial.retry_at:
            return False
        if trial.answered:
            return True
    return now >= next_at(state, now, fingerprint)


def _is_chosen(state: core_state.State, fingerprint: bytes) -> bool:
    """Return whether this entry is the one that tries a request for all.

    An entry that has just started may not know the others yet.
    """
    if state.membership.probe_rounds < const.RELAY_AFTER_ROUNDS:
        return False
    chosen = max(
        view.live_entries(state),
        key=lambda entry: xxhash.xxh64_intdigest(fingerprint + entry.encode()),
    )
    return chosen == state.identity.entry


def begin(state: core_state.State, now: float, send: models.Send) -> None:
    """Record the send of a trial."""
    trials = state.poison.trials
    before = trials.pop(send.fingerprint, models.Trial(send.attempt))
    if len(trials) >= const.MAX_TRIALS:
        del trials[next(iter(trials))]
    trials[send.fingerprint] = dataclasses.replace(
        before,
        attempt=send.attempt,
        retry_at=now + _pause_after(before.failed),
        failed=before.failed + 1,
    )


def is_trial(state: core_state.State, send: models.Send) -> bool:
    """Return whether a send is the latest trial of its request."""
    trial = state.poison.trials.get(send.fingerprint)
    return trial is not None and trial.attempt == send.attempt


def on_not_run(state: core_state.State, now: float, send: models.Send) -> None:
    """Repeat a trial soon that said nothing about the request."""
    if not is_trial(state, send):
        return
    trial = state.poison.trials[send.fingerprint]
    trial.failed -= 1
    trial.retry_at = now + const.TRIAL_RETRY_SECONDS


def on_answered(state: core_state.State, now: float, send: models.Send) -> bool:
    """Record a good answer to a trial; return whether it clears the request.

    As many answers in a row are needed as crashes withhold a request: some
    targets, such as those of another version, may survive what crashes others.
    """
    if not is_trial(state, send):
        return False
    trial = state.poison.trials[send.fingerprint]
    trial.answered += 1
    trial.failed -= 1
    trial.retry_at = now
    if trial.answered < send.crash_limit:
        return False
    del state.poison.trials[send.fingerprint]
    return True


def on_lost(state: core_state.State, send: models.Send) -> None:
    """Begin anew with the answers in a row after a trial without one."""
    if is_trial(state, send):
        state.poison.trials[send.fingerprint].answered = 0
