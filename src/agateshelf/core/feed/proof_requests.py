"""Asks for proof of the routes: the reader, another entry, then the store.

An entry that the store turns away, or whose reader is lost, thus goes on for as
long as any other entry has proof.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import proof
from agateshelf.core.feed import relaying
from agateshelf.core.feed import sending
from agateshelf.core.membership import builds

Effects = list[effects.Effect]
_Stage = models.ProofStage


def on_due(state: core_state.State, now: float) -> Effects:
    """Ask for proof at regular intervals, and the next one after silence."""
    if not proof.is_required(state):
        return []
    asked = state.feed.proof
    now_rounded = now + const.TIMER_TOLERANCE_SECONDS
    if asked.stage is not _Stage.IDLE:
        if now_rounded < asked.asked_at + const.PROOF_ANSWER_SECONDS:
            return []
        if asked.stage is not _Stage.STORE:
            return _ask_next(state, now)
        asked.stage = _Stage.IDLE
    if _proves_itself(state, now):
        return []
    if now_rounded < asked.next_at and not _is_old(state, now):
        return []
    return _ask(state, now)


def on_changed(state: core_state.State, now: float) -> Effects:
    """Ask at once after the first routes or peers have become known."""
    if not proof.is_required(state) or proof.permits(state, now):
        return []
    is_idle = state.feed.proof.stage is _Stage.IDLE
    if not is_idle or now < state.feed.proof.next_at or not _others(state):
        return []
    return _ask(state, now)


def _proves_itself(state: core_state.State, now: float) -> bool:
    """Return whether this entry's checks as a reader prove its routes."""
    return state.feed.is_reader and not _is_old(state, now)


def _is_old(state: core_state.State, now: float) -> bool:
    """Return whether the proof is older than answers usually leave it.

    Where the store turns readers away, those that are asked may have no newer
    proof, so that others are asked without waiting for the next interval.
    """
    return now - state.feed.proven_at >= const.MAX_READER_PROOF_SECONDS


def _ask(state: core_state.State, now: float) -> Effects:
    feed = state.feed
    feed.proof.next_at = now + const.PROOF_REQUEST_SECONDS
    asked = builds.survey(state)
    if not feed.is_reader and feed.reader in relaying.neighbours(state):
        return [*asked, *_send(state, now, _Stage.READER, feed.reader)]
    return [*asked, *_ask_other(state, now)]


def _ask_next(state: core_state.State, now: float) -> Effects:
    if state.feed.proof.stage is _Stage.READER:
        return _ask_other(state, now)
    return _ask_store(state, now)


def _ask_other(state: core_state.State, now: float) -> Effects:
    others = _others(state)
    if not others:
        return _ask_store(state, now)
    return _send(state, now, _Stage.OTHER, state.rng.choice(others))


def _others(state: core_state.State) -> list[str]:
    """Return the entries of other failure domains; if none, the neighbours.

    Entries that are known to be of a build that proves nothing are left out,
    so that an entry which the store turns away soon finds one that does.
    """
    domains = state.membership.failure_domains
    others = sorted(
        entry
        for entry, domain in domains.items()
        if domain != state.identity.failure_domain
        and not builds.is_earlier(state, entry)
    )
    return others or [
        entry
        for entry in relaying.neighbours(state)
        if not builds.is_earlier(state, entry)
    ]


def _send(
    state: core_state.State, now: float, stage: models.ProofStage, entry: str
) -> Effects:
    state.feed.proof.stage = stage
    state.feed.proof.asked_at = now
    token = proof.create_token(state, now)
    return sending.send([entry], sending.create_request(state, token))


def _ask_store(state: core_state.State, now: float) -> Effects:
    state.feed.proof.stage = _Stage.STORE
    state.feed.proof.asked_at = now
    return read_store(state, now)


def read_store(state: core_state.State, now: float) -> Effects:
    """Read the store for this entry alone, at most once a second."""
    feed = state.feed
    if now + const.TIMER_TOLERANCE_SECONDS < feed.proof.read_at:
        return []
    feed.proof.read_at = now + const.OWN_READ_SECONDS
    feed.last_request += 1
    feed.proof.reads[feed.last_request] = now
    return [
        effects.ReadFeed(
            feed.last_request,
            models.Topic.ROUTES,
            stale=False,
            timeout=const.READ_TIMEOUT_SECONDS,
        )
    ]
