"""Brings crashes to all entries.

An entry broadcasts each crash that it finds, at a limited rate. Entries that
were cut off, paused or not running then are brought up to date by anti-entropy:
the pings and acks of failure detection carry a digest of all crashes, and an
entry that sees another digest sends what it knows.
"""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.poison import const
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import records

Effects = list[effects.Effect]

_STATUSES = frozenset(models.Status)


def announce(
    state: core_state.State,
    now: float,
    fingerprint: bytes,
    processes: abc.Iterable[models.Process],
) -> Effects:
    """Report new crashes of a request to all other entries.

    Reports beyond the rate limit wait and are sent together.
    """
    for process in processes:
        state.poison.unsent[fingerprint, process] = None
    return _flush(state, now)


def _flush(state: core_state.State, now: float) -> Effects:
    poison = state.poison
    peers = tuple(
        entry
        for entry in state.membership.failure_domains
        if entry != state.identity.entry
    )
    if not peers:
        # Entries that are reached later ask by their digests.
        poison.unsent.clear()
    if not poison.unsent:
        return []
    if not _take_token(poison, now):
        _schedule(state, now)
        return []
    batch = list(poison.unsent)[: const.REPORTS_PER_MESSAGE]
    for key in batch:
        del poison.unsent[key]
    if poison.unsent:
        _schedule(state, now)
    reports = [records.report_of(state, now, *key) for key in batch]
    message = messages.CrashReports(
        tuple(report for report in reports if report is not None)
    )
    return [effects.SendToPeers(peers, message)]


def _schedule(state: core_state.State, now: float) -> None:
    if state.poison.reports_due:
        return
    state.poison.reports_due = True
    at = now + 1.0 / const.MESSAGES_PER_SECOND
    timers.schedule(state.timers, at, models.ReportsDue())


def _take_token(poison: models.PoisonState, now: float) -> bool:
    gained = (now - poison.refilled) * const.MESSAGES_PER_SECOND
    poison.tokens = min(const.MESSAGE_BURST, poison.tokens + gained)
    poison.refilled = now
    if poison.tokens < 1.0:
        return False
    poison.tokens -= 1.0
    return True


def on_reports_due(state: core_state.State, now: float) -> Effects:
    """Send the reports that waited for the rate limit (timer)."""
    state.poison.reports_due = False
    return _flush(state, now)


def on_peer_digest(
    state: core_state.State, now: float, event: events.PeerCrashesReported
) -> Effects:
    """Send all crashes to an entry whose digest differs.

    It does the same when it sees this entry's digest, so that both end up with
    the crashes of either.
    """
    if event.digest == records.digest(state, now):
        return []
    if records.is_full(state):
        # Entries that drop different requests would never agree.
        return [effects.Count("poison.not_reconciled")]
    reports = records.all_reports(state, now)
    step = const.REPORTS_PER_MESSAGE
    return [
        effects.SendToPeers(
            (event.peer,),
            messages.CrashReports(
                tuple(reports[first : first + step]), complete=True
            ),
        )
        for first in range(0, len(reports), step)
    ]


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.CrashReports,
) -> Effects:
    """Merge the crashes that another entry reports.

    After a partition the entries of a side learn the other side's crashes from
    the first of them that does.
    """
    relays = (
        message.complete
        and state.membership.probe_rounds >= const.RELAY_AFTER_ROUNDS
        and not records.is_full(state)
    )
    emitted: Effects = []
    for report in message.reports:
        process = models.Process(report.target, report.born, report.nonce)
        if report.status not in _STATUSES:
            emitted.append(effects.Count("poison.unknown_status"))
            continue
        status = models.Status(report.status)
        ttl = min(report.ttl, const.CRASH_TTL_SECONDS)
        if ttl <= 0 or not records.merge(
            state, now, report.fingerprint, process, status, ttl
        ):
            continue
        emitted.append(
            log_event_of(
                state,
                now,
                "crash.reported",
                report.fingerprint,
                process,
                ("status", status.name.lower()),
                ("from", peer),
            )
        )
        if relays:
            key = (report.fingerprint, process)
            state.poison.unsent[key] = None
    return [*emitted, *_flush(state, now)]


def log_event_of(
    state: core_state.State,
    now: float,
    name: str,
    fingerprint: bytes,
    process: models.Process,
    *details: tuple[str, str | float | None],
) -> effects.LogEvent:
    """Return the log event of a crash, with the number that count so far."""
    return effects.LogEvent(
        name,
        details=(
            ("fingerprint", fingerprints.short(fingerprint)),
            ("target", process.target),
            ("born", process.born),
            *details,
            ("crashes", len(records.active_crashes(state, now, fingerprint))),
        ),
    )
