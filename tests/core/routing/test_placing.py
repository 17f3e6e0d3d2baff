"""Tests of placing: the home names targets, silence is passed over."""

import dataclasses

import pytest
from tests.core.routing import conftest

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.routing import const
from agateshelf.core.routing import groups
from agateshelf.core.routing import messages


@pytest.fixture
def pair():
    """Return the home of the only group and another entry."""
    cfg = conftest.create_configuration()
    names = ("e0", "e1")
    entries = {name: conftest.Entry(name, cfg) for name in names}
    for entry in entries.values():
        entry.know(*names)
    home = groups.home_of(entries["e0"].state.routing, "lookups/0")
    (other,) = set(names) - {home}
    return entries[home], entries[other], home, other


def ask(entry, now=1.0, **changes):
    ((_, message),) = conftest.sent(
        entry.arrive(now, **changes), messages.TargetAsked
    )
    return message


def name(home, other_name, message, now=1.0):
    done = home.post(now, events.PeerMessageReceived(other_name, message))
    ((_, named),) = conftest.sent(done, messages.TargetNamed)
    return named


def test_home_spreads_the_calls_of_all_entries(pair):
    home, other, home_name, other_name = pair
    targets = []
    for _ in range(4):
        (attempt,) = conftest.started(home.arrive(1.0))
        targets.append(attempt.target)
        named = name(home, other_name, ask(other))
        done = other.post(1.0, events.PeerMessageReceived(home_name, named))
        (attempt,) = conftest.started(done)
        targets.append(attempt.target)
    assert sorted(targets) == sorted(2 * [f"lookups-{n}" for n in range(4)])


def test_silent_home_is_passed_over_and_left_alone(pair):
    _, other, home_name, _ = pair
    message = ask(other)
    late = 1.0 + const.ASK_PATIENCE_SECONDS
    done = other.post(late, events.Tick())
    assert len(conftest.started(done)) == 1
    ((receivers, settled),) = conftest.sent(done, messages.AttemptSettled)
    assert receivers == (home_name,)
    assert settled.ask == message.ask
    assert len(conftest.started(other.arrive(late + 0.001))) == 1
    again = late + const.SUSPICION_SECONDS + 0.001
    assert conftest.sent(other.arrive(again), messages.TargetAsked)


def test_target_named_after_the_deadline_starts_nothing(pair):
    home, other, home_name, other_name = pair
    named = name(home, other_name, ask(other))
    late = 1.0 + other.state.cfg.services["lookups"].timeout + 0.001
    done = other.post(late, events.PeerMessageReceived(home_name, named))
    assert not conftest.started(done)
    assert [e.refusal.status for e in done if hasattr(e, "refusal")] == [504]
    assert conftest.sent(done, messages.AttemptSettled)


def test_home_counts_attempts_out_when_they_are_settled(pair):
    home, other, home_name, other_name = pair
    named = name(home, other_name, ask(other))
    view = groups.view_of(home.state.routing, "lookups", named.target)
    assert view.held == 1
    done = other.post(1.0, events.PeerMessageReceived(home_name, named))
    (attempt,) = conftest.started(done)
    done = other.answer(1.01, attempt)
    ((_, settled),) = conftest.sent(done, messages.AttemptSettled)
    home.post(1.01, events.PeerMessageReceived(other_name, settled))
    assert view.held == 0


def test_home_forgets_the_attempts_of_an_entry_that_is_gone(pair):
    home, other, home_name, other_name = pair
    named = name(home, other_name, ask(other))
    view = groups.view_of(home.state.routing, "lookups", named.target)
    home.know(home_name)
    assert view.held == 0


def test_home_forgets_an_attempt_whose_end_was_never_told(pair):
    home, other, _, other_name = pair
    named = name(home, other_name, ask(other))
    view = groups.view_of(home.state.routing, "lookups", named.target)
    later = 1.0 + other.state.cfg.services["lookups"].attempt_timeout
    later += const.GRANT_MARGIN_SECONDS + 0.1
    name(home, other_name, ask(other, later), later)
    assert sum(v.held for v in _views(home)) == 1
    assert view.held <= 1


def _views(entry):
    return entry.state.routing.services["lookups"].views.values()


def test_target_that_the_asker_knows_to_leave_is_not_used(pair):
    home, other, home_name, other_name = pair
    named = name(home, other_name, ask(other))
    other.hear_leaving(1.0, named.target)
    done = other.post(1.0, events.PeerMessageReceived(home_name, named))
    (attempt,) = conftest.started(done)
    assert attempt.target != named.target
    assert conftest.sent(done, messages.AttemptSettled)


def test_target_named_for_a_call_that_left_is_given_back(pair):
    home, other, home_name, other_name = pair
    named = name(home, other_name, ask(other))
    other.post(1.0, events.CallerDisconnected(1))
    done = other.post(1.0, events.PeerMessageReceived(home_name, named))
    assert not conftest.started(done)
    assert conftest.sent(done, messages.AttemptSettled)


def test_draining_target_is_told_to_all_entries_and_gets_nothing(pair):
    home, other, home_name, _ = pair
    (attempt,) = conftest.started(home.arrive(1.0))
    done = home.answer(1.01, attempt, draining=True)
    ((_, news),) = conftest.sent(done, messages.TargetTold)
    other.post(1.01, events.PeerMessageReceived(home_name, news))
    for entry in (home, other):
        view = groups.view_of(entry.state.routing, "lookups", attempt.target)
        assert view.leaving
    for _ in range(20):
        for again in conftest.started(home.arrive(1.02)):
            assert again.target != attempt.target


def test_target_that_the_configuration_gives_a_new_address_is_used(entry):
    for n in range(4):
        entry.hear_leaving(0.5, f"lookups-{n}")
    assert not conftest.started(entry.arrive(1.0))
    cfg = conftest.create_configuration(version=2)
    service = cfg.services["lookups"]
    targets = tuple(
        dataclasses.replace(target, address="10.0.0.9:80")
        if target.id == "lookups-2"
        else target
        for target in service.targets
    )
    moved = dataclasses.replace(service, targets=targets)
    newer = models.Configuration(2, {"lookups": moved})
    entry.post(1.5, events.ConfigurationRead(newer))
    (attempt,) = conftest.started(entry.arrive(9.0))
    assert attempt.target == "lookups-2"
