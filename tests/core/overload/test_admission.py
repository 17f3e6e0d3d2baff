"""Entries whose own core is saturated, in virtual time.

Guards against requests that wait in an entry's sockets until their callers give
up. One entry gets several times the mean, as connections are spread by hash;
the others have time, and targets have free slots.
"""

import pytest
from tests.core.overload import slow_fleet

from agateshelf.core import events
from agateshelf.core.dispatch import owners
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.overload import const

DOMAINS = ("boston", "hartford", "portland") * 4
SIZES = (2.15,) * 6 + (0.43,) * 6
TIMEOUT = 1.0


def create_fleet(**changes):
    fleet = slow_fleet.SlowFleet(DOMAINS, SIZES, targets=60, **changes)
    fleet.event_seconds = slow_fleet.OWNER_EVENT_SECONDS
    return fleet


def send(fleet, name, rate, seconds):
    """Send requests to an entry; return when each was sent, by call."""
    sent_at = {}

    def request():
        sent_at[fleet.request(name)] = fleet.now

    at, end = fleet.now, fleet.now + seconds
    while at < end:
        fleet.at(at, request)
        at += fleet.rng.expovariate(rate)
    fleet.run_for(seconds + 3.0)
    return sent_at


def outcomes(fleet, sent_at):
    """Return the shares answered in time, refused in time, and late."""
    found = {"answer": 0, "refused": 0, "late": 0}
    for call, at in sent_at.items():
        kind, *_ = fleet.response(call) or ("late",)
        if fleet.responded_at.get(call, 1e9) - at > TIMEOUT:
            kind = "late"
        found[kind] += 1
    return {kind: count / len(sent_at) for kind, count in found.items()}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("rate", [60, 90])
def test_a_saturated_entry_refuses_before_callers_notice(rate, seed):
    served = []
    for is_early_build in (True, False):
        fleet = create_fleet(seed=seed)
        fleet.is_early_build = is_early_build
        sent_at = send(fleet, list(fleet.nodes)[8], rate, 10.0)
        found = outcomes(fleet, sent_at)
        served.append(found["answer"])
    assert served[1] >= 2 * served[0]
    assert found["late"] <= 0.01


def test_a_slowed_entry_refuses_and_recovers():
    # 5.5 times slower for 5.5 s, at the rate of all others.
    fleet = create_fleet()
    slowed = list(fleet.nodes)[8]
    fleet.slowness[slowed] = 5.5
    fleet.at(fleet.now + 5.5, fleet.slowness.pop, slowed)
    found = outcomes(fleet, send(fleet, slowed, 15.0, 5.5))
    assert found["late"] <= 0.03
    assert found["refused"] > 0.0
    notes = fleet.nodes[slowed].notes
    names = [note.event for _, note in notes if note.event.startswith("entry")]
    assert names == ["entry.overloaded", "entry.recovered"] * (len(names) // 2)
    assert 2 <= len(names) <= 6
    recovered = [dict(n.details) for _, n in notes if n.event == names[-1]]
    reasons = [
        dict(note.details)["reason"]
        for _, note in notes
        if note.event == "call.refused"
    ]
    assert sum(one["refused"] for one in recovered) == reasons.count(
        const.REASON_ENTRY_OVERLOADED
    )
    assert outcomes(fleet, send(fleet, slowed, 15.0, 3.0))["answer"] == 1.0


def test_an_entry_that_keeps_up_refuses_nothing():
    fleet = create_fleet()
    found = outcomes(fleet, send(fleet, list(fleet.nodes)[8], 20.0, 10.0))
    assert found == {"answer": 1.0, "refused": 0.0, "late": 0.0}


def create_late_entry(*delays):
    """Create a fleet without processor time, and an entry with delays."""
    fleet = create_fleet()
    fleet.event_seconds = 0.0
    fleet.run_for(0.1)
    node = list(fleet.nodes.values())[8]
    for seconds in delays:
        fleet.post(node, events.LoopDelayed(seconds))
    return fleet, node


def test_refusals_say_that_nothing_ran_and_when_to_come_back():
    # Callers that are refused at the same time must not return at the same.
    fleet, node = create_late_entry(0.2, 0.2)
    calls = [fleet.request(node.name) for _ in range(50)]
    refusals = [fleet.response(call)[1] for call in calls]
    for refusal in refusals:
        assert refusal.status == 503
        assert refusal.reason == "entry-overloaded"
        assert refusal.outcome is outcome_models.Outcome.NOT_RUN
        assert 0.2 <= refusal.retry_after <= 0.6
    assert len({round(one.retry_after, 3) for one in refusals}) > 40


@pytest.mark.parametrize(
    ("delays", "is_refused"),
    [
        ((5.0,), False),
        ((5.0, 0.011), False),
        ((0.2, 0.2), True),
        ((0.05, 0.05), False),
    ],
)
def test_one_long_step_is_no_overload(delays, is_refused):
    fleet, node = create_late_entry(*delays)
    call = fleet.request(node.name)
    fleet.run_for(0.5)
    assert (fleet.response(call)[0] == "refused") is is_refused


@pytest.mark.parametrize(
    ("is_owner", "is_refused"), [(True, False), (False, True)]
)
def test_an_owner_waits_for_no_reply(is_owner, is_refused):
    # It would refuse requests that it can answer in time.
    fleet = slow_fleet.SlowFleet(DOMAINS, SIZES, targets=24)
    fleet.event_seconds = 0.0
    fleet.run_for(0.1)
    node = next(
        node
        for node in fleet.nodes.values()
        if owners.is_owner(node.state, "status") is is_owner
    )
    for _ in range(2):
        fleet.post(node, events.LoopDelayed(0.15))
    call = fleet.request(node.name)
    fleet.run_for(0.5)
    assert (fleet.response(call)[0] == "refused") is is_refused


def test_a_delay_is_forgotten():
    fleet, node = create_late_entry(0.2, 0.2)
    fleet.run_for(const.DELAY_VALID_SECONDS + 0.01)
    call = fleet.request(node.name)
    fleet.run_for(0.5)
    assert fleet.response(call)[0] == "answer"


def test_relayed_requests_are_not_refused():
    # The other entry holds the call, and would take the relay for cut off.
    fleet, node = create_late_entry(0.2, 0.2)
    call = fleet.request(node.name, relay_target="t0", caller="10.0.0.1")
    fleet.run_for(0.5)
    assert fleet.response(call)[0] == "answer"


def test_the_time_in_the_socket_counts_against_the_deadline():
    # But for 0.4 s, as it may have waited for less: nothing ends a request
    # before its time, nor half a second after it.
    fleet, node = create_late_entry()
    fleet.run_seconds = 5.0
    call = fleet.request(node.name, waited=0.7)
    fleet.run_for(0.69)
    assert fleet.response(call) is None
    fleet.run_for(0.03)
    kind, refusal = fleet.response(call)
    assert (kind, refusal.status) == ("refused", 504)


def test_a_request_whose_caller_has_given_up_is_not_sent():
    fleet, node = create_late_entry()
    call = fleet.request(node.name, waited=1.2)
    fleet.run_for(1.0)
    assert fleet.response(call)[1].reason == "entry-overloaded"
    assert not any(fleet.sends.values())
