"""Reading the configuration from the store.

Only a few entries watch the store, chosen by a hash over the live entries.
Each judges alone: two that disagree cost a few calls and nothing else.
"""

import dataclasses

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import spread_models
from agateshelf.core.membership import view

_WATCH_PURPOSE = "watch"


def begin(state: core_state.State, now: float) -> None:
    """Schedule the first reading; peers get the time to answer before."""
    delay = 0.0
    if state.membership.contacts:
        delay = const.START_GRACE_SECONDS * state.rng.uniform(1.0, 2.0)
    _schedule(state, now + delay)


def _schedule(state: core_state.State, at: float) -> None:
    state.configuration.follow_serial += 1
    event = models.StoreReadDue(state.configuration.follow_serial)
    timers.schedule(state.timers, at, event)


def is_watcher(state: core_state.State) -> bool:
    """Return whether this entry is among those that watch the store."""
    chosen = view.chosen(state, _WATCH_PURPOSE, const.WATCHERS)
    return state.identity.entry in chosen


def on_due(
    state: core_state.State, now: float, event: models.StoreReadDue
) -> list[effects.Effect]:
    """Read the head if it is this entry's turn, else look again later."""
    cfg = state.configuration
    if event.serial != cfg.follow_serial:
        return []
    if is_watcher(state):
        return _read_head(state)
    if state.cfg.version == 0 and cfg.waited_cold:
        cfg.waited_cold = False
        return _read_head(state)
    cfg.waited_cold = state.cfg.version == 0
    _schedule(state, now + _check_seconds(state))
    return []


def _check_seconds(state: core_state.State) -> float:
    """Return how long one that does not watch waits before it looks again.

    While there is no configuration at all, entries that don't watch ask too,
    for they may be the only ones that reach the store; the more there are,
    the more seldom.
    """
    entries = len(view.live_entries(state))
    least = entries / const.COLD_READ_ENTRIES_PER_SECOND
    seconds = max(const.WATCHER_CHECK_SECONDS, least)
    return seconds * state.rng.uniform(0.8, 1.2)


def _read_head(state: core_state.State) -> list[effects.Effect]:
    return _ask(state, storage.Read(const.KEY_HEAD))


def _ask(
    state: core_state.State, body: storage.StoreRequest, extra: float = 0.0
) -> list[effects.Effect]:
    number = core_state.next_store_request(state)
    state.configuration.follow_request = number
    timeout = const.STORE_TIMEOUT_SECONDS + extra
    return [effects.SendStoreRequest(number, body, timeout)]


def on_answer(
    state: core_state.State, now: float, answer: storage.StoreAnswer
) -> list[effects.Effect]:
    """Go on after the head was read or a watch ended."""
    cfg = state.configuration
    cfg.follow_request = None
    match answer:
        case storage.Found():
            return _on_head(state, now, answer.key_value)
        case storage.NotFound():
            head = records.create_empty_head()
            done = _judge(state, now, head)
            return [*done, *_watch(state, now, 0)]
        case storage.Changes():
            if answer.keys:
                cfg.newer_than = cfg.watched_after
            _schedule(state, now)
            return []
        case _:
            return _back_off(state, now)


def _on_head(
    state: core_state.State, now: float, entry: storage.KeyValue
) -> list[effects.Effect]:
    try:
        head = records.decode_head(entry.value)
    except records.RecordError:
        sentence = "The store's head is not readable."
        return [effects.LogWarning(sentence), *_back_off(state, now)]
    if _lags(state, entry):
        return _back_off(state, now)
    done = _judge(state, now, head)
    if state.configuration.store_read is not None:
        return done
    return [*done, *_watch(state, now, entry.version)]


def _lags(state: core_state.State, entry: storage.KeyValue) -> bool:
    """Return whether a read shows less than a watch has told of.

    After some such reads it is believed: the store itself went back.
    """
    cfg = state.configuration
    if cfg.newer_than is None or entry.version > cfg.newer_than:
        cfg.newer_than = None
        return False
    if cfg.follow_failures < const.LAGGING_READS:
        return True
    cfg.newer_than = None
    return False


def _watch(
    state: core_state.State, now: float, after: int
) -> list[effects.Effect]:
    state.configuration.follow_failures = 0
    if not is_watcher(state):
        _schedule(state, now + _check_seconds(state))
        return []
    seconds = const.WATCH_SECONDS
    state.configuration.watched_after = after
    body = storage.Watch(const.KEY_HEAD, after, seconds)
    return _ask(state, body, seconds + const.WATCH_GRACE_SECONDS)


def _back_off(state: core_state.State, now: float) -> list[effects.Effect]:
    cfg = state.configuration
    wait = min(
        const.STORE_BACKOFF_SECONDS * 2.0 ** min(cfg.follow_failures, 16),
        const.STORE_BACKOFF_MAX_SECONDS,
    )
    cfg.follow_failures += 1
    _schedule(state, now + wait * state.rng.uniform(0.5, 1.5))
    return [effects.Count("configuration.store_unanswered")]


def _judge(
    state: core_state.State, now: float, head: patch_models.Head
) -> list[effects.Effect]:
    """Compare the store's head with what is in force."""
    cfg = state.configuration
    done = note_head(state, head)
    if head.version <= state.cfg.version or head.version in cfg.checking:
        return done
    if cfg.invalid.get(head.version, now) > now:
        return done
    return [*done, *_begin_read(state, head)]


def note_head(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    """Say it once when the store falls behind what is in force."""
    cfg = state.configuration
    if head.version >= state.cfg.version:
        cfg.store_lower = None
        return _note_divergence(state, head)
    if cfg.store_lower == head.version:
        return []
    cfg.store_lower = head.version
    sentence = (
        f"The store holds version {head.version}, lower than version "
        f"{state.cfg.version} in force."
    )
    return [
        effects.Count("configuration.store_lower"),
        effects.LogWarning(sentence),
    ]


def _note_divergence(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    held = state.configuration.in_force
    if held is None or held.version != head.version:
        return []
    if held.digest == head.digest:
        return []
    sentence = f"The store holds another version {head.version}."
    return [
        effects.Count("configuration.diverged"),
        effects.LogWarning(sentence),
    ]


def _begin_read(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    cfg = state.configuration
    parts = _parts_at_hand(state, head)
    missing = [name for name in head.manifest if name not in parts]
    cfg.store_read = spread_models.StoreRead(head, parts, missing)
    return _read_on(state)


def _parts_at_hand(
    state: core_state.State, head: patch_models.Head
) -> dict[str, content.Part]:
    """Return the parts that the content in force or a broken-off read has."""
    cfg = state.configuration
    sources = [cfg.in_force.parts] if cfg.in_force else []
    if cfg.broken_read is not None:
        sources.append(cfg.broken_read.parts)
    found: dict[str, content.Part] = {}
    for parts in sources:
        found.update(
            {
                name: part
                for name, part in parts.items()
                if head.manifest.get(name) == content.digest_of(part.value)
            }
        )
    return found


def _read_on(state: core_state.State) -> list[effects.Effect]:
    cfg = state.configuration
    read = cfg.store_read
    if read is None:
        return []
    done: list[effects.Effect] = []
    while read.missing and len(read.asked) < const.PARTS_IN_FLIGHT:
        name = read.missing.pop()
        number = core_state.next_store_request(state)
        read.asked[number] = name
        body = storage.Read(records.part_key(read.head.manifest[name]))
        timeout = const.STORE_TIMEOUT_SECONDS
        done.append(effects.SendStoreRequest(number, body, timeout))
    if read.missing or read.asked:
        return done
    cfg.store_read = None
    cfg.broken_read = None
    new = content.create_content(read.head.version, read.parts.values())
    return [*done, *adoption.propose(state, new)]


def on_part(
    state: core_state.State,
    now: float,
    request: int,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Take a part; break the reading off if it can't be had."""
    cfg = state.configuration
    read = cfg.store_read
    if read is None:
        return []
    name = read.asked.pop(request)
    if isinstance(answer, storage.Found):
        part = content.Part(name, answer.key_value.value)
        if content.digest_of(part.value) == read.head.manifest[name]:
            read.parts[name] = part
            done = _read_on(state)
            if cfg.store_read is None:
                _schedule(state, now)
            return done
    cfg.store_read = None
    cfg.broken_read = dataclasses.replace(read, missing=[], asked={})
    return _back_off(state, now)
