"""Limits that targets name, kept over all entries, in virtual time.

Guards against incident LIMIT: no entry read the limits.
"""

import itertools

import pytest
from tests.core import routed_fleet
from tests.core.target_notices import limited_fleet

from agateshelf.core import events
from agateshelf.core.dispatch import owners
from agateshelf.core.outcomes import models as outcome_models

NOT_RUN = outcome_models.Outcome.NOT_RUN
DOMAINS = ("boston", "hartford", "portland", "providence")


def create_fleet(entries=4, limit=1.0, limited=4, **options):
    domains = [DOMAINS[number % len(DOMAINS)] for number in range(entries)]
    fleet = limited_fleet.LimitedFleet(domains, **options)
    fleet.load(1.0, 40)
    fleet.limits = {f"t{index}": limit for index in range(limited)}
    return fleet


def owner_of(fleet):
    node = next(node for node in fleet.nodes.values() if node.alive)
    return owners.owner_ranking(node.state, "status")[0]


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("entries", [1, 4, 13])
def test_targets_get_what_they_named(entries, limit):
    fleet = create_fleet(entries, limit)
    fleet.load(20.0, 40)
    assert fleet.excesses() == {}


@pytest.mark.parametrize("limit", [1.0, 3.0])
def test_a_limit_is_used_and_not_only_kept(limit):
    # What callers lose beyond the limit itself is lost for nothing.
    fleet = create_fleet(4, limit)
    fleet.load(4.0, 40)
    before = sum(len(times) for times in fleet.arrivals.values())
    fleet.load(20.0, 40)
    after = sum(len(times) for times in fleet.arrivals.values())
    assert after - before >= 0.9 * 20 * 4 * limit


@pytest.mark.parametrize("limit", [1.0, 5.0])
def test_limits_hold_while_each_entry_restarts(limit):
    fleet = create_fleet(4, limit)
    for index, name in enumerate(fleet.nodes):
        for at in (4.0 + index, 9.0 + index):
            fleet.at(fleet.now + at, fleet.kill, name)
            fleet.at(fleet.now + at + 0.5, fleet.restart, name)
    fleet.load(25.0, 60)
    assert fleet.excesses() == {}


@pytest.mark.parametrize("limit", [1.0, 5.0])
def test_limits_hold_while_the_owner_is_lost_for_good(limit):
    fleet = create_fleet(5, limit)
    fleet.load(5.0, 60)
    fleet.kill(owner_of(fleet))
    fleet.load(20.0, 60)
    assert fleet.excesses() == {}


@pytest.mark.parametrize("limit", [1.0, 5.0])
@pytest.mark.parametrize("size", [1, 2, 3])
def test_limits_hold_while_entries_lose_each_other(size, limit):
    fleet = create_fleet(6, limit)
    fleet.load(5.0, 60)
    fleet.sides = (set(list(fleet.nodes)[:size]),)
    fleet.load(40.0, 60)
    fleet.sides = ()
    fleet.load(20.0, 60)
    assert fleet.excesses() == {}


@pytest.mark.parametrize("limit", [1.0, 5.0])
def test_limits_hold_while_nobody_reaches_the_owner(limit):
    fleet = create_fleet(6, limit)
    fleet.load(5.0, 60)
    fleet.nodes[owner_of(fleet)].partitioned = True
    fleet.load(20.0, 60)
    assert fleet.excesses() == {}


def test_hedges_and_retries_are_counted():
    fleet = create_fleet(4, 2.0)
    answer = fleet._answer

    def fail_every_third(node, target, end):
        if end.attempt % 3 == 0:
            end = routed_fleet.failed(end.attempt, routed_fleet.RESET)
            fleet.post(node, end)
        else:
            answer(node, target, end)

    fleet._answer = fail_every_third
    fleet.load(20.0, 60)
    assert fleet.excesses() == {}


def test_other_targets_take_what_a_limited_one_does_not():
    fleet = create_fleet(4, 1.0, limited=1)
    fleet.load(10.0, 40)
    assert fleet.outcomes()["answer"] == len(fleet.sent_at)
    assert fleet.excesses() == {}


def test_what_no_target_has_room_for_is_refused_at_once():
    fleet = create_fleet(4, 1.0)
    fleet.load(4.0, 40)
    first = max(fleet.sent_at) + 1
    fleet.load(10.0, 40)
    refusals = {}
    for call in fleet.sent_at:
        kind, refusal = fleet.response(call)
        if call >= first and kind == "refused":
            refusals[call] = refusal
    assert len(refusals) > 300
    for refusal in refusals.values():
        assert refusal.outcome is NOT_RUN
        assert refusal.status == 503
        assert refusal.reason == "targets-limited"
        assert refusal.retry_after > 0
    waited = [fleet.ended_at[call] - fleet.sent_at[call] for call in refusals]
    # A request that waits may lose its room to a more urgent one.
    assert sum(seconds > 0.1 for seconds in waited) <= 0.01 * len(waited)


def test_callers_are_told_to_come_back_one_after_the_other():
    fleet = create_fleet(4, 1.0)
    fleet.load(4.0, 40)
    # The returns promised so far are over.
    fleet.run_for(6.0)
    calls = [fleet.request() for _ in range(12)]
    fleet.run_for(0.1)
    times = [
        response[1].retry_after
        for call in calls
        if (response := fleet.response(call)) is not None
        and response[0] == "refused"
    ]
    # Four targets that take one request a second each.
    assert len(times) >= 6
    pauses = [later - time for time, later in itertools.pairwise(sorted(times))]
    assert min(pauses) >= 0.2


def test_a_limit_ends_when_answers_no_longer_name_it():
    fleet = create_fleet(4, 0.0)
    fleet.load(5.0, 40)
    fleet.limits = {}
    # At a limit of 0 only a request in 4 s can tell.
    fleet.load(8.0, 40)
    first = max(fleet.sent_at) + 1
    fleet.load(5.0, 40)
    answered = sum(
        fleet.response(call)[0] == "answer"
        for call in fleet.sent_at
        if call >= first
    )
    assert answered == 200


def test_a_limit_ends_when_its_target_starts_again():
    fleet = create_fleet(4, 0.0)
    fleet.load(5.0, 40)
    fleet.limits = {}
    for index in range(4):
        fleet.change(
            routed_fleet.create_target(
                f"t{index}", address=f"10.9.0.{index}:80", slots=4, born=5000
            )
        )
    fleet.run_for(1.0)
    first = next(fleet.calls)
    fleet.load(3.0, 40)
    later = [call for call in fleet.sent_at if call > first]
    assert all(fleet.response(call)[0] == "answer" for call in later)


def test_an_old_answer_does_not_bring_a_limit_back():
    fleet = create_fleet(4, 1.0)
    fleet.load(4.0, 40)
    name, other = list(fleet.nodes)[:2]
    records = fleet.nodes[other].state.target_notices.records
    heard_at = records["t0"].heard_at
    fleet.limits = {}
    fleet.load(8.0, 40)
    # The entry that heard of the limit before tells the owner of it again.
    records["t0"].rate = 1.0
    records["t0"].heard_at = heard_at
    records["t0"].told.clear()
    first = max(fleet.sent_at) + 1
    fleet.load(4.0, 60, names=[other, name])
    later = [call for call in fleet.sent_at if call >= first]
    assert all(fleet.response(call)[0] == "answer" for call in later)


@pytest.mark.parametrize("is_told", [False, True])
def test_grants_that_no_owner_counted_are_sent_within_a_small_share(is_told):
    # As of an owner of an earlier version, which knows no limits.
    fleet = create_fleet(4, 1.0)
    fleet.load(4.0, 40)
    node = fleet.nodes[
        next(name for name in fleet.nodes if name != owner_of(fleet))
    ]
    before = len(fleet.arrivals["t0"])
    for _ in range(40):
        call = fleet.request(node.name)
        granted = events.DispatchDecided(
            call, 1, owner_of(fleet), "t0", is_counted=is_told
        )
        fleet.post(node, granted)
        fleet.run_for(0.02)
    sent = len(fleet.arrivals["t0"]) - before
    assert (sent >= 40) if is_told else (sent <= 3)


def test_an_invalid_limit_says_nothing_and_is_logged_once_a_second():
    fleet = create_fleet(4, 1.0)
    fleet.load(4.0, 40)
    node = next(iter(fleet.nodes.values()))
    rate = node.state.target_notices.records["t0"].rate

    def answer_invalid(node, target, end):
        del target
        invalid = events.AttemptAnswered(
            end.attempt, 200, invalid_notices=(("limit", "abc"),)
        )
        fleet.post(node, invalid)

    fleet._answer = answer_invalid
    fleet.load(2.0, 40)
    assert node.state.target_notices.records["t0"].rate == rate
    for each in fleet.nodes.values():
        logged = [e for _, e in each.notes if e.event == "limit.invalid"]
        assert len(logged) <= 3 * 4


def test_a_limit_costs_no_message_of_its_own():
    free = create_fleet(4, limited=0)
    free.load(10.0, 40)
    limited = create_fleet(4, 8.0, limited=1)
    limited.load(10.0, 40)
    assert free.messages.keys() == limited.messages.keys()
    for name in ("DispatchRequest", "DispatchGranted", "DispatchEnded"):
        assert limited.messages[name] <= free.messages[name] + 2
