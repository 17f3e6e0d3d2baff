"""A booking service in virtual time: real reducers, faults and a ledger.

Everything that may go wrong is switched by a scene or a test: entries die or
pause, the store is away or loses answers, messages between entries are lost,
targets crash. Callers send again as a careful caller would, and at the end
each word they were told is held against what the targets ran.
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
MARK = models.RefusalMark("request-outcome", "not-run")
_HOP_SECONDS = 0.0015
_MEMBERSHIP_LAG_SECONDS = 2.0
_CALLER_PATIENCE_SECONDS = 3.0
_OK = 200
_REFUSED = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run in the targets' ledger."""

    key: str
    copy: int
    began: float


@dataclasses.dataclass(slots=True)
class Copy:
    """One sending of a booking.

    Attributes:
        number: Number of the copy, unique in the world.
        booking: The booking.
        sent: Time it was sent, in seconds.
        word: What its caller was told, if anything.
        told: Time it was told, in seconds.
        ran_for: Key of the run whose answer it was given.
    """

    number: int
    booking: "Booking"
    sent: float
    word: str = ""
    told: float = 0.0
    ran_for: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Booking:
    """What a caller wants done once."""

    key: str
    copies: list[Copy] = dataclasses.field(default_factory=list)
    settled: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong by chance, as shares.

    Attributes:
        lost_store_answers: Store requests that take effect unanswered.
        late_store_writes: Of these, those that take effect after a while.
        lost_peer_messages: Messages between entries that are lost.
        cut_answers: Attempts that run and whose answer is cut.
        silent: Attempts that run and are never answered.
        refused: Attempts that targets refuse with the mark.
    """

    lost_store_answers: float = 0.0
    late_store_writes: float = 0.0
    lost_peer_messages: float = 0.0
    cut_answers: float = 0.0
    silent: float = 0.0
    refused: float = 0.0


def create_service(**changes: object) -> models.Service:
    """Create the booking service."""
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
        "refusal_marks": (MARK,),
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
    return models.Service(**{**values, **changes})  # type: ignore[arg-type]


class Entry:
    """A real reducer whose effects are obeyed.

    Attributes:
        state: State of the reducer.
        alive: Whether its process exists.
        paused: Whether its process is stopped for a while.
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
        self.copies: dict[int, Copy] = {}
        self.attempts: dict[int, int] = {}
        self.answers: dict[int, tuple[int, str]] = {}
        self._backlog: list[abc.Callable[[], None]] = []
        self._tick_at: float | None = None
        self.post(events.ConfigurationRead(world.cfg))

    def do(self, act: abc.Callable[[], None]) -> None:
        """Do something in this process, once it is not paused."""
        if not self.alive:
            return
        if self.paused:
            self._backlog.append(act)
            return
        act()

    def resume(self) -> None:
        """Wake from a pause; timers and input race."""
        self.paused = False
        backlog, self._backlog = self._backlog, []
        if self.world.rng.random() < 0.5:
            self.post(events.Tick())
        for act in backlog:
            self.do(act)
        self.post(events.Tick())

    def post(self, event: events.Event) -> None:
        """Reduce an event and obey what follows."""
        self.do(lambda: self._reduce(event))

    def _reduce(self, event: events.Event) -> None:
        for effect in reducer.reduce(self.state, self.world.now, event):
            self._obey(effect)
        due = timers.next_at(self.state.timers)
        if due is None or (self._tick_at is not None and due >= self._tick_at):
            return
        self._tick_at = max(due, self.world.now)
        self.world.at(self._tick_at, self._tick, self._tick_at)

    def _tick(self, when: float) -> None:
        if when == self._tick_at:
            self._tick_at = None
            self.post(events.Tick())

    def request(self, copy: Copy) -> None:
        """Take a caller's request."""
        self.copies[copy.number] = copy
        key = copy.booking.key
        self.post(
            events.RequestArrived(
                copy.number,
                "dealer",
                "POST",
                "/bookings/1",
                key,
                self.world.caller_timeout,
            )
        )

    def _obey(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                self._start(effect)
            case effects.DeliverAnswer():
                status, key = self.answers[effect.attempt]
                word = "ok" if status == _OK else "error"
                self._tell(effect.call, word, key)
            case effects.Replay():
                key = (effect.answer.body or b"").decode()
                word = "ok" if effect.answer.status == _OK else "error"
                self._tell(effect.call, word, key)
            case effects.Refuse():
                refusal = effect.refusal
                again = refusal.retry_after is not None
                word = refusal.outcome.value + ("" if again else "-final")
                self._tell(effect.call, word, "", refusal.reason)
            case effects.SendStoreRequest():
                self.world.ask_store(self, effect)
            case effects.SendToPeers():
                for peer in effect.peers:
                    self.world.send_peer(self, peer, effect.message)
            case effects.Count():
                self.world.counts[effect.name] += effect.amount
            case _:
                pass

    def _tell(self, call: int, word: str, key: str, reason: str = "") -> None:
        copy = self.copies.pop(call)
        self.world.at(
            self.world.now + _HOP_SECONDS,
            self.world.hear,
            copy,
            word,
            key,
            reason,
        )

    def _start(self, effect: effects.StartAttempt) -> None:
        copy = self.copies[effect.call]
        self.world.started(copy)
        self.world.at(
            self.world.now + _HOP_SECONDS,
            self.world.run_at_target,
            self,
            effect,
            copy,
        )

    def answered(self, attempt: int, status: int, key: str) -> None:
        """Hear a target's answer."""
        self.answers[attempt] = (status, key)
        headers: tuple[tuple[str, str], ...] = ()
        if status == _REFUSED:
            headers = ((MARK.header, MARK.value),)
        self.post(
            events.AttemptAnswered(attempt, status, headers, body=key.encode())
        )


class World:
    """One run: clock, store, entries, targets' ledger and callers.

    Attributes:
        now: Virtual time in seconds.
        rng: All chance of the run.
        store: The store's state.
        store_away: Whether the store is out of service.
        lose_answers: How many next writes take effect unanswered.
        entries: All entries ever started, by name.
        ledger: What the targets ran.
        bookings: What callers want.
        claim_seconds: Time of each start, and seconds since it arrived.
        writes: Times of writes at the store.
        caller_timeout: Seconds that callers say they will wait.
        stale: The store that ranges are answered from, if not the real one.
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
        self.store_away = False
        self.lose_answers = 0
        self.caller_timeout = 2.0
        self.stale: fakestore.FakeStore | None = None
        self.entries: dict[str, Entry] = {}
        self.ledger: list[Run] = []
        self.bookings: list[Booking] = []
        self.claim_seconds: list[tuple[float, float]] = []
        self.writes: list[float] = []
        self.reads = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.hears: abc.Callable[[Copy], None] = lambda _copy: None
        self._heap: list[
            tuple[float, int, abc.Callable[..., None], tuple[object, ...]]
        ] = []
        self._count = 0
        self._copies = 0
        for _ in range(entries):
            self.add_entry()
        self.tell_membership()

    def at(
        self, when: float, act: abc.Callable[..., None], *args: object
    ) -> None:
        """Have something happen at a time."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, act, args))

    def run(self, until: float) -> None:
        """Let time pass until a moment."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._heap)
            act(*args)
        self.now = until

    # Entries.

    def add_entry(self) -> Entry:
        """Start an entry; others learn of it with the membership."""
        entry = Entry(self, f"e{len(self.entries)}")
        self.entries[entry.name] = entry
        return entry

    def live(self) -> list[Entry]:
        """Return the entries that exist."""
        return [entry for entry in self.entries.values() if entry.alive]

    def replace(self, entry: Entry) -> None:
        """Kill an entry and start another; the list follows later."""
        entry.alive = False
        self.add_entry()
        self.at(self.now + _MEMBERSHIP_LAG_SECONDS, self.tell_membership)

    def pause(self, entry: Entry, seconds: float) -> None:
        """Stop an entry's process for a while."""
        entry.paused = True
        self.at(self.now + seconds, entry.resume)

    def tell_membership(self) -> None:
        """Let every entry know which entries are live."""
        seen = events.LiveEntriesChanged(
            tuple(
                events.LiveEntry(entry.name, "boston") for entry in self.live()
            )
        )
        for entry in self.live():
            entry.post(seen)

    # The platform's store and messages between entries.

    def ask_store(self, entry: Entry, effect: effects.SendStoreRequest) -> None:
        """Carry a request to the store, and perhaps its answer back."""
        if isinstance(effect.body, storage.Read | storage.Range):
            self.reads += 1
        else:
            self.writes.append(self.now)
        self.at(
            self.now + self.store.latency / 2, self._reach_store, entry, effect
        )

    def _reach_store(
        self, entry: Entry, effect: effects.SendStoreRequest
    ) -> None:
        if self.store_away:
            self._answer_store(entry, effect, storage.Overloaded())
            return
        writes = isinstance(effect.body, storage.CompareAndSwap)
        lost = self.lose_answers > 0 or self._chance(
            self.faults.lost_store_answers
        )
        if writes and lost:
            self.lose_answers = max(0, self.lose_answers - 1)
            self._lose_answer(entry, effect)
            return
        store = self.store
        if self.stale and isinstance(effect.body, storage.Range):
            store = self.stale
        answer = store.answer(effect.body, self.now)
        self._answer_store(entry, effect, answer)

    def _lose_answer(
        self, entry: Entry, effect: effects.SendStoreRequest
    ) -> None:
        if self._chance(self.faults.late_store_writes):
            late = self.now + self.rng.uniform(0.0, 1.0)
            self.at(late, self._write_late, effect.body)
        else:
            self.store.answer(effect.body, self.now)
        self._answer_store(entry, effect, storage.NoAnswer())

    def _write_late(self, body: storage.StoreRequest) -> None:
        self.store.answer(body, self.now)

    def _answer_store(
        self,
        entry: Entry,
        effect: effects.SendStoreRequest,
        answer: storage.StoreAnswer,
    ) -> None:
        event = events.StoreAnswered(effect.request, answer)
        self.at(self.now + self.store.latency / 2, entry.post, event)

    def send_peer(self, sender: Entry, peer: str, message: object) -> None:
        """Carry a message to another entry, unless it is lost."""
        receiver = self.entries.get(peer)
        if receiver is None or self._chance(self.faults.lost_peer_messages):
            return
        event = events.PeerMessageReceived(sender.name, message)  # type: ignore[arg-type]
        self.at(self.now + _HOP_SECONDS, receiver.post, event)

    def _chance(self, share: float) -> bool:
        return share > 0.0 and self.rng.random() < share

    # Targets.

    def run_at_target(
        self, entry: Entry, effect: effects.StartAttempt, copy: Copy
    ) -> None:
        """Run a request at a target, refuse it, or cut its answer."""
        if self._chance(self.faults.refused):
            self.at(
                self.now + _HOP_SECONDS,
                entry.answered,
                effect.attempt,
                _REFUSED,
                "",
            )
            return
        key = copy.booking.key
        self.ledger.append(Run(key, copy.number, self.now))
        if self._chance(self.faults.silent):
            return
        done = self.now + self.rng.uniform(0.005, 0.030) + _HOP_SECONDS
        if self._chance(self.faults.cut_answers):
            failed = events.AttemptFailed(
                effect.attempt,
                outcome_models.FailureKind.ANSWER_CUT,
                any_byte_sent=True,
            )
            self.at(done, entry.post, failed)
            return
        self.at(done, entry.answered, effect.attempt, _OK, key)

    def started(self, copy: Copy) -> None:
        """Note how long a copy waited for its claim."""
        waited = self.now - copy.sent - _HOP_SECONDS
        self.claim_seconds.append((self.now, waited))

    # Callers.

    def book(self, key: str, entry: Entry | None = None) -> Booking:
        """Send a new booking."""
        booking = Booking(key)
        self.bookings.append(booking)
        self.send(booking, entry)
        return booking

    def send(self, booking: Booking, entry: Entry | None = None) -> Copy:
        """Send a copy of a booking to an entry, by default to any."""
        self._copies += 1
        copy = Copy(self._copies, booking, self.now)
        booking.copies.append(copy)
        entry = entry or self.rng.choice(self.live())
        self.at(self.now + _HOP_SECONDS, entry.do, lambda: entry.request(copy))
        self.at(self.now + _CALLER_PATIENCE_SECONDS, self._give_up, copy)
        return copy

    def _give_up(self, copy: Copy) -> None:
        if not copy.word:
            copy.word, copy.told = "silence", self.now
            self.hears(copy)

    def hear(self, copy: Copy, word: str, key: str, reason: str) -> None:
        """Tell a caller its copy's final word; a late one is not heard."""
        if copy.word:
            return
        copy.word, copy.told, copy.ran_for = word, self.now, key
        copy.reason = reason
        self.hears(copy)


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What the callers' words are worth against the ledger.

    Attributes:
        doubled: Keys that ran more than once.
        lost: Keys told "done" that did not run.
        untrue: Words that the ledger contradicts.
        foreign: Answers of another key's run.
    """

    doubled: int
    lost: int
    untrue: int
    foreign: int


def judge(world: World) -> Judgement:
    """Hold every word against the ledger."""
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in world.ledger:
        runs[run.key].append(run)
    copies = [copy for b in world.bookings for copy in b.copies]
    return Judgement(
        doubled=sum(len(found) > 1 for found in runs.values()),
        lost=sum(
            copy.word == "ok" and not runs.get(copy.booking.key)
            for copy in copies
        ),
        untrue=sum(
            _is_untrue(copy, runs.get(copy.booking.key, [])) for copy in copies
        ),
        foreign=sum(
            copy.word == "ok" and copy.ran_for != copy.booking.key
            for copy in copies
        ),
    )


def _is_untrue(copy: Copy, runs: list[Run]) -> bool:
    if copy.word.startswith("ran"):
        return not runs
    if not copy.word.startswith("not-run"):
        return False
    return any(
        run.began <= copy.told or run.copy == copy.number for run in runs
    )
