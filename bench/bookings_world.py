"""Simulates a booking service in virtual time: real reducers and a ledger.

A bench or a test injects the faults: entries die or pause, the store is
unavailable or loses answers, messages between entries are lost, and answers of
targets are truncated or never sent. At the end every response that a caller
got is checked against the ledger of what the targets ran.
"""

import collections
from collections import abc
import dataclasses
import heapq
import random

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import models
from agateshelf.core.outcomes import models as outcome_models
from bench import fakestore

SERVICE = "bookings"
REFUSAL_MARK = models.RefusalMark("request-outcome", "not-run")
_HOP_SECONDS = 0.0015
_MEMBERSHIP_LAG_SECONDS = 2.0
_CALLER_TIMEOUT_SECONDS = 3.0
_STATUS_OK = 200
_STATUS_REFUSED = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request, as recorded in the ledger of the targets.

    Attributes:
        key: Idempotency key of the request.
        request_number: Number of the booking request that caused it.
        started_at: Virtual time at which it started, in seconds.
    """

    key: str
    request_number: int
    started_at: float


@dataclasses.dataclass(slots=True)
class BookingRequest:
    """One request for a booking; several may carry the same key.

    Attributes:
        number: Number of the request, unique in the simulation.
        booking: The booking that it asks for.
        sent_at: Virtual time at which it was sent, in seconds.
        result: `ok`, `error`, `silence` after a timeout, or the outcome of a
            refusal, with `-final` if it must not be sent again; empty until
            the caller has a response.
        answered_at: Virtual time of the response or timeout, in seconds.
        answer_key: Key of the run whose answer the caller got, if any.
        reason: Reason of the refusal, if it was refused.
    """

    number: int
    booking: "Booking"
    sent_at: float
    result: str = ""
    answered_at: float = 0.0
    answer_key: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Booking:
    """A booking that must run at most once.

    Attributes:
        key: Idempotency key that all its requests carry.
        requests: Requests sent for it, in order.
        settled: Whether the caller got a final response.
    """

    key: str
    requests: list[BookingRequest] = dataclasses.field(default_factory=list)
    settled: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """Probabilities of random faults, from 0 to 1.

    Attributes:
        lost_store_answers: Store writes that take effect but whose answer is
            lost.
        late_store_writes: Of these, writes that take effect only up to a second
            after they were sent.
        lost_peer_messages: Messages between entries that are lost.
        truncated_answers: Attempts that run but whose connection is lost
            during the answer.
        unanswered: Attempts that run and are never answered.
        refused: Attempts that targets refuse with the refusal mark.
    """

    lost_store_answers: float = 0.0
    late_store_writes: float = 0.0
    lost_peer_messages: float = 0.0
    truncated_answers: float = 0.0
    unanswered: float = 0.0
    refused: float = 0.0


def create_service(**overrides: object) -> models.Service:
    """Create the policy of the booking service, with some fields replaced."""
    values: dict[str, object] = {
        "name": SERVICE,
        "team": "harborline",
        "prefix": "/bookings/",
        "targets": tuple(
            models.Target(f"t{n}", f"t{n}:1", "boston") for n in range(8)
        ),
        "non_idempotent": frozenset({"POST"}),
        "priority": models.Priority.URGENT,
        "timeout": 2.0,
        "attempt_timeout": 1.0,
        "refusal_marks": (REFUSAL_MARK,),
        "probe_rate": 0.0,
        "probe_bytes": 0.0,
        "retry_share": 0.05,
        "slots": 100,
        "queue": 1000,
        "callers": (),
        "store_outage_policy": models.StoreOutagePolicy.REFUSE,
        "claim_lifetime": 60.0,
        "poison_crashes": 2,
    }
    return models.Service(**{**values, **overrides})  # type: ignore[arg-type]


class Entry:
    """An entry: a real reducer whose effects are applied to the simulation.

    Attributes:
        world: The simulation that it belongs to.
        name: Identifier of the entry.
        state: State of the reducer.
        alive: Whether its process exists.
        paused: Whether its process is stopped for a while.
        requests: Requests without a response, by call number.
        answers: Status and key of each target answer, by attempt number.
    """

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        identity = core_state.Identity(name, "boston")
        self.state = core_state.create_state(
            identity, world.rng.getrandbits(64)
        )
        self.alive = True
        self.paused = False
        self.requests: dict[int, BookingRequest] = {}
        self.attempts: dict[int, int] = {}
        self.answers: dict[int, tuple[int, str]] = {}
        self._buffered: list[abc.Callable[[], None]] = []
        self._next_tick_at: float | None = None
        self.post(events.ConfigurationRead(world.cfg))

    def deliver(self, action: abc.Callable[[], None]) -> None:
        """Run an action now, or after a pause; drop it if the entry is dead."""
        if not self.alive:
            return
        if self.paused:
            self._buffered.append(action)
            return
        action()

    def resume(self) -> None:
        """Resume after a pause and handle the queued input.

        Half the time a tick comes first, as timers and input race in a process.
        """
        self.paused = False
        buffered, self._buffered = self._buffered, []
        if self.world.rng.random() < 0.5:
            self.post(events.Tick())
        for action in buffered:
            self.deliver(action)
        self.post(events.Tick())

    def post(self, event: events.Event) -> None:
        """Reduce an event and apply its effects."""
        self.deliver(lambda: self._reduce(event))

    def _reduce(self, event: events.Event) -> None:
        for effect in reducer.reduce(self.state, self.world.now, event):
            self._apply(effect)
        due = timers.next_at(self.state.timers)
        if due is None or (
            self._next_tick_at is not None and due >= self._next_tick_at
        ):
            return
        self._next_tick_at = max(due, self.world.now)
        self.world.call_at(self._next_tick_at, self._tick, self._next_tick_at)

    def _tick(self, when: float) -> None:
        if when == self._next_tick_at:
            self._next_tick_at = None
            self.post(events.Tick())

    def receive(self, request: BookingRequest) -> None:
        """Receive a request of a caller."""
        self.requests[request.number] = request
        key = request.booking.key
        self.post(
            events.RequestArrived(
                request.number,
                "dealer",
                "POST",
                "/bookings/1",
                key,
                self.world.caller_timeout,
            )
        )

    def _apply(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                self._start_attempt(effect)
            case effects.DeliverAnswer():
                status, key = self.answers[effect.attempt]
                result = "ok" if status == _STATUS_OK else "error"
                self._respond(effect.call, result, key)
            case effects.Replay():
                key = (effect.answer.body or b"").decode()
                result = "ok" if effect.answer.status == _STATUS_OK else "error"
                self._respond(effect.call, result, key)
            case effects.Refuse():
                refusal = effect.refusal
                may_resend = refusal.retry_after is not None
                result = refusal.outcome.value + (
                    "" if may_resend else "-final"
                )
                self._respond(effect.call, result, "", refusal.reason)
            case effects.SendStoreRequest():
                self.world.send_store_request(self, effect)
            case effects.SendToPeers():
                for peer in effect.peers:
                    self.world.send_to_peer(self, peer, effect.message)
            case effects.Count():
                self.world.counts[effect.name] += effect.amount
            case _:
                pass

    def _respond(
        self, call: int, result: str, key: str, reason: str = ""
    ) -> None:
        request = self.requests.pop(call)
        self.world.call_at(
            self.world.now + _HOP_SECONDS,
            self.world.deliver_result,
            request,
            result,
            key,
            reason,
        )

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        request = self.requests[effect.call]
        self.world.record_start(request)
        self.world.call_at(
            self.world.now + _HOP_SECONDS,
            self.world.run_at_target,
            self,
            effect,
            request,
        )

    def on_answer(self, attempt: int, status: int, key: str) -> None:
        """Handle the answer of a target to an attempt."""
        self.answers[attempt] = (status, key)
        headers: tuple[tuple[str, str], ...] = ()
        if status == _STATUS_REFUSED:
            headers = ((REFUSAL_MARK.header, REFUSAL_MARK.value),)
        self.post(
            events.AttemptAnswered(attempt, status, headers, body=key.encode())
        )


class World:
    """A simulation: clock, store, entries, callers and the targets' ledger.

    Attributes:
        now: Virtual time in seconds.
        rng: Source of all randomness.
        faults: Probabilities of random faults.
        cfg: Configuration of all entries.
        store: The platform's store.
        store_unavailable: Whether the store refuses all requests.
        unanswered_writes: Number of further store writes that take effect but
            whose answer is lost.
        caller_timeout: Timeout that requests carry, in seconds.
        stale_store: Store from which ranges are read instead, to simulate
            stale reads.
        entries: All entries ever started, by name.
        ledger: Runs at the targets, in order.
        bookings: All bookings, in order.
        claim_seconds: Virtual time of each attempt's start, with the seconds
            since its request was received.
        write_times: Virtual times at which store writes were sent.
        read_count: Number of store reads sent.
        counts: Counters of all entries together.
        on_result: Called with each request that got a response or timed out.
    """

    def __init__(
        self,
        entries: int,
        seed: int,
        faults: Faults | None = None,
        service: models.Service | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        service = service or create_service()
        self.cfg = models.Configuration(1, {service.name: service})
        self.store = fakestore.FakeStore(latency=0.003)
        self.store_unavailable = False
        self.unanswered_writes = 0
        self.caller_timeout = 2.0
        self.stale_store: fakestore.FakeStore | None = None
        self.entries: dict[str, Entry] = {}
        self.ledger: list[Run] = []
        self.bookings: list[Booking] = []
        self.claim_seconds: list[tuple[float, float]] = []
        self.write_times: list[float] = []
        self.read_count = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.on_result: abc.Callable[[BookingRequest], None] = lambda _: None
        self._heap: list[
            tuple[float, int, abc.Callable[..., None], tuple[object, ...]]
        ] = []
        self._last_event = 0
        self._last_request = 0
        for _ in range(entries):
            self.add_entry()
        self.publish_live_entries()

    def call_at(
        self, when: float, action: abc.Callable[..., None], *args: object
    ) -> None:
        """Schedule an action at a virtual time."""
        self._last_event += 1
        heapq.heappush(self._heap, (when, self._last_event, action, args))

    def run(self, until: float) -> None:
        """Run all actions scheduled up to a virtual time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)
        self.now = until

    # Entries.

    def add_entry(self) -> Entry:
        """Start an entry that `publish_live_entries` will make known."""
        entry = Entry(self, f"e{len(self.entries)}")
        self.entries[entry.name] = entry
        return entry

    def live(self) -> list[Entry]:
        """Return the entries whose processes exist."""
        return [entry for entry in self.entries.values() if entry.alive]

    def replace(self, entry: Entry) -> None:
        """Kill an entry and start another; the others learn of it 2 s later."""
        entry.alive = False
        self.add_entry()
        self.call_at(
            self.now + _MEMBERSHIP_LAG_SECONDS, self.publish_live_entries
        )

    def pause(self, entry: Entry, seconds: float) -> None:
        """Stop the process of an entry for a number of seconds."""
        entry.paused = True
        self.call_at(self.now + seconds, entry.resume)

    def publish_live_entries(self) -> None:
        """Report the live entries to all of them."""
        event = events.LiveEntriesChanged(
            tuple(
                events.LiveEntry(entry.name, "boston") for entry in self.live()
            )
        )
        for entry in self.live():
            entry.post(event)

    # The platform's store and messages between entries.

    def send_store_request(
        self, entry: Entry, effect: effects.SendStoreRequest
    ) -> None:
        """Send a request to the store; faults may lose its answer."""
        if isinstance(effect.body, storage.Read | storage.Range):
            self.read_count += 1
        else:
            self.write_times.append(self.now)
        self.call_at(
            self.now + self.store.latency / 2,
            self._handle_store_request,
            entry,
            effect,
        )

    def _handle_store_request(
        self, entry: Entry, effect: effects.SendStoreRequest
    ) -> None:
        if self.store_unavailable:
            self._post_store_answer(entry, effect, storage.Rejected())
            return
        is_write = isinstance(effect.body, storage.CompareAndSwap)
        lost = self.unanswered_writes > 0 or self._draw(
            self.faults.lost_store_answers
        )
        if is_write and lost:
            self.unanswered_writes = max(0, self.unanswered_writes - 1)
            self._lose_answer(entry, effect)
            return
        store = self.store
        if self.stale_store and isinstance(effect.body, storage.Range):
            store = self.stale_store
        answer = store.answer(effect.body, self.now)
        self._post_store_answer(entry, effect, answer)

    def _lose_answer(
        self, entry: Entry, effect: effects.SendStoreRequest
    ) -> None:
        if self._draw(self.faults.late_store_writes):
            late = self.now + self.rng.uniform(0.0, 1.0)
            self.call_at(late, self._write_late, effect.body)
        else:
            self.store.answer(effect.body, self.now)
        self._post_store_answer(entry, effect, storage.NoAnswer())

    def _write_late(self, body: storage.StoreRequest) -> None:
        self.store.answer(body, self.now)

    def _post_store_answer(
        self,
        entry: Entry,
        effect: effects.SendStoreRequest,
        answer: storage.StoreAnswer,
    ) -> None:
        event = events.StoreAnswered(effect.request, answer)
        self.call_at(self.now + self.store.latency / 2, entry.post, event)

    def send_to_peer(self, sender: Entry, peer: str, message: object) -> None:
        """Send a message to another entry, unless a fault loses it."""
        receiver = self.entries.get(peer)
        if receiver is None or self._draw(self.faults.lost_peer_messages):
            return
        event = events.PeerMessageReceived(sender.name, message)  # type: ignore[arg-type]
        self.call_at(self.now + _HOP_SECONDS, receiver.post, event)

    def _draw(self, share: float) -> bool:
        return share > 0.0 and self.rng.random() < share

    # Targets.

    def run_at_target(
        self,
        entry: Entry,
        effect: effects.StartAttempt,
        request: BookingRequest,
    ) -> None:
        """Simulate how a target handles an attempt, with the faults drawn."""
        if self._draw(self.faults.refused):
            self.call_at(
                self.now + _HOP_SECONDS,
                entry.on_answer,
                effect.attempt,
                _STATUS_REFUSED,
                "",
            )
            return
        key = request.booking.key
        self.ledger.append(Run(key, request.number, self.now))
        if self._draw(self.faults.unanswered):
            return
        done = self.now + self.rng.uniform(0.005, 0.030) + _HOP_SECONDS
        if self._draw(self.faults.truncated_answers):
            failed = events.AttemptFailed(
                effect.attempt,
                outcome_models.FailureKind.ANSWER_CUT,
                any_byte_sent=True,
            )
            self.call_at(done, entry.post, failed)
            return
        self.call_at(done, entry.on_answer, effect.attempt, _STATUS_OK, key)

    def record_start(self, request: BookingRequest) -> None:
        """Record how long a request waited for its claim."""
        seconds = self.now - request.sent_at - _HOP_SECONDS
        self.claim_seconds.append((self.now, seconds))

    # Callers.

    def book(self, key: str, entry: Entry | None = None) -> Booking:
        """Create a booking and send its first request."""
        booking = Booking(key)
        self.bookings.append(booking)
        self.send(booking, entry)
        return booking

    def send(
        self, booking: Booking, entry: Entry | None = None
    ) -> BookingRequest:
        """Send a request for a booking to an entry, by default a random one."""
        self._last_request += 1
        request = BookingRequest(self._last_request, booking, self.now)
        booking.requests.append(request)
        entry = entry or self.rng.choice(self.live())
        self.call_at(
            self.now + _HOP_SECONDS,
            entry.deliver,
            lambda: entry.receive(request),
        )
        self.call_at(
            self.now + _CALLER_TIMEOUT_SECONDS, self._time_out, request
        )
        return request

    def _time_out(self, request: BookingRequest) -> None:
        if not request.result:
            request.result, request.answered_at = "silence", self.now
            self.on_result(request)

    def deliver_result(
        self, request: BookingRequest, result: str, key: str, reason: str
    ) -> None:
        """Record the result of a request; one after the timeout is ignored."""
        if request.result:
            return
        request.result, request.answered_at, request.answer_key = (
            result,
            self.now,
            key,
        )
        request.reason = reason
        self.on_result(request)


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """Counts of violated guarantees, by the ledger of the targets.

    Attributes:
        duplicated: Keys that ran more than once.
        lost: Requests answered with success whose key never ran.
        contradicted: Outcomes that the ledger contradicts.
        mismatched: Successful answers that belong to the run of another key.
    """

    duplicated: int
    lost: int
    contradicted: int
    mismatched: int


def count_violations(world: World) -> Violations:
    """Check the result of every request against the ledger."""
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in world.ledger:
        runs[run.key].append(run)
    requests = [request for b in world.bookings for request in b.requests]
    return Violations(
        duplicated=sum(len(key_runs) > 1 for key_runs in runs.values()),
        lost=sum(
            request.result == "ok" and not runs.get(request.booking.key)
            for request in requests
        ),
        contradicted=sum(
            _is_contradicted(request, runs.get(request.booking.key, []))
            for request in requests
        ),
        mismatched=sum(
            request.result == "ok" and request.answer_key != request.booking.key
            for request in requests
        ),
    )


def _is_contradicted(request: BookingRequest, runs: list[Run]) -> bool:
    if request.result.startswith("ran"):
        return not runs
    if not request.result.startswith("not-run"):
        return False
    return any(
        run.started_at <= request.answered_at
        or run.request_number == request.number
        for run in runs
    )
