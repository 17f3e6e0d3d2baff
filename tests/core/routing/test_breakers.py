"""Tests of circuit breakers: opening, trial calls and panic mode."""

import dataclasses
import itertools

import pytest
from tests.core.routing import conftest

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routing import const
from agateshelf.core.routing import groups

BAD = "lookups-0"


def view_of(entry, target=BAD):
    return groups.find_target_view(entry.state.routing, "lookups", target)


def serve(entry, now, failing, method="GET"):
    """Run one call to its end; return its target."""
    (attempt,) = conftest.started(entry.arrive(now, method))
    status = 500 if attempt.target in failing else 200
    entry.answer(now + 0.001, attempt, status)
    return attempt.target


def open_breaker(entry):
    """Fail calls until the breaker opens; return the time it may be tried."""
    for n in range(200):
        serve(entry, 1.0 + n * 0.002, {BAD})
        if view_of(entry).breaker.open_until is not None:
            break
    return view_of(entry).breaker.open_until


def test_target_that_fails_fast_is_avoided_within_tens_of_calls(entry):
    now = 1.0
    bad = 0
    for _ in range(200):
        bad += serve(entry, now, {BAD}) == BAD
        now += 0.002
    assert 1 <= bad <= 10


def test_open_breaker_allows_a_single_trial(entry):
    now = open_breaker(entry) + 0.01
    open_calls = [conftest.started(entry.arrive(now)) for _ in range(40)]
    trials = [a for (a,) in open_calls if a.target == BAD]
    assert len(trials) == 1
    entry.answer(now + 0.01, trials[0])
    assert view_of(entry).breaker.open_until is None
    assert view_of(entry).warm_at > now


def test_failed_trial_doubles_the_open_period(entry):
    now = 1.0
    periods = []
    previous = None
    for _ in range(6000):
        serve(entry, now, {BAD})
        until = view_of(entry).breaker.open_until if view_of(entry) else None
        if until is not None and until != previous:
            periods.append(until - now)
            previous = until
        now += 0.002
    assert len(periods) >= 4
    assert all(b > 1.4 * a for a, b in itertools.pairwise(periods))


def test_non_idempotent_call_is_not_the_first_trial(entry):
    now = open_breaker(entry) + 0.01
    for _ in range(40):
        (attempt,) = conftest.started(entry.arrive(now, "POST"))
        assert attempt.target != BAD


def test_load_is_still_spread_in_panic_mode(entry):
    bad = {f"lookups-{n}" for n in range(3)}
    now = 1.0
    counts = dict.fromkeys((f"lookups-{n}" for n in range(4)), 0)
    for n in range(800):
        target = serve(entry, now, bad)
        if n >= 400:
            counts[target] += 1
        now += 0.002
    assert counts["lookups-3"] < 300
    assert all(counts.values())


@pytest.mark.parametrize(("kept", "counted"), [(True, False), (False, True)])
def test_broken_kept_connection_does_not_count_against_its_target(
    kept, counted
):
    cfg = conftest.create_configuration(targets=1, non_idempotent=("GET",))
    entry = conftest.Entry("e0", cfg)
    for n in range(const.ERRORS_TO_OPEN):
        (attempt,) = conftest.started(entry.arrive(1.0 + n))
        failed = events.AttemptFailed(
            attempt.attempt,
            outcome_models.FailureKind.RESET,
            any_byte_sent=True,
            kept_connection=kept,
        )
        entry.post(1.01 + n, failed)
    assert (view_of(entry).breaker.open_until is not None) is counted


def test_new_target_warms_up_to_its_share():
    entry = conftest.Entry("e0", conftest.create_configuration(targets=4))
    entry.post(
        1.0, events.ConfigurationRead(conftest.create_configuration(5, 2))
    )
    early = [serve(entry, 1.0 + n * 0.001, ()) for n in range(200)]
    late = [serve(entry, 9.0 + n * 0.001, ()) for n in range(500)]
    assert 0 < early.count("lookups-4") < 32
    assert late.count("lookups-4") > 70


def test_target_drained_by_configuration_gets_no_calls():
    cfg = conftest.create_configuration(targets=2)
    service = cfg.services["lookups"]
    first = models.Target("lookups-0", "lookups-0:1", "boston", draining=True)
    changed = dataclasses.replace(service, targets=(first, service.targets[1]))
    entry = conftest.Entry("e0", cfg)
    newer = models.Configuration(2, {"lookups": changed})
    entry.post(1.0, events.ConfigurationRead(newer))
    got = {serve(entry, 2.0 + n, ()) for n in range(30)}
    assert got == {"lookups-1"}


def test_warming_target_is_used_if_there_is_no_other():
    entry = conftest.Entry("e0", conftest.create_configuration(targets=1))
    newer = conftest.create_configuration(2, 2)
    entry.post(1.0, events.ConfigurationRead(newer))
    entry.receive_draining(1.0, "lookups-0")
    assert {serve(entry, 1.0, ()) for _ in range(20)} == {"lookups-1"}
