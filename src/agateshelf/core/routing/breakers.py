"""Circuit breakers: stop sending to a failing target, and try it again later.

An open breaker lets a single trial call through at a time; its result closes
the breaker or opens it again for longer.
"""

import math
import random

from agateshelf.core.routing import const
from agateshelf.core.routing import models

_FAILURES = (
    models.Ending.ERROR,
    models.Ending.REFUSED,
    models.Ending.UNREACHABLE,
)


def error_rate(view: models.TargetView, now: float) -> float:
    """Return the damped share of errors among a target's recent results."""
    _decay(view, now)
    return view.errors / (view.errors + view.successes + const.ERROR_PRIOR)


def _decay(view: models.TargetView, now: float) -> None:
    elapsed = now - view.errors_decayed_at
    if elapsed <= 0:
        return
    view.errors_decayed_at = now
    if view.errors < _NEGLIGIBLE:
        view.errors = 0.0
    decay = math.exp(-elapsed / const.ERROR_DECAY_SECONDS)
    view.errors *= decay
    view.successes *= decay


# Decayed errors below this count as none.
_NEGLIGIBLE = 0.01


def record_ending(
    view: models.TargetView,
    now: float,
    ending: models.Ending,
    rng: random.Random,
    *,
    trial: bool,
) -> bool:
    """Record how an attempt ended; return whether the breaker changed."""
    breaker = view.breaker
    if trial:
        breaker.in_trial = False
    if ending in _FAILURES:
        _decay(view, now)
        view.errors += 1
        breaker.consecutive_errors += 1
        return _open_if_due(breaker, now, rng, trial=trial)
    if ending is models.Ending.ANSWERED:
        _decay(view, now)
        view.successes += 1
        breaker.consecutive_errors = 0
        return _close(view, now)
    return False


def _open_if_due(
    breaker: models.Breaker, now: float, rng: random.Random, *, trial: bool
) -> bool:
    if breaker.open_until is not None and not trial:
        return False
    if not trial and breaker.consecutive_errors < const.ERRORS_TO_OPEN:
        return False
    jitter = 1 + const.OPEN_JITTER * rng.random()
    breaker.open_until = now + breaker.next_open_seconds * jitter
    breaker.next_open_seconds = min(
        breaker.next_open_seconds * 2, const.MAX_OPEN_SECONDS
    )
    return True


def _close(view: models.TargetView, now: float) -> bool:
    breaker = view.breaker
    if breaker.open_until is None:
        return False
    breaker.open_until = None
    breaker.next_open_seconds = const.INITIAL_OPEN_SECONDS
    view.errors = 0.0
    view.warm_at = now + const.WARMUP_SECONDS
    return True


def apply_peer_state(
    view: models.TargetView, now: float, open_seconds: float
) -> None:
    """Apply the state of a target's breaker that another entry reports."""
    if open_seconds <= 0:
        _close(view, now)
        return
    view.breaker.open_until = now + open_seconds


def allows(
    view: models.TargetView, now: float, request: models.PlacementRequest
) -> bool:
    """Return whether a call may go to a target, including as a trial.

    A call that can't be retried is a poor trial, since its failure reaches the
    caller. It is sent only if no other call was tried for a further
    `next_open_seconds`.
    """
    breaker = view.breaker
    if breaker.open_until is None:
        return True
    if breaker.in_trial or request.hedge:
        return False
    if request.idempotent:
        return now >= breaker.open_until
    return now >= breaker.open_until + breaker.next_open_seconds


def update_unavailable(
    service_view: models.ServiceView, view: models.TargetView
) -> None:
    """Add a target to the unavailable ones of its service, or remove it."""
    if view.is_draining or view.breaker.open_until is not None:
        service_view.unavailable.add(view.target.id)
        return
    service_view.unavailable.discard(view.target.id)


def in_panic_mode(service_view: models.ServiceView) -> bool:
    """Return whether so many breakers are open that they are ignored.

    If most targets really fail, there is no better target to use. If they do
    not, sending all load to the few that look healthy would overload them too.
    """
    if not service_view.unavailable:
        return False
    opened = sum(
        1
        for name in service_view.unavailable
        if service_view.views[name].breaker.open_until is not None
    )
    return opened > len(service_view.targets) * const.PANIC_THRESHOLD
