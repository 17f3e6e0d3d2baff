"""How a content comes into force, and never an older one after it."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content


def propose(
    state: core_state.State, new: content.Content
) -> list[effects.Effect]:
    """Have a newer content checked by the border; then it comes into force."""
    cfg = state.configuration
    if new.version <= state.cfg.version or new.version in cfg.checking:
        return []
    cfg.checking[new.version] = new
    return [effects.CheckConfiguration(new.version, tuple(new.parts.values()))]


def on_adopted(state: core_state.State) -> None:
    """Keep the content of the version now in force."""
    cfg = state.configuration
    version = state.cfg.version
    cfg.in_force = cfg.checking.get(version)
    cfg.checking = {v: c for v, c in cfg.checking.items() if v > version}
    if cfg.in_force is not None:
        cfg.manifests[version] = cfg.in_force
    while len(cfg.manifests) > const.MAX_REMEMBERED_VERSIONS:
        del cfg.manifests[min(cfg.manifests)]


def on_invalid(
    state: core_state.State, now: float, event: events.ConfigurationInvalid
) -> list[effects.Effect]:
    """Keep what is in force; try the refused version again much later."""
    cfg = state.configuration
    cfg.checking.pop(event.version, None)
    cfg.invalid[event.version] = now + const.INVALID_RETRY_SECONDS
    while len(cfg.invalid) > const.MAX_REMEMBERED_VERSIONS:
        del cfg.invalid[min(cfg.invalid)]
    sentence = f"Version {event.version} is not valid here: {event.detail}."
    return [
        effects.Count("configuration.invalid"),
        effects.LogWarning(sentence),
    ]
