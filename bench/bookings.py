"""Simulates 100,000 bookings over 14 entries under faults, in virtual time.

Checks that no booking runs twice or is lost and that no response contradicts
the ledger of the targets, and measures the load that claims put on the store
and the latency that they add.
"""

from concurrent import futures
import dataclasses
import gc
import multiprocessing

from bench import bookings_world
from bench import report

_ENTRIES = 14
_SEEDS = (20, 21, 22)
_BOOKINGS_PER_SEED = 33_334
_BOOKINGS_PER_SECOND = 2000.0
_WARMUP_SECONDS = 1.0
_END_SECONDS = _WARMUP_SECONDS + _BOOKINGS_PER_SEED / _BOOKINGS_PER_SECOND
_COOLDOWN_SECONDS = 12.0
_DUPLICATE_SHARE = 0.02
_MAX_REQUESTS_PER_KEY = 8
_RESEND_SECONDS = 1.0
_STEADY_FROM_SECONDS = 2.0
_FAULTS_FROM_SECONDS = 6.0
_OUTAGE_FROM_SECONDS = 8.0
_OUTAGE_SECONDS = 2.5
_PAUSES = ((6.5, 1.0), (11.0, 8.0), (13.0, 0.3))
_REPLACEMENTS = (7.0, 9.0, 12.0, 14.0)
_MAX_WRITES_PER_SECOND = 200.0

_AT_MOST = report.Comparison.AT_MOST


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller that resends a key until it gets a final response.

    Attributes:
        world: The simulation that it sends requests in.
    """

    world: bookings_world.World

    def on_result(self, request: bookings_world.BookingRequest) -> None:
        """Schedule a resend unless the response is final."""
        booking = request.booking
        if request.result == "ok" or request.result.endswith("-final"):
            booking.settled = True
        if booking.settled or len(booking.requests) >= _MAX_REQUESTS_PER_KEY:
            return
        when = self.world.now + _RESEND_SECONDS
        self.world.call_at(when, self._resend, booking)

    def _resend(self, booking: bookings_world.Booking) -> None:
        if not booking.settled:
            self.world.send(booking)

    def send_next(self, number: int) -> None:
        """Send a booking, sometimes with a duplicate, and schedule the next."""
        booking = self.world.book(f"booking-{number}")
        if self.world.rng.random() < _DUPLICATE_SHARE:
            self.world.send(booking)
        if number + 1 < _BOOKINGS_PER_SEED:
            when = self.world.now + self.world.rng.expovariate(
                _BOOKINGS_PER_SECOND
            )
            self.world.call_at(when, self.send_next, number + 1)


def create_world(seed: int) -> bookings_world.World:
    """Create a simulation with its bookings and faults scheduled."""
    faults = bookings_world.Faults(
        lost_peer_messages=0.002, truncated_answers=0.005, refused=0.02
    )
    world = bookings_world.World(_ENTRIES, seed, faults)
    caller = Caller(world)
    world.on_result = caller.on_result
    world.call_at(_WARMUP_SECONDS, caller.send_next, 0)
    world.call_at(_FAULTS_FROM_SECONDS, _start_faults, world)
    return world


def _start_faults(world: bookings_world.World) -> None:
    world.faults.lost_store_answers = 0.02
    world.faults.late_store_writes = 0.2
    world.call_at(_OUTAGE_FROM_SECONDS, _set_store_unavailable, world, True)
    world.call_at(
        _OUTAGE_FROM_SECONDS + _OUTAGE_SECONDS,
        _set_store_unavailable,
        world,
        False,
    )
    for second, seconds in _PAUSES:
        world.call_at(second, _pause_random_entry, world, seconds)
    for second in _REPLACEMENTS:
        world.call_at(second, _replace_random_entry, world)


def _set_store_unavailable(
    world: bookings_world.World, unavailable: bool
) -> None:
    world.store_unavailable = unavailable


def _pause_random_entry(world: bookings_world.World, seconds: float) -> None:
    world.pause(world.rng.choice(world.live()), seconds)


def _replace_random_entry(world: bookings_world.World) -> None:
    world.replace(world.rng.choice(world.live()))


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Measurements of the run of one seed.

    Attributes:
        violations: Violated guarantees.
        steady_write_rate: Store writes per second before the faults.
        write_rate: Store writes per second over the whole run.
        read_rate: Store reads per second over the whole run.
        steady_claim_seconds: Latency that each claim added before the faults.
        claim_seconds: Latency that each claim added over the whole run.
        outage_requests: Requests sent during the store outage.
        outage_refusals: Requests refused because of the store outage.
        settled: Bookings that got a final response.
    """

    violations: bookings_world.Violations
    steady_write_rate: float
    write_rate: float
    read_rate: float
    steady_claim_seconds: list[float]
    claim_seconds: list[float]
    outage_requests: int
    outage_refusals: int
    settled: int


def run_one(seed: int) -> RunResult:
    """Simulate the bookings of one seed and check every response."""
    world = create_world(seed)
    gc.disable()
    world.run(_END_SECONDS + _COOLDOWN_SECONDS)
    gc.enable()
    outage = [request for request in _requests(world) if _is_in_outage(request)]
    return RunResult(
        violations=bookings_world.count_violations(world),
        steady_write_rate=_write_rate_between(
            world, _STEADY_FROM_SECONDS, _FAULTS_FROM_SECONDS
        ),
        write_rate=_write_rate_between(world, _WARMUP_SECONDS, _END_SECONDS),
        read_rate=world.read_count / (_END_SECONDS - _WARMUP_SECONDS),
        steady_claim_seconds=[
            seconds
            for at, seconds in world.claim_seconds
            if _STEADY_FROM_SECONDS <= at < _FAULTS_FROM_SECONDS
        ],
        claim_seconds=[seconds for _, seconds in world.claim_seconds],
        outage_requests=len(outage),
        outage_refusals=sum(c.reason == "claims-unavailable" for c in outage),
        settled=sum(booking.settled for booking in world.bookings),
    )


def _requests(
    world: bookings_world.World,
) -> list[bookings_world.BookingRequest]:
    return [request for b in world.bookings for request in b.requests]


def _is_in_outage(request: bookings_world.BookingRequest) -> bool:
    return (
        _OUTAGE_FROM_SECONDS
        <= request.sent_at
        < _OUTAGE_FROM_SECONDS + _OUTAGE_SECONDS
    )


def _write_rate_between(
    world: bookings_world.World, start: float, end: float
) -> float:
    writes = sum(start <= at < end for at in world.write_times)
    return writes / (end - start)


def run() -> list[report.Figure]:
    """Simulate the bookings of every seed, each in a process of its own."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(len(_SEEDS), context) as pool:
        results = list(pool.map(run_one, _SEEDS))
    return [
        *_violation_figures([result.violations for result in results]),
        *_rate_figures(results),
        *_latency_figures(results),
        *_completion_figures(results),
    ]


def _violation_figures(
    violations: list[bookings_world.Violations],
) -> list[report.Figure]:
    zero = report.Bound(_AT_MOST, 0)
    totals = (
        ("doubled", sum(one.duplicated for one in violations), "keys"),
        ("lost", sum(one.lost for one in violations), "keys"),
        ("untrue", sum(one.contradicted for one in violations), "words"),
        ("foreign", sum(one.mismatched for one in violations), "answers"),
    )
    return [
        report.Figure(f"bookings/{name}", total, unit, zero)
        for name, total, unit in totals
    ]


def _rate_figures(results: list[RunResult]) -> list[report.Figure]:
    bound = report.Bound(_AT_MOST, _MAX_WRITES_PER_SECOND)
    steady = max(result.steady_write_rate for result in results)
    writes = max(result.write_rate for result in results)
    reads = max(result.read_rate for result in results)
    return [
        report.Figure("bookings/steady/writes", steady, "writes/s", bound),
        report.Figure("bookings/faults/writes", writes, "writes/s", bound),
        report.Figure("bookings/faults/reads", reads, "reads/s"),
    ]


def _latency_figures(results: list[RunResult]) -> list[report.Figure]:
    steady = [one for result in results for one in result.steady_claim_seconds]
    whole = [one for result in results for one in result.claim_seconds]
    return [
        *_percentile_figures("bookings/steady/added", steady),
        *_percentile_figures("bookings/faults/added", whole),
    ]


def _percentile_figures(name: str, values: list[float]) -> list[report.Figure]:
    ordered = sorted(values)
    return [
        report.Figure(
            f"{name}/p{percent}",
            ordered[len(ordered) * percent // 100] * 1000.0,
            "ms",
        )
        for percent in (50, 99)
    ]


def _completion_figures(results: list[RunResult]) -> list[report.Figure]:
    sent = sum(result.outage_requests for result in results)
    refused = sum(result.outage_refusals for result in results)
    settled = sum(result.settled for result in results)
    bookings = _BOOKINGS_PER_SEED * len(results)
    return [
        report.Figure("bookings/outage/refused", 100 * refused / sent, "%"),
        report.Figure("bookings/settled", 100 * settled / bookings, "%"),
    ]
