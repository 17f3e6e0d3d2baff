"""Reads and watches the configuration head in the store.

Only a few entries, selected by a hash over the live entries, watch the store,
which bounds its load. Each entry evaluates the hash on its own view of the
membership; if views differ, there are a few watchers more or less.
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
from agateshelf.core.configuration import state_models
from agateshelf.core.membership import view

_WATCH_PURPOSE = "watch"


def start(state: core_state.State, now: float) -> None:
    """Schedule the first read, after a delay in which peers can answer."""
    delay = 0.0
    if state.membership.seed_addresses:
        delay = const.START_GRACE_SECONDS * state.rng.uniform(1.0, 2.0)
    _schedule(state, now + delay)


def _schedule(state: core_state.State, at: float) -> None:
    state.configuration.head_timer_serial += 1
    event = models.StoreReadDue(state.configuration.head_timer_serial)
    timers.schedule(state.timers, at, event)


def is_watcher(state: core_state.State) -> bool:
    """Return whether this entry is selected to watch the store."""
    chosen = view.select_entries(state, _WATCH_PURPOSE, const.WATCHER_COUNT)
    return state.identity.entry in chosen


def on_due(
    state: core_state.State, now: float, event: models.StoreReadDue
) -> list[effects.Effect]:
    """Read the head if this entry watches the store, or check again later."""
    cfg = state.configuration
    if event.serial != cfg.head_timer_serial:
        return []
    if is_watcher(state):
        return _read_head(state)
    if state.cfg.version == 0 and cfg.skipped_cold_read:
        cfg.skipped_cold_read = False
        return _read_head(state)
    cfg.skipped_cold_read = state.cfg.version == 0
    _schedule(state, now + _check_seconds(state))
    return []


def _check_seconds(state: core_state.State) -> float:
    """Return the seconds until an entry that does not watch checks again.

    Without an active configuration such entries read the head as well, since
    they may be the only ones that reach the store. The interval grows with the
    number of entries, which bounds the total rate of reads.
    """
    entries = len(view.live_entries(state))
    minimum = entries / const.COLD_READ_ENTRIES_PER_SECOND
    seconds = max(const.WATCHER_CHECK_SECONDS, minimum)
    return seconds * state.rng.uniform(0.8, 1.2)


def _read_head(state: core_state.State) -> list[effects.Effect]:
    return _send_request(state, storage.Read(const.KEY_HEAD))


def _send_request(
    state: core_state.State, body: storage.StoreRequest, extra: float = 0.0
) -> list[effects.Effect]:
    number = core_state.next_store_request(state)
    state.configuration.head_request = number
    timeout = const.STORE_TIMEOUT_SECONDS + extra
    return [effects.SendStoreRequest(number, body, timeout)]


def on_answer(
    state: core_state.State, now: float, answer: storage.StoreAnswer
) -> list[effects.Effect]:
    """Handle the answer to a read or watch of the head."""
    cfg = state.configuration
    cfg.head_request = None
    match answer:
        case storage.Found():
            return _on_head(state, now, answer.key_value)
        case storage.NotFound():
            head = records.create_empty_head()
            emitted = _compare_head(state, now, head)
            return [*emitted, *_watch(state, now, 0)]
        case storage.Changes():
            if answer.keys:
                cfg.replaced_key_version = cfg.watched_key_version
            _schedule(state, now)
            return []
        case _:
            return _back_off(state, now)


def _on_head(
    state: core_state.State, now: float, key_value: storage.KeyValue
) -> list[effects.Effect]:
    try:
        head = records.decode_head(key_value.value)
    except records.RecordError:
        sentence = "The configuration head in the store can't be decoded."
        return [effects.LogWarning(sentence), *_back_off(state, now)]
    if _is_stale(state, key_value):
        return _back_off(state, now)
    emitted = _compare_head(state, now, head)
    if state.configuration.store_read is not None:
        return emitted
    return [*emitted, *_watch(state, now, key_value.version)]


def _is_stale(state: core_state.State, key_value: storage.KeyValue) -> bool:
    """Return whether a read is older than a change that a watch reported.

    After `MAX_STALE_READS` such reads in a row the result is trusted: the store
    itself was rolled back.
    """
    cfg = state.configuration
    if (
        cfg.replaced_key_version is None
        or key_value.version > cfg.replaced_key_version
    ):
        cfg.replaced_key_version = None
        return False
    if cfg.head_failures < const.MAX_STALE_READS:
        return True
    cfg.replaced_key_version = None
    return False


def _watch(
    state: core_state.State, now: float, after: int
) -> list[effects.Effect]:
    state.configuration.head_failures = 0
    if not is_watcher(state):
        _schedule(state, now + _check_seconds(state))
        return []
    seconds = const.WATCH_SECONDS
    state.configuration.watched_key_version = after
    body = storage.Watch(const.KEY_HEAD, after, seconds)
    return _send_request(state, body, seconds + const.WATCH_GRACE_SECONDS)


def _back_off(state: core_state.State, now: float) -> list[effects.Effect]:
    cfg = state.configuration
    wait = min(
        const.STORE_BACKOFF_SECONDS * 2.0 ** min(cfg.head_failures, 16),
        const.STORE_BACKOFF_MAX_SECONDS,
    )
    cfg.head_failures += 1
    _schedule(state, now + wait * state.rng.uniform(0.5, 1.5))
    return [effects.Count("configuration.store_unanswered")]


def _compare_head(
    state: core_state.State, now: float, head: patch_models.Head
) -> list[effects.Effect]:
    """Start reading the version of the head if it is newer than the active."""
    cfg = state.configuration
    emitted = check_head(state, head)
    if head.version <= state.cfg.version or head.version in cfg.validating:
        return emitted
    if cfg.invalid_until.get(head.version, now) > now:
        return emitted
    return [*emitted, *_start_read(state, head)]


def check_head(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    """Warn if the head is lower than the active version or differs from it.

    A lower head is reported once, different content at every check.
    """
    cfg = state.configuration
    if head.version >= state.cfg.version:
        cfg.lower_store_version = None
        return _check_digest(state, head)
    if cfg.lower_store_version == head.version:
        return []
    cfg.lower_store_version = head.version
    sentence = (
        f"The store holds configuration version {head.version}, lower than "
        f"the active version {state.cfg.version}."
    )
    return [
        effects.Count("configuration.store_lower"),
        effects.LogWarning(sentence),
    ]


def _check_digest(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    active = state.configuration.active
    if active is None or active.version != head.version:
        return []
    if active.digest == head.digest:
        return []
    sentence = (
        f"The content of version {head.version} in the store differs from "
        "the active one."
    )
    return [
        effects.Count("configuration.diverged"),
        effects.LogWarning(sentence),
    ]


def _start_read(
    state: core_state.State, head: patch_models.Head
) -> list[effects.Effect]:
    cfg = state.configuration
    parts = _reusable_parts(state, head)
    missing = [name for name in head.manifest if name not in parts]
    cfg.store_read = state_models.StoreRead(head, parts, missing)
    return _continue_read(state)


def _reusable_parts(
    state: core_state.State, head: patch_models.Head
) -> dict[str, content.Part]:
    """Return the parts known from the active content or an aborted read."""
    cfg = state.configuration
    sources = [cfg.active.parts] if cfg.active else []
    if cfg.aborted_read is not None:
        sources.append(cfg.aborted_read.parts)
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


def _continue_read(state: core_state.State) -> list[effects.Effect]:
    cfg = state.configuration
    read = cfg.store_read
    if read is None:
        return []
    emitted: list[effects.Effect] = []
    while read.unrequested and len(read.requested) < const.PARTS_IN_FLIGHT:
        name = read.unrequested.pop()
        number = core_state.next_store_request(state)
        read.requested[number] = name
        body = storage.Read(records.part_key(read.head.manifest[name]))
        timeout = const.STORE_TIMEOUT_SECONDS
        emitted.append(effects.SendStoreRequest(number, body, timeout))
    if read.unrequested or read.requested:
        return emitted
    cfg.store_read = None
    cfg.aborted_read = None
    new = content.create_content(read.head.version, read.parts.values())
    return [*emitted, *adoption.request_validation(state, new)]


def on_part(
    state: core_state.State,
    now: float,
    request: int,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Store a part that was read; abort the read if it is missing or wrong."""
    cfg = state.configuration
    read = cfg.store_read
    if read is None:
        return []
    name = read.requested.pop(request)
    if isinstance(answer, storage.Found):
        part = content.Part(name, answer.key_value.value)
        if content.digest_of(part.value) == read.head.manifest[name]:
            read.parts[name] = part
            emitted = _continue_read(state)
            if cfg.store_read is None:
                _schedule(state, now)
            return emitted
    cfg.store_read = None
    cfg.aborted_read = dataclasses.replace(read, unrequested=[], requested={})
    return _back_off(state, now)
