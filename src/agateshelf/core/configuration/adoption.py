"""Activation of configuration versions; the active version never decreases."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content


def request_validation(
    state: core_state.State, new: content.Content
) -> list[effects.Effect]:
    """Request validation of a newer version; it becomes active if valid."""
    cfg = state.configuration
    if new.version <= state.cfg.version or new.version in cfg.validating:
        return []
    cfg.validating[new.version] = new
    return [effects.CheckConfiguration(new.version, tuple(new.parts.values()))]


def on_adopted(state: core_state.State) -> None:
    """Record the content of the version that has just become active."""
    cfg = state.configuration
    version = state.cfg.version
    cfg.active = cfg.validating.get(version)
    cfg.validating = {v: c for v, c in cfg.validating.items() if v > version}
    if cfg.active is not None:
        cfg.recent[version] = cfg.active
    while len(cfg.recent) > const.MAX_REMEMBERED_VERSIONS:
        del cfg.recent[min(cfg.recent)]


def on_invalid(
    state: core_state.State, now: float, event: events.ConfigurationInvalid
) -> list[effects.Effect]:
    """Keep the active version and retry the invalid one after a delay."""
    cfg = state.configuration
    cfg.validating.pop(event.version, None)
    cfg.invalid_until[event.version] = now + const.INVALID_RETRY_SECONDS
    while len(cfg.invalid_until) > const.MAX_REMEMBERED_VERSIONS:
        del cfg.invalid_until[min(cfg.invalid_until)]
    sentence = (
        f"Configuration version {event.version} failed validation: "
        f"{event.detail}."
    )
    return [
        effects.Count("configuration.invalid"),
        effects.LogWarning(sentence),
    ]
