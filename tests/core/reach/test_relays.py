"""Entries that are cut off from targets, in virtual time.

Guards against incident RECOVER: they held or failed what they could not send,
though entries beside them reached every target.
"""

import msgspec
import pytest
from tests.core import routed_fleet

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.directory import models as directory_models
from agateshelf.core.forwarding import arrivals
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import records

DOMAINS = ("boston", "boston", "hartford", "hartford")
SETTLED_SECONDS = 3.0
HOP_SECONDS = 0.002
KINDS = outcome_models.FailureKind


class CutFleet(routed_fleet.RoutedFleet):
    """A fleet in which some entries are cut off from targets.

    Attributes:
        cut: Entries that are cut off, and whether they see silence.
        down: Targets that refuse connections of everybody.
        relayed: Call and attempt of the entry that each relayed call is for, by
            number of the relay's call.
        direct: Time and entry of each send without a relay.
        lost_relays: Entries that take no relayed requests.
        lost_probes: Whether probes never end.
    """

    def __init__(self, targets=6, seed=1, silent=False):
        super().__init__(DOMAINS, seed)
        self.silent = silent
        self.cut = set()
        self.down = set()
        self.relayed = {}
        self.direct = []
        self.lost_relays = set()
        self.lost_probes = False
        for index in range(targets):
            name = f"t{index}"
            self.items[name] = routed_fleet.create_target(
                name, address=f"10.9.0.{index}:80"
            )
        self.start()
        self.run_for(8.0)

    def post(self, node, event):
        if isinstance(event, events.Started):
            address = f"relay/{node.name}"
            values = {f: getattr(event, f) for f in event.__struct_fields__}
            event = events.Started(**{**values, "relay_address": address})
        super().post(node, event)

    def _start(self, node, effect):
        if effect.relay:
            self._relay(node, effect)
            return
        self.direct.append((self.now, node.name))
        if node.name not in self.cut and effect.target not in self.down:
            super()._start(node, effect)
        elif not self.silent:
            end = routed_fleet.failed(
                effect.attempt, routed_fleet.CONNECT, sent=False
            )
            self.at(self.now + HOP_SECONDS, self.post, node, end)

    def _relay(self, node, effect):
        relay = self.nodes[effect.relay.removeprefix("relay/")]
        if relay.name in self.lost_relays:
            end = routed_fleet.failed(effect.attempt, KINDS.RELAY, sent=False)
            self.at(self.now + HOP_SECONDS, self.post, node, end)
            return
        call = next(self.calls)
        self.relayed[call] = (node, effect.attempt)
        arrived = events.RequestArrived(
            call,
            node.name,
            "GET",
            "/vin/1",
            host="recall.example",
            timeout=effect.timeout,
            relay_target=effect.target,
            relay_workspace=effect.workspace,
        )
        self.at(self.now + HOP_SECONDS, self.post, relay, arrived)

    def apply(self, node, effect):
        match effect:
            case effects.DeliverAnswer() if effect.call in self.relayed:
                origin, attempt = self.relayed[effect.call]
                end = events.AttemptAnswered(attempt, 200)
                self.at(self.now + HOP_SECONDS, self.post, origin, end)
            case effects.CheckTarget() if node.name in self.cut:
                refused = events.TargetRefused(effect.target)
                self.at(self.now + HOP_SECONDS, self.post, node, refused)
            case effects.Refuse() if effect.call in self.relayed:
                origin, attempt = self.relayed[effect.call]
                is_tried = effect.refusal.reason == "target-failed"
                kind = KINDS.CONNECT if is_tried else KINDS.RELAY
                end = routed_fleet.failed(attempt, kind, sent=False)
                self.at(self.now + HOP_SECONDS, self.post, origin, end)
            case _:
                super().apply(node, effect)

    def _probe(self, node, effect):
        if self.lost_probes and not effect.service:
            return
        if node.name in self.cut or effect.target in self.down:
            event = events.TargetProbed(effect.service, effect.target, None)
            self.post(node, event)
            return
        super()._probe(node, effect)

    def cut_off(self, name):
        """Cut an entry off, and reset what it has under way."""
        self.cut.add(name)
        node = self.nodes[name]
        for attempt in list(node.state.forwarding.attempts):
            end = routed_fleet.failed(attempt, routed_fleet.RESET)
            self.at(self.now + HOP_SECONDS, self.post, node, end)

    def send_for(self, seconds, names, per_second=20):
        """Send requests through entries in turn; return their calls."""
        sent = []
        for number in range(int(seconds * per_second)):
            at = self.now + number / per_second
            self.at(at, self._send, names[number % len(names)], sent)
        self.run_for(seconds)
        return sent

    def _send(self, name, sent):
        sent.append(self.request(name))

    def served(self, calls):
        """Return how many calls were answered."""
        responses = [self.response(call) for call in calls]
        return sum(one is not None and one[0] == "answer" for one in responses)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_callers_of_cut_entries_are_served(count, silent):
    fleet = CutFleet(silent=silent)
    names = list(fleet.nodes)
    fleet.cut = set(names[:count])
    fleet.send_for(SETTLED_SECONDS, names)
    calls = fleet.send_for(6.0, names[:count])
    fleet.run_for(1.0)
    assert fleet.served(calls) == len(calls)


def test_entries_that_are_not_cut_keep_their_targets():
    # Connect failures of cut entries must not bar targets for the others.
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.cut = set(names[:2])
    fleet.send_for(SETTLED_SECONDS, names)
    calls = fleet.send_for(4.0, names[2:])
    fleet.run_for(1.0)
    assert fleet.served(calls) == len(calls)


@pytest.mark.parametrize("silent", [False, True])
def test_entries_send_directly_again_once_the_cut_is_over(silent):
    fleet = CutFleet(silent=silent)
    names = list(fleet.nodes)
    fleet.cut = set(names[:1])
    fleet.send_for(SETTLED_SECONDS, names[:1])
    fleet.cut = set()
    fleet.run_for(1.0)
    before = len(fleet.relayed)
    calls = fleet.send_for(3.0, names[:1])
    fleet.run_for(1.0)
    assert fleet.served(calls) == len(calls)
    assert len(fleet.relayed) == before


def test_a_cut_is_noticed_though_a_probed_target_goes():
    fleet = CutFleet()
    name = next(iter(fleet.nodes))
    node = fleet.nodes[name]
    fleet.lost_probes = True
    fleet.cut = {name}
    fleet.send_for(0.2, [name])
    fleet.lost_probes = False
    for target in node.state.reach.services["status"].probing:
        fleet.change(directory_models.Removal(target, 0))
    fleet.send_for(SETTLED_SECONDS, [name])
    assert any(effect.event == "reach.lost" for _, effect in node.notes)


def test_one_target_that_does_not_drain_is_enough_to_end_a_cut():
    fleet = CutFleet(targets=2)
    names = list(fleet.nodes)
    fleet.cut = set(names[:1])
    fleet.send_for(SETTLED_SECONDS, names[:1])
    fleet.change(routed_fleet.create_target("t0", draining=True))
    fleet.cut = set()
    fleet.run_for(1.0)
    before = len(fleet.relayed)
    fleet.send_for(2.0, names[:1])
    assert len(fleet.relayed) == before


def test_relays_share_the_load_of_cut_entries():
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.cut = set(names[:1])
    fleet.send_for(SETTLED_SECONDS, names[:1])
    fleet.direct.clear()
    fleet.send_for(10.0, names[:1])
    by_entry = [sum(n == name for _, n in fleet.direct) for name in names[1:]]
    assert min(by_entry) >= 0.1 * sum(by_entry)


def test_a_relay_that_takes_nothing_is_passed_over():
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.cut = set(names[:1])
    fleet.lost_relays = set(names[1:3])
    fleet.send_for(SETTLED_SECONDS, names[:1])
    calls = fleet.send_for(4.0, names[:1])
    fleet.run_for(1.0)
    assert fleet.served(calls) == len(calls)


def test_the_only_relay_is_used_again_after_it_failed_once():
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.cut = set(names[:3])
    fleet.send_for(SETTLED_SECONDS, names)
    fleet.lost_relays = set(names[3:])
    fleet.send_for(0.1, names[:1])
    fleet.lost_relays = set()
    calls = fleet.send_for(0.8, names[:1])
    fleet.run_for(1.0)
    assert fleet.served(calls) == len(calls)


def test_a_target_that_is_down_is_not_taken_for_a_cut():
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.down = {"t0", "t1"}
    fleet.send_for(6.0, names)
    for node in fleet.nodes.values():
        logged = [effect.event for _, effect in node.notes]
        assert "reach.lost" not in logged


def test_targets_that_went_are_forgotten():
    fleet = CutFleet()
    fleet.down = {"t0"}
    fleet.send_for(3.0, list(fleet.nodes))
    fleet.change(directory_models.Removal("t0", 0))
    fleet.down = {"t1"}
    fleet.send_for(6.0, list(fleet.nodes))
    for node in fleet.nodes.values():
        reach = node.state.reach.services["status"]
        assert "t0" not in reach.down | reach.unreached


def test_nothing_is_held_when_no_entry_reaches_a_target():
    fleet = CutFleet(silent=True)
    names = list(fleet.nodes)
    fleet.cut = set(names)
    fleet.send_for(SETTLED_SECONDS, names)
    calls = fleet.send_for(4.0, names)
    answered = [fleet.response(call) for call in calls]
    refused_at_once = [one for one in answered if one is not None]
    assert len(refused_at_once) >= 0.8 * len(calls)
    for kind, refusal in refused_at_once:
        assert kind == "refused"
        assert refusal.retry_after


@pytest.mark.parametrize("pause", [0.0, 0.02, 0.2])
def test_a_cut_does_not_count_as_crashes_of_what_ran(pause):
    # All callers ask the same, so that it would be withheld from all of them.
    fleet = CutFleet()
    names = list(fleet.nodes)
    fleet.run_seconds = 0.3
    for name in names[:3]:
        for _ in range(3):
            fleet.request(name)
        fleet.run_for(0.01)
        fleet.cut_off(name)
        fleet.run_for(pause)
    fleet.run_for(0.5)
    for node in fleet.nodes.values():
        assert not records.active_crashes(
            node.state, fleet.now, fingerprint_of_lookup()
        )


def fingerprint_of_lookup():
    """Return the fingerprint of the request that all callers send."""
    event = events.RequestArrived(
        0, "desk", "GET", "/vin/1", host="recall.example"
    )
    return arrivals.fingerprint_of(event)


def test_a_relay_sends_nothing_to_a_leaving_target():
    fleet = CutFleet()
    relay = next(iter(fleet.nodes.values()))
    draining = routed_fleet.create_target("t0", draining=True)
    fleet.change(draining)
    fleet.run_for(1.0)
    fleet.sends.clear()
    arrived = events.RequestArrived(
        9999,
        "10.0.0.9",
        "GET",
        "/vin/1",
        host="recall.example",
        relay_target="t0",
    )
    fleet.post(relay, arrived)
    kind, refusal = fleet.response(9999)
    assert kind == "refused"
    assert refusal.outcome is outcome_models.Outcome.NOT_RUN
    assert not fleet.sends["t0"]


def test_a_booking_that_a_target_runs_is_not_moved_by_a_cut():
    # It would be broken off, and could run twice.
    fleet = CutFleet(silent=True)
    book = routed_fleet.create_route(
        name="book", prefix="/book/", idempotent=False, timeout=5.0
    )
    fleet.change(
        table=routed_fleet.create_table(2, routed_fleet.create_route(), book)
    )
    fleet.run_for(0.5)
    name = next(iter(fleet.nodes))
    fleet.run_seconds = 4.0
    call = fleet.request(name, path="/book/1", method="POST", timeout=5.0)
    fleet.run_for(0.1)
    fleet.run_seconds = 0.1
    fleet.cut = {name}
    lookups = fleet.send_for(3.0, [name])
    notes = fleet.nodes[name].notes
    assert "reach.lost" in [note.event for _, note in notes]
    fleet.run_for(2.0)
    assert fleet.response(call)[0] == "answer"
    moved = [note for _, note in notes if note.event == "attempt.ended"]
    assert moved
    assert f"r{call}" not in [note.request_id for note in moved]
    assert fleet.served(lookups) > 0.8 * len(lookups)


@pytest.mark.parametrize("stops", [False, True])
def test_a_stop_moves_no_lookup_that_it_may_refuse_then(stops):
    # Slow targets were taken for a cut in a stop, and lookups told 502.
    fleet = CutFleet(silent=True)
    fleet.change(
        table=routed_fleet.create_table(
            2, routed_fleet.create_route(timeout=8.0)
        )
    )
    fleet.run_for(0.5)
    name = next(iter(fleet.nodes))
    node = fleet.nodes[name]
    if stops:
        fleet.post(node, events.StopRequested(5.28))
    fleet.run_for(1.0)
    fleet.run_seconds = 4.0
    call = fleet.request(name, timeout=8.0)
    fleet.run_for(0.1)
    fleet.run_seconds = 0.1
    fleet.cut = {name}
    fleet.send_for(3.0, [name])
    assert "reach.lost" in [note.event for _, note in node.notes]
    moved = [
        note.request_id
        for _, note in node.notes
        if note.event == "attempt.ended"
        and dict(note.details)["cause"] == "moved"
    ]
    assert (f"r{call}" in moved) is not stops


class LateFleet(CutFleet):
    """A fleet whose entries read what was sent to them some seconds later."""

    late = 0.35

    def _relay(self, node, effect):
        self.at(self.now + self.late, super()._relay, node, effect)

    def post(self, node, event):
        if isinstance(event, events.RequestArrived) and event.relay_target:
            event = msgspec.structs.replace(event, waited=self.late)
        super().post(node, event)


def test_busy_entries_on_the_way_give_a_target_no_more_than_half_a_second():
    fleet = LateFleet()
    name = next(iter(fleet.nodes))
    fleet.cut_off(name)
    fleet.send_for(2.0, [name])
    fleet.run_for(1.0)
    fleet.sends.clear()
    ends = fleet.now - fleet.late + 1.0
    fleet.request(name, timeout=1.0, waited=fleet.late)
    fleet.run_for(0.5)
    ((at, sender, effect),) = [
        send for sends in fleet.sends.values() for send in sends
    ]
    assert sender != name
    assert at + effect.timeout - effect.told_less <= ends + 0.5
