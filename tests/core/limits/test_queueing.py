"""Tests of priority classes and fair queueing."""

import collections

from tests.core.limits import harness

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models
from agateshelf.core.limits import queueing


def ticket(call, service, caller, weight=1.0, *, needs_claim=False):
    return models.Ticket(
        call, service, caller, weight, needs_claim, 10.0, float(call), None
    )


def anyone(priority, flow):
    del priority, flow
    return True


def popped(queue, count, *, may_claim=True):
    return [
        queueing.pop(queue, anyone, may_claim=may_claim).caller
        for _ in range(count)
    ]


def test_callers_take_turns_by_weight():
    shares = (configuration_models.CallerShare("big", 3.0, None),)
    service = harness.create_service(callers=shares)
    queue = models.create_queue()
    for call in range(40):
        queueing.push(queue, ticket(call, service, "big", 3.0), 0.0)
    for call in range(40, 80):
        queueing.push(queue, ticket(call, service, "small"), 0.0)
    counts = collections.Counter(popped(queue, 40))
    assert counts == {"big": 30, "small": 10}


def test_flood_delays_no_other_caller():
    service = harness.create_service()
    queue = models.create_queue()
    for call in range(100):
        queueing.push(queue, ticket(call, service, "flood"), 0.0)
    popped(queue, 10)
    queueing.push(queue, ticket(200, service, "clerk"), 0.0)
    assert "clerk" in popped(queue, 2)


def test_lower_class_is_never_starved():
    urgent = harness.create_service(
        "grades", priority=configuration_models.Priority.URGENT
    )
    pulls = harness.create_service(
        "pulls", priority=configuration_models.Priority.BACKGROUND
    )
    queue = models.create_queue()
    for call in range(100):
        queueing.push(queue, ticket(call, urgent, "clerk"), 0.0)
        queueing.push(queue, ticket(call, pulls, "auditor"), 0.0)
    callers = popped(queue, 2 * const.LOWER_CLASS_INTERVAL)
    assert callers.count("auditor") == 2


def test_calls_without_a_claim_pass_those_that_wait_for_claims():
    service = harness.create_service()
    queue = models.create_queue()
    queueing.push(queue, ticket(1, service, "yard", needs_claim=True), 0.0)
    queueing.push(queue, ticket(2, service, "yard"), 0.0)
    assert queueing.pop(queue, anyone, may_claim=False).call == 2
    assert queueing.pop(queue, anyone, may_claim=False) is None
    assert queueing.pop(queue, anyone, may_claim=True).call == 1
    assert queue.length == 0
