"""100,000 bookings under faults over 14 entries, in virtual time."""

import dataclasses
import gc

from bench import bookings_world
from bench import report

_ENTRIES = 14
_SEED = 20
_BOOKINGS = 100_000
_RATE = 2000.0
_WARM_SECONDS = 1.0
_TAIL_SECONDS = 12.0
_COPIES_AT_ONCE = 0.02
_MAX_COPIES = 6
_RESEND_SECONDS = 1.0
_OUTAGE_AT = 20.0
_OUTAGE_SECONDS = 4.0
_STEADY_BEGINS = 2.0
_STEADY_ENDS = 10.0
_WRITES_LIMIT = 200.0

_AT_MOST = report.Side.AT_MOST


@dataclasses.dataclass(slots=True)
class Caller:
    """A careful caller: sends a key again until it has a last word.

    Attributes:
        world: The run.
    """

    world: bookings_world.World

    def hear(self, copy: bookings_world.Copy) -> None:
        """Decide whether to send again."""
        booking = copy.booking
        if copy.word == "ok" or copy.word.endswith("-final"):
            booking.settled = True
        if booking.settled or len(booking.copies) >= _MAX_COPIES:
            return
        when = self.world.now + _RESEND_SECONDS
        self.world.at(when, self._send_again, booking)

    def _send_again(self, booking: bookings_world.Booking) -> None:
        if not booking.settled:
            self.world.send(booking)

    def begin(self, number: int) -> None:
        """Send the next booking, sometimes both copies at once."""
        booking = self.world.book(f"booking-{number}")
        if self.world.rng.random() < _COPIES_AT_ONCE:
            self.world.send(booking)
        if number + 1 < _BOOKINGS:
            when = self.world.now + self.world.rng.expovariate(_RATE)
            self.world.at(when, self.begin, number + 1)


def create_world() -> bookings_world.World:
    """Create the run with its bookings and faults scheduled."""
    faults = bookings_world.Faults(
        lost_peer_messages=0.002, cut_answers=0.005, refused=0.02
    )
    world = bookings_world.World(_ENTRIES, _SEED, faults)
    caller = Caller(world)
    world.hears = caller.hear
    world.at(_WARM_SECONDS, caller.begin, 0)
    world.at(_STEADY_ENDS, _break_things, world)
    return world


def _break_things(world: bookings_world.World) -> None:
    world.faults.lost_store_answers = 0.02
    world.faults.late_store_writes = 0.2
    world.at(_OUTAGE_AT, _set_store_away, world, True)
    world.at(_OUTAGE_AT + _OUTAGE_SECONDS, _set_store_away, world, False)
    for second, seconds in ((12.0, 1.0), (27.0, 8.0), (30.0, 0.3)):
        world.at(second, _pause_one, world, seconds)
    for second in (14.0, 21.0, 32.0, 40.0):
        world.at(second, _replace_one, world)


def _set_store_away(world: bookings_world.World, away: bool) -> None:
    world.store_away = away


def _pause_one(world: bookings_world.World, seconds: float) -> None:
    world.pause(world.rng.choice(world.live()), seconds)


def _replace_one(world: bookings_world.World) -> None:
    world.replace(world.rng.choice(world.live()))


def run() -> list[report.Figure]:
    """Run the bookings and judge every word."""
    world = create_world()
    gc.disable()
    world.run(_WARM_SECONDS + _BOOKINGS / _RATE + _TAIL_SECONDS)
    gc.enable()
    judged = bookings_world.judge(world)
    zero = report.Bound(_AT_MOST, 0)
    figures = [
        report.Figure("bookings/doubled", judged.doubled, "keys", zero),
        report.Figure("bookings/lost", judged.lost, "keys", zero),
        report.Figure("bookings/untrue", judged.untrue, "words", zero),
        report.Figure("bookings/foreign", judged.foreign, "answers", zero),
    ]
    figures.extend(_rates(world))
    figures.extend(_added(world))
    figures.extend(_ends(world))
    return figures


def _rates(world: bookings_world.World) -> list[report.Figure]:
    end = _WARM_SECONDS + _BOOKINGS / _RATE
    steady = _rate_between(world, _STEADY_BEGINS, _STEADY_ENDS)
    whole = _rate_between(world, _WARM_SECONDS, end)
    bound = report.Bound(_AT_MOST, _WRITES_LIMIT)
    reads = world.reads / (end - _WARM_SECONDS)
    return [
        report.Figure("bookings/steady/writes", steady, "writes/s", bound),
        report.Figure("bookings/faults/writes", whole, "writes/s", bound),
        report.Figure("bookings/faults/reads", reads, "reads/s"),
    ]


def _rate_between(
    world: bookings_world.World, begins: float, ends: float
) -> float:
    writes = sum(begins <= at < ends for at in world.writes)
    return writes / (ends - begins)


def _added(world: bookings_world.World) -> list[report.Figure]:
    steady = [
        seconds
        for at, seconds in world.claim_seconds
        if _STEADY_BEGINS <= at < _STEADY_ENDS
    ]
    whole = [seconds for _, seconds in world.claim_seconds]
    return [
        *_percentiles("bookings/steady/added", steady),
        *_percentiles("bookings/faults/added", whole),
    ]


def _percentiles(name: str, values: list[float]) -> list[report.Figure]:
    ordered = sorted(values)
    return [
        report.Figure(
            f"{name}/p{percent}",
            ordered[len(ordered) * percent // 100] * 1000.0,
            "ms",
        )
        for percent in (50, 99)
    ]


def _ends(world: bookings_world.World) -> list[report.Figure]:
    copies = [copy for b in world.bookings for copy in b.copies]
    outage = [
        copy
        for copy in copies
        if _OUTAGE_AT <= copy.sent < _OUTAGE_AT + _OUTAGE_SECONDS
    ]
    refused = sum(copy.reason == "claims-unavailable" for copy in outage)
    settled = sum(booking.settled for booking in world.bookings)
    return [
        report.Figure(
            "bookings/outage/refused", 100.0 * refused / len(outage), "%"
        ),
        report.Figure(
            "bookings/settled", 100.0 * settled / len(world.bookings), "%"
        ),
    ]
