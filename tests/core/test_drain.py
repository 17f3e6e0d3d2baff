"""Tests of targets that the configuration marks as draining."""

import dataclasses

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core.configuration import models


def test_a_draining_target_gets_no_new_request(state, service):
    first, *rest = service.targets
    drained = dataclasses.replace(first, draining=True)
    changed = dataclasses.replace(service, targets=(drained, *rest))
    cfg = models.Configuration(2, {changed.name: changed})
    reducer.reduce(state, 1.0, events.ConfigurationRead(cfg))
    chosen = set()
    for call in range(50):
        request = events.RequestArrived(call, "d", "GET", "/bookings/1")
        emitted = reducer.reduce(state, 2.0 + call, request)
        chosen.update(
            e.target for e in emitted if isinstance(e, effects.StartAttempt)
        )
    assert chosen == {target.id for target in rest}
