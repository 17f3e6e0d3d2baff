"""Remembers which owners said that they are late.

Answers an owner that can't keep up, as it is small, slowed down or has a burst.
It would be taken for silent by all entries, each of which had to wait for it
first, and dispatch without knowledge of any load. Instead, entries ask the
successor for a while, which gets longer each time: an owner without requests
is not late, and would get them back too soon.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import view
from agateshelf.core.overload import const
from agateshelf.core.overload import delays
from agateshelf.core.overload import models


def note(
    state: core_state.State, now: float, owner: str, late: float
) -> list[effects.Effect]:
    """Note a delay that an owner told; log that it isn't asked for a while.

    Returns:
        The log event; empty if the owner is not asked already.
    """
    reliefs = state.overload.reliefs
    known = reliefs.get(owner)
    seconds = const.RELIEF_SECONDS
    if known is not None:
        if known.until > now:
            known.late = late
            return []
        if now - known.until <= const.RELIEF_FORGOTTEN_SECONDS:
            seconds = min(2 * known.seconds, const.MAX_RELIEF_SECONDS)
    reliefs[owner] = models.Relief(now + seconds, seconds, late)
    details = (
        ("home", owner),
        ("late_ms", round(1000 * late, 1)),
        ("seconds", seconds),
    )
    return [effects.LogEvent("home.relieved", details=details)]


def is_late(state: core_state.State, now: float, entry: str) -> bool:
    """Return whether an entry should not be asked as an owner for now."""
    if entry == state.identity.entry:
        return delays.seconds(state, now) >= const.OVERLOAD_SECONDS
    relief = state.overload.reliefs.get(entry)
    return relief is not None and relief.until > now


def on_entries(state: core_state.State) -> None:
    """Forget owners that have gone."""
    live = set(view.live_entries(state))
    for entry in state.overload.reliefs.keys() - live:
        del state.overload.reliefs[entry]
