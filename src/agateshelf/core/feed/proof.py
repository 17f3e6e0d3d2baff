"""Proof that the routes in force are the newest ones of the store.

A key may be withdrawn while an entry is cut off. So keys are served only while
the entry has recent proof that it has the newest routes, which lapses by
itself. A read of the store that is not stale proves the routes of the time at
which it began. Whoever gets proof from another entry dates it at the sending of
its own request, so that a delay can only make it older. All times are those of
the entry's own steady clock.
"""

import math

from agateshelf.core import effects
from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core.confirmation import models as confirmation_models
from agateshelf.core.feed import const
from agateshelf.core.feed import messages
from agateshelf.core.feed import models

Effects = list[effects.Effect]

# Answers of an earlier process of this entry must not be taken for own ones.
_TOKEN_BITS = 62


def valid_until(state: core_state.State) -> float:
    """Return the time until which the current proof lets keys be served."""
    if state.revocation_seconds is None:
        return math.inf
    seconds = state.revocation_seconds - const.PROOF_MARGIN_SECONDS
    return state.feed.proven_at + seconds


def permits(state: core_state.State, now: float) -> bool:
    """Return whether keys may be served now."""
    return now <= valid_until(state)


def is_required(state: core_state.State) -> bool:
    """Return whether this entry needs proof, as keys may be withdrawn."""
    table = state.routes.table
    if state.revocation_seconds is None or table is None:
        return False
    return table.workspaces is not None


def age_of(state: core_state.State, now: float) -> float | None:
    """Return the age of the proof in seconds; None without a valid one."""
    if state.revocation_seconds is None or not permits(state, now):
        return None
    return max(0.0, now - state.feed.proven_at)


def create_token(state: core_state.State, now: float) -> int:
    """Return the token of a request for proof that is sent now."""
    proof = state.feed.proof
    oldest = now - (state.revocation_seconds or const.TOKEN_SECONDS)
    proof.tokens = {t: at for t, at in proof.tokens.items() if at >= oldest}
    token = state.rng.getrandbits(_TOKEN_BITS) + 1
    proof.tokens[token] = now
    return token


def on_answer(
    state: core_state.State, now: float, update: messages.FeedUpdate
) -> None:
    """Record the proof of another entry, after its routes were adopted.

    An answer that has none, or only an old one, lets the next entry be asked.
    """
    feed = state.feed
    sent_at = feed.proof.tokens.pop(update.token, None)
    if sent_at is None:
        return
    is_proof = _is_proof(state, update)
    if is_proof and update.proof_age is not None:
        _record(state, sent_at - update.proof_age)
    if now - feed.proven_at <= const.MAX_ANSWERED_PROOF_SECONDS:
        feed.proof.stage = models.ProofStage.IDLE
    elif sent_at == feed.proof.asked_at:
        feed.proof.asked_at = -math.inf


def confirm(state: core_state.State, at: float) -> None:
    """Note that the routes in force were the newest ones at a time.

    It is no proof: whoever told it may have relied on what others announced.
    """
    feed = state.feed
    feed.confirmed_at = max(feed.confirmed_at, at)
    _tell_confirmed(state)


def _tell_confirmed(state: core_state.State) -> None:
    if state.confirmation.held:
        state.pending_events.append(confirmation_models.RoutesConfirmed())


def _is_proof(state: core_state.State, update: messages.FeedUpdate) -> bool:
    table = state.routes.table
    age = update.proof_age
    if table is None or age is None or not (math.isfinite(age) and age >= 0):
        return False
    if not 0 < update.proof_at <= table.revision:
        return False
    # A restored store may lack what was written before.
    era = positions.era_of(update.proof_at)
    return era == positions.era_of(table.revision)


def _record(state: core_state.State, at: float) -> None:
    state.feed.proven_at = max(state.feed.proven_at, at)
    _tell_confirmed(state)


def note_era(state: core_state.State, now: float, position: int) -> None:
    """Note the era in which the store answered.

    What was written since the copy from which it came back is missing until it
    is written again. Whether a later era than the first one has just begun is
    not known to an entry that sees its first.
    """
    proof = state.feed.proof
    era = positions.era_of(position)
    if era > (proof.era or 0):
        proof.proven_revision = 0
        proof.counts_from = now + const.RESTORED_PROOF_SECONDS
    proof.era = max(era, proof.era or 0)


def on_store_read(
    state: core_state.State,
    now: float,
    began: float,
    answer: models.Snapshot,
) -> None:
    """Record the proof of a read that is not stale, after it was adopted.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        began: Time at which the read began.
        answer: What was read.
    """
    proof = state.feed.proof
    note_era(state, now, answer.revision)
    if positions.era_of(answer.revision) != proof.era:
        return
    if began < proof.counts_from:
        return
    # Routes that can't be read leave those before in force, which may have keys
    # that the unreadable ones withdraw.
    if answer.table is None or state.routes.table is None:
        return
    # Routes that were written later than those in force, but not adopted.
    if answer.table.revision > state.routes.table.revision:
        return
    proof.proven_revision = answer.revision
    _record_read(state, now, began)


def on_store_changes(
    state: core_state.State,
    now: float,
    began: float,
    answer: models.Changes,
) -> None:
    """Record the proof of a check for changes, after these were adopted.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        began: Time at which the check began.
        answer: What has changed since the routes were last proven.
    """
    note_era(state, now, answer.revision)
    if note_changes(state, answer) and began >= state.feed.proof.counts_from:
        _record_read(state, now, began)


def note_changes(state: core_state.State, answer: models.Changes) -> bool:
    """Return whether the routes in force are the newest ones after changes.

    The changes are all since `proven_revision`, which is moved on.
    """
    proof = state.feed.proof
    table = state.routes.table
    is_same_era = positions.era_of(answer.revision) == proof.era
    is_newest = not answer.is_unreadable and (
        answer.table is None
        or (table is not None and answer.table.revision <= table.revision)
    )
    if not is_same_era or not is_newest or not proof.proven_revision:
        proof.proven_revision = 0
        return False
    proof.proven_revision = max(proof.proven_revision, answer.revision)
    return True


def _record_read(state: core_state.State, now: float, began: float) -> None:
    _record(state, began)
    if now - state.feed.proven_at <= const.MAX_ANSWERED_PROOF_SECONDS:
        state.feed.proof.stage = models.ProofStage.IDLE


def on_suspended(state: core_state.State, seconds: float) -> Effects:
    """Age the proof, and the requests for it, by the time of a suspension."""
    feed = state.feed
    feed.proven_at -= seconds
    feed.confirmed_at -= seconds
    feed.proof.tokens = {
        token: at - seconds for token, at in feed.proof.tokens.items()
    }
    feed.proof.reads = {
        number: at - seconds for number, at in feed.proof.reads.items()
    }
    details = (("seconds", round(seconds, 3)),)
    return [effects.LogEvent("entry.suspended", details=details)]
