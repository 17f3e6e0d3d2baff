"""Helpers that create entries and drive calls in tests of the limits."""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models

ENTRIES = ("e0", "e1", "e2", "e3")
MARK = ("request-outcome", "not-run")
CALM = events.TargetLoad(in_flight=1, queued=0, slots=2)
CONGESTED = events.TargetLoad(in_flight=2, queued=9, slots=2)


def create_service(name="lookups", **changes):
    values = {
        "name": name,
        "team": "harborline",
        "prefix": f"/{name}/",
        "targets": tuple(
            models.Target(f"{name}-{n}", f"127.0.0.1:{n + 1}", "boston")
            for n in range(2)
        ),
        "non_idempotent": frozenset({"POST"}),
        "priority": models.Priority.NORMAL,
        "timeout": 5.0,
        "attempt_timeout": 2.0,
        "refusal_marks": (models.RefusalMark(*MARK),),
        "probe_rate": 0.0,
        "probe_bytes": 0.0,
        "retry_share": 0.05,
        "slots": 1,
        "queue": 4,
        "callers": (),
        "store_outage_policy": models.StoreOutagePolicy.REFUSE,
        "claim_lifetime": 600.0,
        "poison_crashes": 2,
    }
    return models.Service(**{**values, **changes})


def create_state(*services, entry="e0"):
    state = core_state.create_state(core_state.Identity(entry, "boston"), 7)
    adopt(state, *services)
    see_entries(state, ENTRIES)
    return state


def see_entries(state, names, now=0.0):
    seen = tuple(events.LiveEntry(name, "boston") for name in names)
    emitted = reducer.reduce(state, now, events.LiveEntriesChanged(seen))
    # No other entry runs here, so targets are chosen without asking owners.
    state.routing.suspected_until = dict.fromkeys(names, math.inf)
    return emitted


def adopt(state, *services):
    version = state.cfg.version + 1
    cfg = models.Configuration(version, {s.name: s for s in services})
    return reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))


def arrive(state, call, now=1.0, caller="yard", service="lookups", **more):
    request = events.RequestArrived(
        call, caller, "GET", f"/{service}/1", **more
    )
    return reducer.reduce(state, now, request)


def answer(state, attempt, now=1.0, status=200, load=None, headers=()):
    event = events.AttemptAnswered(attempt, status, headers, load=load)
    return reducer.reduce(state, now, event)


def started(emitted):
    return [e for e in emitted if isinstance(e, effects.StartAttempt)]


def refused(emitted):
    return [e for e in emitted if isinstance(e, effects.Refuse)]


def fill(state, now=1.0, caller="filler", service="lookups", first=1000):
    """Send calls until one is queued; return the started attempts."""
    running = []
    call = first
    pool = state.limits.pools[service]
    while pool.queue.length == 0:
        assert call < first + 100
        running += started(arrive(state, call, now, caller, service))
        call += 1
    return running
