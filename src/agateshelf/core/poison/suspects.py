"""Suspects: bounded in number, expiring, and shared between entries."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.peers import models as peer_models
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models

_LOGGED_FINGERPRINT_BYTES = 4


def find(
    state: core_state.State, now: float, fingerprint: bytes
) -> models.Suspect | None:
    """Return the suspect with a fingerprint unless it has expired."""
    suspect = state.poison.suspects.get(fingerprint)
    if suspect is None or suspect.until <= now:
        return None
    return suspect


def add_crash(
    state: core_state.State, now: float, fingerprint: bytes, crash: str
) -> bool:
    """Add a crash to a suspect; return whether it was new."""
    suspects = state.poison.suspects
    suspect = find(state, now, fingerprint)
    if suspect is not None and crash in suspect.crashes:
        return False
    if suspect is None:
        suspect = models.Suspect(set(), 0.0)
        suspects[fingerprint] = suspect
    suspect.crashes.add(crash)
    suspect.until = now + const.SUSPECT_TTL_SECONDS
    suspects.move_to_end(fingerprint)
    if len(suspects) > const.MAX_SUSPECTS:
        suspects.popitem(last=False)
    return True


def clear(
    state: core_state.State, now: float, fingerprint: bytes
) -> list[effects.Effect]:
    """Remove a suspect here and at other entries."""
    if state.poison.suspects.pop(fingerprint, None) is None:
        return []
    message = messages.SuspectCleared(fingerprint)
    emitted: list[effects.Effect] = [
        effects.Count("poison.cleared"),
        effects.LogEvent(
            "crash.cleared", details=(("fingerprint", short(fingerprint)),)
        ),
    ]
    emitted.extend(broadcast(state, now, message))
    return emitted


def on_message(
    state: core_state.State,
    now: float,
    message: messages.CrashSeen | messages.SuspectCleared,
) -> list[effects.Effect]:
    """Add a crash, or remove a suspect, as reported by another entry."""
    match message:
        case messages.CrashSeen(fingerprint, crash):
            if add_crash(state, now, fingerprint, crash):
                return [
                    log_event_of(
                        state, now, "crash.reported", fingerprint, crash
                    )
                ]
        case messages.SuspectCleared(fingerprint):
            state.poison.suspects.pop(fingerprint, None)
    return []


def short(fingerprint: bytes) -> str:
    """Return the start of a fingerprint, which joins log lines."""
    return fingerprint[:_LOGGED_FINGERPRINT_BYTES].hex()


def log_event_of(
    state: core_state.State,
    now: float,
    name: str,
    fingerprint: bytes,
    crash: str,
) -> effects.LogEvent:
    """Return the log event of a crash, with the number known so far."""
    suspect = find(state, now, fingerprint)
    return effects.LogEvent(
        name,
        details=(
            ("fingerprint", short(fingerprint)),
            ("crash", crash),
            ("crashes", 0 if suspect is None else len(suspect.crashes)),
        ),
    )


def broadcast(
    state: core_state.State, now: float, message: peer_models.PeerMessage
) -> list[effects.Effect]:
    """Send a message to all other entries, within the rate limit."""
    peers = tuple(
        entry
        for entry in state.membership.failure_domains
        if entry != state.identity.entry
    )
    if not peers:
        return []
    if not _take_token(state.poison, now):
        return [
            effects.Count("poison.unsent"),
            effects.LogEvent(
                "crash.unsent",
                details=(("message", type(message).__name__),),
            ),
        ]
    return [effects.SendToPeers(peers, message)]


def _take_token(poison: models.PoisonState, now: float) -> bool:
    gained = (now - poison.refilled) * const.MESSAGES_PER_SECOND
    poison.tokens = min(const.MESSAGE_BURST, poison.tokens + gained)
    poison.refilled = now
    if poison.tokens < 1.0:
        return False
    poison.tokens -= 1.0
    return True
