"""Fixtures for tests of the core: a service, and a state that serves it."""

import pytest

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models

MARK = ("request-outcome", "not-run")


def create_service(**changes):
    """Create a service with three targets and POST non-idempotent."""
    values = {
        "name": "bookings",
        "team": "harborline",
        "prefix": "/bookings/",
        "targets": tuple(
            models.Target(f"t{n}", f"127.0.0.1:{n + 1}", "boston")
            for n in range(3)
        ),
        "non_idempotent": frozenset({"POST"}),
        "priority": models.Priority.URGENT,
        "timeout": 5.0,
        "attempt_timeout": 2.0,
        "refusal_marks": (models.RefusalMark(*MARK),),
        "probe_rate": 0.0,
        "probe_bytes": 0.0,
        "retry_share": 0.05,
        "slots": 2,
        "queue": 8,
        "callers": (),
        "store_outage_policy": models.StoreOutagePolicy.REFUSE,
        "claim_lifetime": 600.0,
        "poison_crashes": 2,
    }
    return models.Service(**{**values, **changes})


@pytest.fixture
def service():
    return create_service()


@pytest.fixture
def state(service):
    created = core_state.create_state(core_state.Identity("e0", "boston"), 7)
    cfg = models.Configuration(1, {service.name: service})
    reducer.reduce(created, 0.0, events.ConfigurationRead(cfg))
    return created
