"""Crashes by request and process: bounded in number, and expiring.

A crash only ever moves to a higher status, so entries that have received the
same reports hold the same crashes, in whatever order the reports came.
"""

import collections
import math

import xxhash

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models


def active_crashes(
    state: core_state.State, now: float, fingerprint: bytes
) -> list[models.Crash]:
    """Return the crashes that count against a request."""
    suspect = state.poison.suspects.get(fingerprint)
    if suspect is None:
        return []
    return [
        crash
        for crash in suspect.crashes.values()
        if crash.status is not models.Status.CLEARED and crash.until > now
    ]


def withheld_until(
    state: core_state.State, now: float, fingerprint: bytes, limit: int
) -> float | None:
    """Return the time until which a request is withheld; None if it isn't.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        fingerprint: Fingerprint of the request.
        limit: Crashes from which on the request is withheld.
    """
    if not state.poison.suspects:
        return None
    active = active_crashes(state, now, fingerprint)
    if len(active) < limit:
        return None
    expiries = sorted(crash.until for crash in active)
    return expiries[len(active) - limit]


def merge(
    state: core_state.State,
    now: float,
    fingerprint: bytes,
    process: models.Process,
    status: models.Status,
    ttl: float,
) -> bool:
    """Add a crash or raise its status; return whether that changed anything.

    Entries that get the same crashes of a request keep the same ones of them.
    """
    poison = state.poison
    suspect = poison.suspects.get(fingerprint)
    known = None if suspect is None else suspect.crashes.get(process)
    if known is not None and known.status >= status:
        return False
    if suspect is None:
        suspect = poison.suspects[fingerprint] = models.Suspect()
    until = now + ttl
    suspect.crashes[process] = models.Crash(status, until)
    if len(suspect.crashes) > const.MAX_CRASHES_PER_SUSPECT:
        excess = max(
            suspect.crashes, key=lambda p: _rank(p, suspect.crashes[p])
        )
        del suspect.crashes[excess]
        if excess == process:
            return False
    poison.suspects.move_to_end(fingerprint)
    poison.next_expiry = min(poison.next_expiry, until)
    poison.digest = None
    if len(poison.suspects) > const.MAX_SUSPECTS:
        _evict(poison.suspects)
    if status is models.Status.CONFIRMED:
        _record_end(poison, process, now)
    state.pending_events.append(events.CrashesChanged(fingerprint))
    return True


def _rank(
    process: models.Process, crash: models.Crash
) -> tuple[models.Status, str, int, str]:
    """Return the order in which the crashes of a request are kept."""
    return crash.status, process.target, process.born or 0, process.nonce


def _record_end(
    poison: models.PoisonState, process: models.Process, now: float
) -> None:
    poison.ended.setdefault(process, now)
    if len(poison.ended) > const.MAX_ENDED_PROCESSES:
        poison.ended.popitem(last=False)


def _evict(
    suspects: collections.OrderedDict[bytes, models.Suspect],
) -> None:
    """Drop the least recent request with a single crash, else the oldest."""
    for fingerprint, suspect in suspects.items():
        if len(suspect.crashes) == 1:
            del suspects[fingerprint]
            return
    suspects.popitem(last=False)


def is_confirmed(
    state: core_state.State, now: float, fingerprint: bytes, limit: int
) -> bool:
    """Return whether a request has as many confirmed crashes as the limit."""
    confirmed = [
        crash
        for crash in active_crashes(state, now, fingerprint)
        if crash.status is models.Status.CONFIRMED
    ]
    return len(confirmed) >= limit


def clear(
    state: core_state.State, now: float, fingerprint: bytes
) -> list[models.Process]:
    """Clear the crashes of a request; return the processes concerned."""
    suspect = state.poison.suspects.get(fingerprint)
    if suspect is None:
        return []
    cleared = []
    for process, crash in list(suspect.crashes.items()):
        ttl = min(crash.until - now, const.CLEARED_TTL_SECONDS)
        if merge(state, now, fingerprint, process, models.Status.CLEARED, ttl):
            cleared.append(process)
    return cleared


def suspected_crashes(
    state: core_state.State,
) -> dict[str, list[tuple[bytes, models.Process]]]:
    """Return fingerprint and process of suspected crashes, by target."""
    found: dict[str, list[tuple[bytes, models.Process]]] = {}
    for fingerprint, suspect in state.poison.suspects.items():
        for process, crash in suspect.crashes.items():
            if crash.status is models.Status.SUSPECTED:
                of_target = found.setdefault(process.target, [])
                of_target.append((fingerprint, process))
    return found


def is_earlier(
    process: models.Process, registration: directory_models.Registration
) -> bool:
    """Return whether a process started before the one that is registered."""
    if process.born is None or registration.born is None:
        return False
    return registration.born > process.born


def is_full(state: core_state.State) -> bool:
    """Return whether adding a request drops another one."""
    return len(state.poison.suspects) >= const.MAX_SUSPECTS


def expire(state: core_state.State, now: float) -> None:
    """Drop the crashes that have expired."""
    poison = state.poison
    if not poison.suspects or now < poison.next_expiry:
        return
    poison.digest = None
    poison.next_expiry = math.inf
    for fingerprint, suspect in list(poison.suspects.items()):
        for process, crash in list(suspect.crashes.items()):
            if crash.until <= now:
                del suspect.crashes[process]
            else:
                poison.next_expiry = min(poison.next_expiry, crash.until)
        if not suspect.crashes:
            del poison.suspects[fingerprint]


def digest(state: core_state.State, now: float) -> int:
    """Return a digest of all crashes, independent of order; 0 for none."""
    expire(state, now)
    poison = state.poison
    if poison.digest is None:
        poison.digest = 0
        for fingerprint, suspect in poison.suspects.items():
            for process, crash in suspect.crashes.items():
                text = f"{fingerprint.hex()}/{crash.status}/{process}"
                poison.digest ^= xxhash.xxh64_intdigest(text.encode())
    return poison.digest


def report_of(
    state: core_state.State,
    now: float,
    fingerprint: bytes,
    process: models.Process,
) -> messages.CrashReport | None:
    """Return the report of a crash; None if it has expired."""
    suspect = state.poison.suspects.get(fingerprint)
    crash = None if suspect is None else suspect.crashes.get(process)
    if crash is None or crash.until <= now:
        return None
    return messages.CrashReport(
        fingerprint,
        process.target,
        process.born,
        process.nonce,
        crash.status,
        crash.until - now,
    )


def all_reports(
    state: core_state.State, now: float
) -> list[messages.CrashReport]:
    """Return reports of all crashes, of requests with the most of them first.

    They are limited in number: after the loss of many targets at once, most are
    of requests that only happened to run there. These are drawn at random, so
    that all get through in time.
    """
    ordered = list(state.poison.suspects.items())
    if len(ordered) > const.MAX_SYNC_REPORTS:
        state.rng.shuffle(ordered)
    ordered.sort(key=lambda item: -len(item[1].crashes))
    reports = [
        report_of(state, now, fingerprint, process)
        for fingerprint, suspect in ordered
        for process in suspect.crashes
    ]
    found = [report for report in reports if report is not None]
    return found[: const.MAX_SYNC_REPORTS]
