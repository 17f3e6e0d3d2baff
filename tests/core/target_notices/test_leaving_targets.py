"""Targets that say they are leaving while the store says they are ready.

Guards against entries that go by the store alone: a target that leaves got new
requests for as long as the store didn't know.
"""

import msgspec
import pytest
from tests.core.target_notices import closing_fleet

from agateshelf.core import events
from agateshelf.core.target_notices import models


@pytest.mark.parametrize("entries", [1, 4, 13])
def test_no_entry_sends_to_a_leaving_target(entries):
    fleet = closing_fleet.ClosingFleet(entries)
    fleet.leaving = {"t0", "t1"}
    fleet.load(1.0)
    began = fleet.now
    fleet.load(10.0)
    for target in fleet.leaving:
        assert not fleet.sends_since(target, began)
    assert fleet.outcomes(began) == {"answer": 400}


def test_each_entry_may_restart_while_others_know():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    for index, name in enumerate(fleet.nodes):
        fleet.at(fleet.now + 3 * index, fleet.kill, name)
        fleet.at(fleet.now + 3 * index + 0.5, fleet.restart, name)
    fleet.load(14.0)
    began = fleet.now
    fleet.load(5.0)
    assert fleet.sends_after_told() == []
    assert not fleet.sends_since("t0", began)


def test_the_successor_of_a_lost_owner_knows():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    owner = fleet.owner()
    # Neither the owner nor an entry that heard it from the target is left.
    for name in {owner, *(name for name, _ in fleet.told)}:
        if sum(node.alive for node in fleet.nodes.values()) > 2:
            fleet.kill(name)
    began = fleet.now
    alive = [name for name, node in fleet.nodes.items() if node.alive]
    fleet.load(5.0, names=alive)
    assert len(fleet.sends_since("t0", began)) <= 1


def test_a_late_registration_as_ready_changes_nothing():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    began = fleet.now
    for _ in range(5):
        fleet.change(fleet.target(0))
        fleet.load(0.5)
    assert not fleet.sends_since("t0", began)


def test_a_later_process_of_the_target_is_used_again():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    fleet.leaving = set()
    fleet.change(fleet.target(0, born=5000))
    began = fleet.now
    fleet.load(3.0)
    assert fleet.sends_since("t0", began)


def test_a_grant_of_an_owner_that_knows_nothing_is_not_sent():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    name = next(name for name, _ in fleet.told)
    began = fleet.now
    call = fleet.request(name)
    pending = fleet.nodes[name].state.dispatch.pending_requests
    number = next(iter(pending), 1)
    granted = events.DispatchDecided(call, number, fleet.owner(), "t0")
    fleet.post(fleet.nodes[name], granted)
    fleet.run_for(1.0)
    assert not fleet.sends_since("t0", began)
    assert fleet.response(call)[0] == "answer"
    notes = [note for _, note in fleet.nodes[name].notes]
    declined = [note for note in notes if note.event == "grant.declined"]
    assert [dict(note.details)["reason"] for note in declined] == ["leaving"]


def test_what_is_not_sent_yet_goes_elsewhere():
    fleet = closing_fleet.ClosingFleet(entries=1)
    applied = []
    apply = fleet.apply

    def record(node, effect):
        applied.append(effect)
        apply(node, effect)

    fleet.apply = record
    fleet.leaving = {"t0"}
    fleet.load(1.0)
    aborted = [
        effect.target
        for effect in applied
        if type(effect).__name__ == "AbortUnsentAttempts"
    ]
    assert aborted == ["t0"]


def test_a_leaving_target_is_not_probed_and_probes_tell():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {"t0"}
    probed = []
    probe = fleet._probe

    def tell(node, effect):
        probed.append((fleet.now, effect.target))
        if effect.target in fleet.leaving:
            event = events.TargetProbed(
                effect.service,
                effect.target,
                events.TargetLoad(0, 0, 2),
                leaving=True,
            )
            fleet.post(node, event)
        else:
            probe(node, effect)

    fleet._probe = tell
    fleet.run_for(1.0)
    began = fleet.now
    fleet.load(3.0)
    assert not fleet.sends_since("t0", began)
    assert not [at for at, target in probed if target == "t0" and at > began]
    assert [at for at, target in probed if target == "t1" and at > began]


def test_callers_are_refused_at_once_if_all_targets_leave():
    fleet = closing_fleet.ClosingFleet()
    fleet.leaving = {f"t{index}" for index in range(4)}
    fleet.load(2.0)
    began = fleet.now
    fleet.load(3.0)
    assert fleet.outcomes(began) == {"no-target": 120}
    waited = [
        fleet.ended_at[call] - at
        for call, at in fleet.sent_at.items()
        if at >= began
    ]
    assert max(waited) < 0.1


@pytest.mark.parametrize("entries", [13, 60])
def test_telling_costs_few_messages(entries):
    fleet = closing_fleet.ClosingFleet(entries)
    fleet.load(1.0)
    fleet.leaving = {"t0"}
    fleet.messages.clear()
    fleet.load(10.0)
    assert 1 <= fleet.messages["TargetNotices"] <= 2


def test_an_unreadable_value_changes_nothing_and_is_logged_once_a_second():
    fleet = closing_fleet.ClosingFleet()

    def answer_invalid(node, target, end):
        del target
        invalid = events.AttemptAnswered(
            end.attempt, 200, invalid_notices=(("leaving", "yes"),)
        )
        fleet.post(node, invalid)

    fleet._answer = answer_invalid
    fleet.load(2.0)
    assert fleet.outcomes() == {"answer": 80}
    for node in fleet.nodes.values():
        logged = [e for _, e in node.notes if e.event == "leaving.invalid"]
        assert len(logged) <= 3 * 4


def test_notices_of_an_earlier_version_are_read():
    # Entries that knew limits alone sent the first three fields.
    data = msgspec.msgpack.encode(["t0", 1.5, 0.25])
    notice = msgspec.msgpack.decode(data, type=models.Notice)
    assert notice == models.Notice("t0", 1.5, 0.25)
