"""Tests of placement: owners grant targets, silent owners are skipped."""

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
    """Return the owner of the only group, the other entry and both names."""
    cfg = conftest.create_configuration()
    names = ("e0", "e1")
    entries = {name: conftest.Entry(name, cfg) for name in names}
    for entry in entries.values():
        entry.set_live_entries(*names)
    owner = groups.owner_of(entries["e0"].state.routing, "lookups/0")
    (other,) = set(names) - {owner}
    return entries[owner], entries[other], owner, other


def send_request(entry, now=1.0, **changes):
    ((_, message),) = conftest.sent(
        entry.arrive(now, **changes), messages.TargetRequest
    )
    return message


def grant(owner, other_name, message, now=1.0):
    emitted = owner.post(now, events.PeerMessageReceived(other_name, message))
    ((_, response),) = conftest.sent(emitted, messages.TargetResponse)
    return response


def test_owner_spreads_the_calls_of_all_entries(pair):
    owner, other, owner_name, other_name = pair
    targets = []
    for _ in range(4):
        (attempt,) = conftest.started(owner.arrive(1.0))
        targets.append(attempt.target)
        response = grant(owner, other_name, send_request(other))
        emitted = other.post(
            1.0, events.PeerMessageReceived(owner_name, response)
        )
        (attempt,) = conftest.started(emitted)
        targets.append(attempt.target)
    assert sorted(targets) == sorted(2 * [f"lookups-{n}" for n in range(4)])


def test_silent_owner_is_skipped_for_a_while(pair):
    _, other, owner_name, _ = pair
    message = send_request(other)
    late = 1.0 + const.REPLY_TIMEOUT_SECONDS
    emitted = other.post(late, events.Tick())
    assert len(conftest.started(emitted)) == 1
    ((receivers, ended),) = conftest.sent(emitted, messages.AttemptEnded)
    assert receivers == (owner_name,)
    assert ended.number == message.number
    assert len(conftest.started(other.arrive(late + 0.001))) == 1
    again = late + const.SUSPICION_SECONDS + 0.001
    assert conftest.sent(other.arrive(again), messages.TargetRequest)


def test_target_granted_after_the_deadline_starts_nothing(pair):
    owner, other, owner_name, other_name = pair
    response = grant(owner, other_name, send_request(other))
    late = 1.0 + other.state.cfg.services["lookups"].timeout + 0.001
    emitted = other.post(late, events.PeerMessageReceived(owner_name, response))
    assert not conftest.started(emitted)
    assert [e.refusal.status for e in emitted if hasattr(e, "refusal")] == [504]
    assert conftest.sent(emitted, messages.AttemptEnded)


def test_owner_releases_attempts_when_they_end(pair):
    owner, other, owner_name, other_name = pair
    response = grant(owner, other_name, send_request(other))
    view = groups.find_target_view(
        owner.state.routing, "lookups", response.target
    )
    assert view.outstanding == 1
    emitted = other.post(1.0, events.PeerMessageReceived(owner_name, response))
    (attempt,) = conftest.started(emitted)
    emitted = other.answer(1.01, attempt)
    ((_, ended),) = conftest.sent(emitted, messages.AttemptEnded)
    owner.post(1.01, events.PeerMessageReceived(other_name, ended))
    assert view.outstanding == 0


def test_owner_drops_the_attempts_of_an_entry_that_is_gone(pair):
    owner, other, owner_name, other_name = pair
    response = grant(owner, other_name, send_request(other))
    view = groups.find_target_view(
        owner.state.routing, "lookups", response.target
    )
    owner.set_live_entries(owner_name)
    assert view.outstanding == 0


def test_owner_drops_an_attempt_whose_end_was_never_reported(pair):
    owner, other, _, other_name = pair
    response = grant(owner, other_name, send_request(other))
    view = groups.find_target_view(
        owner.state.routing, "lookups", response.target
    )
    later = 1.0 + other.state.cfg.services["lookups"].attempt_timeout
    later += const.GRANT_MARGIN_SECONDS + 0.1
    grant(owner, other_name, send_request(other, later), later)
    assert sum(v.outstanding for v in _views(owner)) == 1
    assert view.outstanding <= 1


def _views(entry):
    return entry.state.routing.services["lookups"].views.values()


def test_granted_target_known_to_be_draining_is_not_used(pair):
    owner, other, owner_name, other_name = pair
    response = grant(owner, other_name, send_request(other))
    other.receive_draining(1.0, response.target)
    emitted = other.post(1.0, events.PeerMessageReceived(owner_name, response))
    (attempt,) = conftest.started(emitted)
    assert attempt.target != response.target
    assert conftest.sent(emitted, messages.AttemptEnded)


def test_target_granted_after_the_caller_disconnected_is_released(pair):
    owner, other, owner_name, other_name = pair
    response = grant(owner, other_name, send_request(other))
    other.post(1.0, events.CallerDisconnected(1))
    emitted = other.post(1.0, events.PeerMessageReceived(owner_name, response))
    assert not conftest.started(emitted)
    assert conftest.sent(emitted, messages.AttemptEnded)


def test_draining_target_is_announced_and_gets_no_calls(pair):
    owner, other, owner_name, _ = pair
    (attempt,) = conftest.started(owner.arrive(1.0))
    emitted = owner.answer(1.01, attempt, draining=True)
    ((_, update),) = conftest.sent(emitted, messages.TargetStateUpdate)
    other.post(1.01, events.PeerMessageReceived(owner_name, update))
    for entry in (owner, other):
        view = groups.find_target_view(
            entry.state.routing, "lookups", attempt.target
        )
        assert view.is_draining
    for _ in range(20):
        for again in conftest.started(owner.arrive(1.02)):
            assert again.target != attempt.target


def test_target_with_a_new_address_is_used_again(entry):
    for n in range(4):
        entry.receive_draining(0.5, f"lookups-{n}")
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
