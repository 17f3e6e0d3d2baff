"""Measures how many calls per second the reducer alone decides.

The figures are wall-clock rates on one core, which depend on the instance and
its other load. They are therefore reported without a bound.
"""

import time

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models
from bench import report

_CALLS = 20_000
_CALL_SPACING_SECONDS = 0.0001
_TARGET_COUNTS = (8, 64, 512, 4300)


def create_service(targets: int) -> models.Service:
    """Create a service with the given number of targets."""
    return models.Service(
        name="recall-lookups",
        team="harborline",
        prefix="/recall/",
        targets=tuple(
            models.Target(f"t{n}", f"127.0.0.1:{n + 1}", "boston")
            for n in range(targets)
        ),
        non_idempotent=frozenset(),
        priority=models.Priority.URGENT,
        timeout=1.0,
        attempt_timeout=0.5,
        refusal_marks=(),
        probe_rate=20.0,
        probe_bytes=20000.0,
        retry_share=0.05,
        slots=2,
        queue=64,
        callers=(),
        store_outage_policy=models.StoreOutagePolicy.REFUSE,
        claim_lifetime=600.0,
        poison_crashes=2,
    )


def decisions_per_second(targets: int) -> float:
    """Return the decided calls per second, with one service.

    Args:
        targets: Number of targets of the service.
    """
    service = create_service(targets)
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    cfg = models.Configuration(1, {service.name: service})
    reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
    started_at = time.perf_counter()
    now = 0.0
    for call in range(_CALLS):
        now += _CALL_SPACING_SECONDS
        reducer.reduce(
            state, now, events.RequestArrived(call, "c", "GET", "/recall/1")
        )
        attempt = state.calls.last_attempt
        reducer.reduce(state, now, events.AttemptAnswered(attempt, 200))
        reducer.reduce(state, now, events.Tick())
    return _CALLS / (time.perf_counter() - started_at)


def run() -> list[report.Figure]:
    """Measure the rate with growing numbers of targets."""
    return [
        report.Figure(
            f"decisions/{targets}-targets",
            decisions_per_second(targets),
            "calls/s",
        )
        for targets in _TARGET_COUNTS
    ]
