"""Keeps withheld requests in the platform's store.

Answers the load of a caller that repeats a poisonous request while all entries
are lost at once: none is left to tell the others. The reader of each failure
domain writes every request that is withheld, once, under a lease that ends when
the request is no longer withheld. An entry that starts reads a copy that may be
seconds old, which costs a tenth of a current one. The seeds, which all others
ask first, read the current one, and so does an entry that becomes the reader.
"""

import math

import msgspec

from agateshelf import decoding
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.forwarding import const as forwarding_const
from agateshelf.core.membership import view
from agateshelf.core.poison import const
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import records
from agateshelf.core.poison import replication

Effects = list[effects.Effect]


class StoredRequest(msgspec.Struct, frozen=True):
    """A withheld request as it is stored.

    Attributes:
        until: Unix time in seconds until which it is withheld.
        reports: The crashes.
    """

    until: float
    reports: tuple[messages.CrashReport, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoredRequest)


def on_started(state: core_state.State) -> Effects:
    """Read what was stored before this process started."""
    is_seed = state.identity.entry in state.membership.seed_addresses
    request = _load_request(stale=not is_seed)
    return _send(state, request, models.StoreUse.FIRST_LOAD)


def awaits_first_load(state: core_state.State) -> bool:
    """Return whether requests must wait until it is known what is withheld.

    They need not if another entry is known, which tells it as well, nor once
    the first read was answered or has failed.
    """
    pending = state.poison.storing.pending
    if pending is None or pending.use is not models.StoreUse.FIRST_LOAD:
        return False
    return len(view.live_entries(state)) == 1


def _load_request(*, stale: bool) -> storage.Range:
    return storage.Range(const.KEY_PREFIX, stale=stale)


def _send(
    state: core_state.State,
    body: storage.StoreRequest,
    use: models.StoreUse,
    fingerprint: bytes = b"",
) -> Effects:
    number = core_state.next_store_request(state)
    pending = models.PendingStoreRequest(number, use, fingerprint)
    state.poison.storing.pending = pending
    return [effects.SendStoreRequest(number, body, const.STORE_TIMEOUT_SECONDS)]


def on_due(state: core_state.State, now: float) -> Effects:
    """Send the next request to the store, if this entry is the reader."""
    storing = state.poison.storing
    if not state.feed.is_reader or state.stopping:
        storing.loaded = False
        return []
    if storing.pending is not None or now < storing.retry_at:
        return []
    if not storing.loaded:
        return _send(state, _load_request(stale=False), models.StoreUse.LOAD)
    fingerprint = _next_unstored(state, now)
    if fingerprint is None:
        return []
    if now - storing.leased_at > const.LEASE_REUSE_SECONDS:
        lease = storage.GrantLease(const.CRASH_TTL_SECONDS)
        return _send(state, lease, models.StoreUse.LEASE)
    write = storage.CompareAndSwap(
        const.KEY_PREFIX + fingerprint.hex(),
        0,
        _encode(state, now, fingerprint),
        storing.lease,
    )
    return _send(state, write, models.StoreUse.WRITE, fingerprint)


def on_store_restored(state: core_state.State, now: float) -> Effects:
    """Store again what the store may have lost, its leases among it."""
    storing = state.poison.storing
    storing.pending = None
    storing.stored.clear()
    storing.leased_at = -math.inf
    storing.loaded = False
    return on_due(state, now)


def on_crashes_changed(
    state: core_state.State, now: float, fingerprint: bytes
) -> Effects:
    """Store a request that is withheld from now on."""
    if not state.feed.is_reader:
        return []
    _queue(state, now, fingerprint)
    return on_due(state, now)


def _queue(state: core_state.State, now: float, fingerprint: bytes) -> None:
    storing = state.poison.storing
    if storing.stored.get(fingerprint, -math.inf) > now:
        return
    if _is_withheld(state, now, fingerprint):
        storing.unstored[fingerprint] = None


def _is_withheld(
    state: core_state.State, now: float, fingerprint: bytes
) -> bool:
    crashes = _confirmed(state, now, fingerprint)
    return len(crashes) >= forwarding_const.POISON_CRASHES


def _next_unstored(state: core_state.State, now: float) -> bytes | None:
    unstored = state.poison.storing.unstored
    while unstored:
        fingerprint = next(iter(unstored))
        if _is_withheld(state, now, fingerprint):
            return fingerprint
        del unstored[fingerprint]
    return None


def _confirmed(
    state: core_state.State, now: float, fingerprint: bytes
) -> list[messages.CrashReport]:
    suspect = state.poison.suspects.get(fingerprint)
    if suspect is None:
        return []
    reports = (
        records.report_of(state, now, fingerprint, process)
        for process in suspect.crashes
    )
    return [
        report
        for report in reports
        if report is not None and report.status == models.Status.CONFIRMED
    ]


def _encode(state: core_state.State, now: float, fingerprint: bytes) -> bytes:
    reports = _confirmed(state, now, fingerprint)
    ttl = max(report.ttl for report in reports)
    until = state.unix_offset + now + ttl
    return _encoder.encode(StoredRequest(until, tuple(reports)))


def on_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> Effects | None:
    """Handle an answer of the store; None if it is of another part."""
    storing = state.poison.storing
    pending = storing.pending
    if pending is None or pending.number != event.request:
        return None
    storing.pending = None
    match pending.use, event.answer:
        case models.StoreUse.LOAD, storage.RangePage() as page:
            storing.loaded = True
            emitted = _adopt(state, now, page)
            for fingerprint in state.poison.suspects:
                _queue(state, now, fingerprint)
        case models.StoreUse.FIRST_LOAD, storage.RangePage() as page:
            emitted = _adopt(state, now, page)
        case models.StoreUse.LEASE, storage.LeaseGranted() as granted:
            storing.lease = granted.lease
            storing.leased_at = now
            emitted = []
        case models.StoreUse.WRITE, storage.Swapped() | storage.Conflict():
            # After a conflict another reader has stored it.
            until = storing.leased_at + const.CRASH_TTL_SECONDS
            _mark_stored(storing, now, pending.fingerprint, until)
            emitted = [_stored_event(pending.fingerprint)]
        case _:
            return _on_failed(state, now, pending, event.answer)
    storing.failures = 0
    return [*emitted, *on_due(state, now)]


def _mark_stored(
    storing: models.StoringState, now: float, fingerprint: bytes, until: float
) -> None:
    storing.unstored.pop(fingerprint, None)
    if len(storing.stored) >= const.MAX_SUSPECTS:
        storing.stored = {
            stored: at for stored, at in storing.stored.items() if at > now
        }
    storing.stored[fingerprint] = until


def _stored_event(fingerprint: bytes) -> effects.LogEvent:
    details = (("fingerprint", fingerprints.short(fingerprint)),)
    return effects.LogEvent("crash.stored", details=details)


def _on_failed(
    state: core_state.State,
    now: float,
    pending: models.PendingStoreRequest,
    answer: storage.StoreAnswer,
) -> Effects:
    """Try again later, under a new lease."""
    storing = state.poison.storing
    pause = const.STORE_RETRY_SECONDS * 2**storing.failures
    storing.retry_at = now + min(pause, const.MAX_STORE_RETRY_SECONDS)
    storing.failures += 1
    storing.leased_at = -math.inf
    return [
        effects.LogEvent(
            "crash.store_failed",
            details=(
                ("use", pending.use.value),
                ("answer", type(answer).__name__),
                ("failures", storing.failures),
            ),
        )
    ]


def _adopt(
    state: core_state.State, now: float, page: storage.RangePage
) -> Effects:
    """Merge stored crashes and tell the other entries of those new here."""
    emitted: Effects = []
    for item in page.key_values:
        try:
            stored = _decoder.decode(item.value)
        except decoding.ERRORS as exc:
            emitted.append(
                effects.LogWarning(
                    f"The stored crashes under {item.key} are invalid: {exc}."
                )
            )
            continue
        emitted.extend(_adopt_one(state, now, stored))
    return emitted


def _adopt_one(
    state: core_state.State, now: float, stored: StoredRequest
) -> Effects:
    left = stored.until - state.unix_offset - now
    if not math.isfinite(left) or left <= 0:
        return []
    ttl = min(left, const.CRASH_TTL_SECONDS)
    emitted: Effects = []
    for report in stored.reports:
        fingerprint = report.fingerprint
        process = models.Process(report.target, report.born, report.nonce)
        _mark_stored(state.poison.storing, now, fingerprint, now + ttl)
        confirmed = models.Status.CONFIRMED
        if not records.merge(state, now, fingerprint, process, confirmed, ttl):
            continue
        emitted.append(
            replication.log_event_of(
                state, now, "crash.restored", fingerprint, process
            )
        )
        emitted.extend(
            replication.announce(state, now, fingerprint, (process,))
        )
    return emitted
