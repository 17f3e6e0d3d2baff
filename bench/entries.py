"""Entries in virtual time: real reducers whose effects are obeyed."""

import dataclasses

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.peers import models as peer_models
from agateshelf.daemon.peers import codec
from bench import deployments
from bench import fakes

# Bytes that the transport adds to a message between entries.
PEER_FRAME_BYTES = 40
_WATCH_STEP_SECONDS = 0.05
_SEQUENCE = 100_000
_FIRST_SERVER_ERROR = 500


def create_entries(
    world: fakes.World, count: int = deployments.ENTRIES
) -> None:
    """Start entries with real reducers that know the configuration."""
    for n in range(count):
        _add_entry(world, f"e{n}", n)
    tell_entries(world)


def _add_entry(world: fakes.World, name: str, place: int) -> None:
    entry = ReducerEntry(world, name, place)
    world.entries.insert(place, entry)
    world.reachable[name] = entry


def replace_entry(
    world: fakes.World, place: int, *, dies: bool, lag: float
) -> None:
    """Replace an entry by a new one; the others learn of it after a lag.

    Args:
        world: The world.
        place: The place of the entry.
        dies: Whether it ends at once; else it finishes what it has taken.
        lag: Seconds until the others know.
    """
    old = world.entries.pop(place)
    _add_entry(world, f"{old.id}x", place)
    if dies:
        del world.reachable[old.id]
        old.die()
    else:
        old.post(events.StopRequested())
    tell_entries(world, only=world.entries[place])
    world.at(world.now + lag, tell_entries, world)


def tell_entries(world: fakes.World, only: fakes.Entry | None = None) -> None:
    """Let every entry, or only one, know which entries are live."""
    seen = tuple(
        events.LiveEntry(entry.id, entry.domain) for entry in world.entries
    )
    for entry in world.entries if only is None else [only]:
        entry.post(events.LiveEntriesChanged(seen))


def deliver_peer(
    world: fakes.World,
    sender: fakes.Entry,
    peer: str,
    message: peer_models.PeerMessage,
) -> None:
    """Carry a message to another entry, unless it is lost."""
    world.tally.peer_messages += 1
    world.tally.peer_bytes += _message_bytes(message) + PEER_FRAME_BYTES
    lost = world.peer_loss and world.rng.random() < world.peer_loss
    if world.peers_away or lost:
        return
    entry = world.reachable.get(peer)
    if entry is not None:
        delay = world.latency(sender.domain, entry.domain)
        spoke = events.PeerMessageReceived(sender.id, message)
        world.at(world.now + delay, entry.post, spoke)


def _message_bytes(message: peer_models.PeerMessage) -> int:
    return len(codec.encode("e0", 1, _SEQUENCE, message))


@dataclasses.dataclass(slots=True)
class Running:
    """An attempt in flight."""

    call: fakes.FakeCall
    target: fakes.FakeTarget
    job: fakes.Job


class ReducerEntry(fakes.Entry):
    """A real reducer whose effects are obeyed.

    Attributes:
        state: State of the reducer.
        calls: Calls that wait for their final word.
        attempts: Attempts in flight.
        alive: Whether it still runs.
    """

    def __init__(self, world: fakes.World, name: str, place: int) -> None:
        super().__init__(world, name, place)
        identity = core_state.Identity(name, self.domain)
        seed = world.seed * 1000 + world.rng.randrange(1000)
        self.state = core_state.create_state(identity, seed)
        self.calls: dict[int, fakes.FakeCall] = {}
        self.attempts: dict[int, Running] = {}
        self.statuses: dict[int, int] = {}
        self.alive = True
        self._tick_at: float | None = None
        self.post(events.ConfigurationRead(world.cfg))

    def request(self, call: fakes.FakeCall) -> None:
        """Take a call."""
        self.calls[call.number] = call
        method = "GET" if call.idempotent else "POST"
        path = f"/{call.service}/1"
        claims = self.world.sends_keys and not call.idempotent
        key = str(call.number) if claims else None
        self.post(
            events.RequestArrived(call.number, call.caller, method, path, key)
        )

    def post(self, event: events.Event) -> None:
        """Reduce an event and obey what follows."""
        if not self.alive:
            return
        for effect in reducer.reduce(self.state, self.world.now, event):
            self._obey(effect)
        self._set_tick()

    def _set_tick(self) -> None:
        due = timers.next_at(self.state.timers)
        if due is None or (self._tick_at is not None and due >= self._tick_at):
            return
        self._tick_at = max(due, self.world.now)
        self.world.at(self._tick_at, self._tick, self._tick_at)

    def _tick(self, when: float) -> None:
        if when != self._tick_at:
            return
        self._tick_at = None
        self.post(events.Tick())

    def _obey(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                self._start(effect)
            case effects.CancelAttempt():
                running = self.attempts.pop(effect.attempt, None)
                if running is not None:
                    self.world.cancel(self.domain, running.target, running.job)
            case effects.DeliverAnswer():
                self._deliver(effect)
            case effects.Refuse():
                self._refuse(effect)
            case effects.SendToPeers():
                for peer in effect.peers:
                    deliver_peer(self.world, self, peer, effect.message)
            case effects.SendStoreRequest():
                self._ask_store(effect)
            case _:
                pass

    def _start(self, effect: effects.StartAttempt) -> None:
        call = self.calls[effect.call]
        target = self.world.targets[effect.target]
        others = [r for r in self.attempts.values() if r.call is call]
        if others and not call.idempotent:
            self.world.tally.doubled += 1
        number = effect.attempt

        def reply(status: int, sender: fakes.FakeTarget) -> None:
            self._answered(number, status, sender)

        job = self.world.submit(self.domain, target, call.size, reply)
        self.attempts[number] = Running(call, target, job)
        self.world.at(self.world.now + effect.timeout, self._time_out, number)

    def _time_out(self, number: int) -> None:
        running = self.attempts.pop(number, None)
        if running is None:
            return
        self.world.cancel(self.domain, running.target, running.job)
        kind = outcome_models.FailureKind.TIMEOUT
        self.post(events.AttemptFailed(number, kind, any_byte_sent=True))

    def _answered(
        self, number: int, status: int, sender: fakes.FakeTarget
    ) -> None:
        if not self.alive or self.attempts.pop(number, None) is None:
            return
        if status == 0:
            kind = outcome_models.FailureKind.CONNECT
            self.post(events.AttemptFailed(number, kind, any_byte_sent=False))
            return
        headers: tuple[tuple[str, str], ...] = ()
        if status == 503:
            headers = (
                (
                    deployments.REFUSAL_MARK.header,
                    deployments.REFUSAL_MARK.value,
                ),
            )
        self.statuses[number] = status
        self.post(
            events.AttemptAnswered(
                number,
                status,
                headers,
                load=sender.load(),
                draining=sender.draining,
            )
        )
        self.statuses.pop(number, None)

    def _deliver(self, effect: effects.DeliverAnswer) -> None:
        call = self.calls.pop(effect.call)
        if self.statuses[effect.attempt] < _FIRST_SERVER_ERROR:
            self.succeed(call)
            return
        self.world.tally.errors += 1

    def _refuse(self, effect: effects.Refuse) -> None:
        call = self.calls.pop(effect.call)
        tally = self.world.tally
        tally.refused_by[call.caller] += 1
        tally.refusals[effect.refusal.reason] += 1
        tally.refusal_seconds.append(self.world.now - call.arrived)
        if self.world.on_refusal is not None:
            self.world.on_refusal(call, effect.refusal)

    def _ask_store(self, effect: effects.SendStoreRequest) -> None:
        store = self.world.store
        store.calls += 1
        when = self.world.now + store.latency
        if store.unavailable:
            when = self.world.now + effect.timeout
            self.world.at(
                when, self._store_answered, effect, storage.NoAnswer()
            )
            return
        self.world.at(when, self._reach_store, effect)

    def _reach_store(
        self, effect: effects.SendStoreRequest, waited: float = 0.0
    ) -> None:
        body = effect.body
        answer = self.world.store.answer(body, self.world.now)
        if waited < _watch_seconds(body) and not _says_change(answer):
            when = self.world.now + _WATCH_STEP_SECONDS
            waited += _WATCH_STEP_SECONDS
            self.world.at(when, self._reach_store, effect, waited)
            return
        self._store_answered(effect, answer)

    def _store_answered(
        self, effect: effects.SendStoreRequest, answer: storage.StoreAnswer
    ) -> None:
        self.post(events.StoreAnswered(effect.request, answer))

    def die(self) -> None:
        """End at once, without a word to anyone."""
        self.alive = False


def _watch_seconds(body: storage.StoreRequest) -> float:
    return body.timeout if isinstance(body, storage.Watch) else 0.0


def _says_change(answer: storage.StoreAnswer) -> bool:
    return not isinstance(answer, storage.Changes) or bool(answer.keys)
