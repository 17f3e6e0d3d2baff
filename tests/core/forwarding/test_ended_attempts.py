"""What ends an attempt whose target may be at work, and what the log says.

Guards against incident LOST: an entry ends a request that may run at most once
only at its deadline, at the end of a stop, or as its caller has left.
"""

import dataclasses
import random

import pytest
from tests.core import routed_fleet

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.directory import models as directory_models

STOP_SECONDS = 5.28
BOOKINGS = routed_fleet.create_route(
    name="bookings",
    prefix="/book/",
    idempotent=False,
    timeout=2.0,
    max_attempts=2,
)
LOOKUPS = routed_fleet.create_route(timeout=2.0)
TARGETS = [
    routed_fleet.create_target(f"i-{number}", slots=30) for number in range(6)
]


@pytest.fixture
def fleet():
    created = routed_fleet.create_fleet()
    created.change(table=routed_fleet.create_table(2, LOOKUPS, BOOKINGS))
    created.run_for(0.2)
    created.script = lambda _: (0.0, None)
    return created


def book(fleet, name, timeout=6.0):
    return fleet.request(name, path="/book/1", method="POST", timeout=timeout)


def ended(fleet):
    """Return the details of the ends of attempts that were logged."""
    return [
        dict(note.details) | {"request": note.request_id, "at": at}
        for node in fleet.nodes.values()
        for at, note in node.notes
        if note.event == "attempt.ended"
    ]


def test_end_at_the_deadline_is_logged(fleet):
    name = next(iter(fleet.nodes))
    call = book(fleet, name)
    fleet.run_for(2.1)
    (end,) = ended(fleet)
    assert end["request"] == f"r{call}"
    assert end["cause"] == "deadline"
    assert end["seconds"] == pytest.approx(2.0, abs=0.05)
    assert (end["timeout_ms"], end["left_ms"]) == (2000.0, 0.0)
    assert "stop_left_ms" not in end


def test_end_by_a_stop_is_logged_with_the_time_that_was_left(fleet):
    fleet.change(
        table=routed_fleet.create_table(
            3, BOOKINGS, routed_fleet.create_route(timeout=8.0)
        )
    )
    fleet.run_for(0.2)
    node = next(iter(fleet.nodes.values()))
    fleet.post(node, events.StopRequested(STOP_SECONDS))
    fleet.request(node.name, timeout=8.0)
    fleet.run_for(1.0)
    fleet.post(node, events.StopDeadlinePassed())
    (end,) = ended(fleet)
    assert end["cause"] == "stop"
    assert end["left_ms"] == pytest.approx(7000.0, abs=1.0)
    assert end["stop_left_ms"] == 0.0


def test_end_as_the_caller_left_is_logged(fleet):
    node = next(iter(fleet.nodes.values()))
    call = book(fleet, node.name)
    fleet.run_for(0.5)
    fleet.post(node, events.CallerDisconnected(call))
    (end,) = ended(fleet)
    assert (end["cause"], end["idempotent"]) == ("caller-left", False)


class TroubledFleet(routed_fleet.RoutedFleet):
    """A fleet under stops in turn, changes of routes, and failing targets.

    Attributes:
        cancelled: Attempts that entries cancelled, by entry and number.
        arrived: When each booking arrived, by its identifier.
    """

    def __init__(self, seed):
        super().__init__(("boston", "hartford") * 3, seed)
        self.draws = random.Random(seed)
        self.cancelled = set()
        self.arrived = {}
        self.version = 1
        self.script = self.run_badly

    def apply(self, node, effect):
        if isinstance(effect, effects.CancelAttempt):
            self.cancelled.add((node.name, effect.attempt))
        super().apply(node, effect)

    def run_badly(self, effect):
        number = effect.attempt
        match self.draws.randrange(8):
            case 0:
                return 0.0, None
            case 1:
                return 0.3, routed_fleet.failed(number, routed_fleet.RESET)
            case 2:
                return 0.4, routed_fleet.failed(
                    number, routed_fleet.CONNECT, sent=False
                )
            case 3:
                return 0.1, events.AttemptAnswered(number, 503, not_run=True)
            case 4:
                return 0.2, events.AttemptAnswered(number, 500)
            case _:
                seconds = self.draws.choice((0.1, 0.8, 1.9))
                return seconds, events.AttemptAnswered(number, 200)

    def change_routes(self):
        self.version += 1
        timeout = self.draws.choice((1.0, 2.0, 5.0))
        book = routed_fleet.create_route(
            name="bookings",
            prefix="/book/",
            idempotent=False,
            timeout=timeout,
        )
        table = routed_fleet.create_table(self.version, LOOKUPS, book)
        self.change(table=table)

    def change_target(self):
        target = self.draws.choice(TARGETS)
        match self.draws.randrange(4):
            case 0:
                self.change(directory_models.Removal(target.id, 0))
            case 1:
                self.change(dataclasses.replace(target, draining=True))
            case 2:
                self.silent_targets ^= {target.id}
            case _:
                self.change(target)

    def stop(self, name):
        """Stop an entry as the daemon does, and start it again."""
        node = self.nodes[name]
        self.post(node, events.StopRequested(STOP_SECONDS))
        end = self.now + STOP_SECONDS
        self.at(end, self.post, node, events.StopDeadlinePassed())
        self.at(end + 0.3, self.restart, name)

    def send(self):
        name = self.draws.choice(list(self.nodes))
        if self.draws.random() < 0.3:
            self.request(name, timeout=4.0)
            return
        self.arrived[f"r{book(self, name)}"] = self.now

    def play(self, seconds):
        """Let everything happen for some seconds, from now on."""
        for number in range(round(seconds / 0.02)):
            self.at(self.now + 0.02 * number, self.send)
        for number in range(round(seconds / 0.25)):
            self.at(self.now + 0.25 * number, self.change_target)
            self.at(self.now + 0.25 * number, self.change_routes)
        for number, name in enumerate(self.nodes):
            self.at(self.now + 1.3 * number, self.stop, name)
        self.run_for(seconds + 10.0)


@pytest.fixture(scope="module", params=[range(1, 4), range(4, 7)], ids=str)
def troubled_fleets(request):
    """Fleets of some seeds after their troubles."""
    fleets = [TroubledFleet(seed) for seed in request.param]
    for fleet in fleets:
        fleet.change(*TARGETS)
        fleet.change_routes()
        fleet.start()
        fleet.run_for(3.0)
        fleet.play(15.0)
    return fleets


def test_a_booking_is_ended_by_nothing_but_its_time_or_a_stop(troubled_fleets):
    causes = set()
    for fleet in troubled_fleets:
        for end in ended(fleet):
            if end["idempotent"]:
                continue
            waited = end["at"] - fleet.arrived[end["request"]]
            causes.add(end["cause"])
            match end["cause"]:
                case "deadline":
                    assert waited >= end["timeout_ms"] / 1000 - 0.001
                case "stop":
                    assert end["stop_left_ms"] <= 0
                    assert waited > STOP_SECONDS - 2.75
    assert causes == {"deadline", "stop"}


def test_each_cancelled_attempt_is_logged_with_its_cause(troubled_fleets):
    for fleet in troubled_fleets:
        logged = {
            (node.name, dict(note.details)["attempt"])
            for node in fleet.nodes.values()
            for _, note in node.notes
            if note.event == "attempt.ended"
        }
        assert fleet.cancelled
        assert fleet.cancelled == logged


@pytest.mark.parametrize("waited", [0.0, 0.05, 0.3, 0.39])
def test_what_a_request_may_have_waited_ends_it_no_sooner(fleet, waited):
    # It may as well have come at the end of that time.
    name = next(iter(fleet.nodes))
    began = fleet.now
    book_waited = {"path": "/book/1", "method": "POST", "waited": waited}
    fleet.request(name, timeout=4.0, **book_waited)
    fleet.run_for(3.0)
    (end,) = ended(fleet)
    assert end["at"] - began == pytest.approx(2.0, abs=0.001)


def test_targets_get_at_most_half_a_second_more_than_is_left(fleet):
    name = next(iter(fleet.nodes))
    fleet.request(name, timeout=2.0, waited=1.2)
    fleet.run_for(0.05)
    (sent,) = [send for sends in fleet.sends.values() for send in sends]
    assert sent[2].timeout <= 2.0 - 1.2 + 0.5


def stream(fleet, effect):
    fleet.post(
        next(iter(fleet.nodes.values())),
        events.AttemptAnswered(effect.attempt, 200, streaming=True),
    )


def test_answer_that_streams_is_not_refused_at_the_end_of_a_stop(fleet):
    node = next(iter(fleet.nodes.values()))
    call = book(fleet, node.name)
    fleet.run_for(0.1)
    (sent,) = [send for sends in fleet.sends.values() for send in sends]
    stream(fleet, sent[2])
    fleet.post(node, events.StopRequested(STOP_SECONDS))
    fleet.post(node, events.StopDeadlinePassed())
    assert fleet.response(call) == ("answer", sent[2].attempt)
    assert ended(fleet) == []
    assert "call.refused" not in [note.event for _, note in node.notes]
