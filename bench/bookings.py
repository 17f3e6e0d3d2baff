"""100,000 bookings under faults over 14 entries, in virtual time."""

from concurrent import futures
import dataclasses
import gc
import multiprocessing

from bench import bookings_world
from bench import report

_ENTRIES = 14
_SEEDS = (20, 21, 22)
_BOOKINGS = 33_334
_RATE = 2000.0
_WARM_SECONDS = 1.0
_END_SECONDS = _WARM_SECONDS + _BOOKINGS / _RATE
_TAIL_SECONDS = 12.0
_COPIES_AT_ONCE = 0.02
_MAX_COPIES = 8
_RESEND_SECONDS = 1.0
_STEADY_BEGINS = 2.0
_FAULTS_BEGIN = 6.0
_OUTAGE_AT = 8.0
_OUTAGE_SECONDS = 2.5
_PAUSES = ((6.5, 1.0), (11.0, 8.0), (13.0, 0.3))
_DEATHS = (7.0, 9.0, 12.0, 14.0)
_WRITES_LIMIT = 200.0

_AT_MOST = report.Comparison.AT_MOST


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


def create_world(seed: int) -> bookings_world.World:
    """Create a run with its bookings and faults scheduled."""
    faults = bookings_world.Faults(
        lost_peer_messages=0.002, cut_answers=0.005, refused=0.02
    )
    world = bookings_world.World(_ENTRIES, seed, faults)
    caller = Caller(world)
    world.hears = caller.hear
    world.at(_WARM_SECONDS, caller.begin, 0)
    world.at(_FAULTS_BEGIN, _break_things, world)
    return world


def _break_things(world: bookings_world.World) -> None:
    world.faults.lost_store_answers = 0.02
    world.faults.late_store_writes = 0.2
    world.at(_OUTAGE_AT, _set_store_away, world, True)
    world.at(_OUTAGE_AT + _OUTAGE_SECONDS, _set_store_away, world, False)
    for second, seconds in _PAUSES:
        world.at(second, _pause_one, world, seconds)
    for second in _DEATHS:
        world.at(second, _replace_one, world)


def _set_store_away(world: bookings_world.World, away: bool) -> None:
    world.store_away = away


def _pause_one(world: bookings_world.World, seconds: float) -> None:
    world.pause(world.rng.choice(world.live()), seconds)


def _replace_one(world: bookings_world.World) -> None:
    world.replace(world.rng.choice(world.live()))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one run has shown.

    Attributes:
        judged: What the callers' words are worth.
        steady_writes: Writes at the store a second, before the faults.
        writes: The same over the whole run.
        reads: Reads at the store a second.
        steady_added: Seconds that claims added, before the faults.
        added: The same over the whole run.
        outage_copies: Copies sent during the outage.
        outage_refused: Those of them refused for want of the store.
        settled: Bookings that had a last word.
    """

    judged: bookings_world.Judgement
    steady_writes: float
    writes: float
    reads: float
    steady_added: list[float]
    added: list[float]
    outage_copies: int
    outage_refused: int
    settled: int


def run_one(seed: int) -> Outcome:
    """Run one seed's bookings and judge every word."""
    world = create_world(seed)
    gc.disable()
    world.run(_END_SECONDS + _TAIL_SECONDS)
    gc.enable()
    outage = [copy for copy in _copies(world) if _is_in_outage(copy)]
    return Outcome(
        judged=bookings_world.judge(world),
        steady_writes=_rate_between(world, _STEADY_BEGINS, _FAULTS_BEGIN),
        writes=_rate_between(world, _WARM_SECONDS, _END_SECONDS),
        reads=world.reads / (_END_SECONDS - _WARM_SECONDS),
        steady_added=[
            seconds
            for at, seconds in world.claim_seconds
            if _STEADY_BEGINS <= at < _FAULTS_BEGIN
        ],
        added=[seconds for _, seconds in world.claim_seconds],
        outage_copies=len(outage),
        outage_refused=sum(c.reason == "claims-unavailable" for c in outage),
        settled=sum(booking.settled for booking in world.bookings),
    )


def _copies(world: bookings_world.World) -> list[bookings_world.Copy]:
    return [copy for b in world.bookings for copy in b.copies]


def _is_in_outage(copy: bookings_world.Copy) -> bool:
    return _OUTAGE_AT <= copy.sent < _OUTAGE_AT + _OUTAGE_SECONDS


def _rate_between(
    world: bookings_world.World, begins: float, ends: float
) -> float:
    writes = sum(begins <= at < ends for at in world.writes)
    return writes / (ends - begins)


def run() -> list[report.Figure]:
    """Run the bookings of every seed and judge every word."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(len(_SEEDS), context) as pool:
        outcomes = list(pool.map(run_one, _SEEDS))
    return [
        *_judgements([outcome.judged for outcome in outcomes]),
        *_rates(outcomes),
        *_added(outcomes),
        *_ends(outcomes),
    ]


def _judgements(
    judged: list[bookings_world.Judgement],
) -> list[report.Figure]:
    zero = report.Bound(_AT_MOST, 0)
    totals = (
        ("doubled", sum(one.doubled for one in judged), "keys"),
        ("lost", sum(one.lost for one in judged), "keys"),
        ("untrue", sum(one.untrue for one in judged), "words"),
        ("foreign", sum(one.foreign for one in judged), "answers"),
    )
    return [
        report.Figure(f"bookings/{name}", total, unit, zero)
        for name, total, unit in totals
    ]


def _rates(outcomes: list[Outcome]) -> list[report.Figure]:
    bound = report.Bound(_AT_MOST, _WRITES_LIMIT)
    steady = max(outcome.steady_writes for outcome in outcomes)
    writes = max(outcome.writes for outcome in outcomes)
    reads = max(outcome.reads for outcome in outcomes)
    return [
        report.Figure("bookings/steady/writes", steady, "writes/s", bound),
        report.Figure("bookings/faults/writes", writes, "writes/s", bound),
        report.Figure("bookings/faults/reads", reads, "reads/s"),
    ]


def _added(outcomes: list[Outcome]) -> list[report.Figure]:
    steady = [one for outcome in outcomes for one in outcome.steady_added]
    whole = [one for outcome in outcomes for one in outcome.added]
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


def _ends(outcomes: list[Outcome]) -> list[report.Figure]:
    sent = sum(outcome.outage_copies for outcome in outcomes)
    refused = sum(outcome.outage_refused for outcome in outcomes)
    settled = sum(outcome.settled for outcome in outcomes)
    bookings = _BOOKINGS * len(outcomes)
    return [
        report.Figure("bookings/outage/refused", 100 * refused / sent, "%"),
        report.Figure("bookings/settled", 100 * settled / bookings, "%"),
    ]
