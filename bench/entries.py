"""Entries that run the real reducer in virtual time.

They apply the reducer's effects to the fakes, so that benches measure the
decisions of the product without processes or sockets.
"""

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

# Bytes that the transport adds to each message between entries.
PEER_FRAME_BYTES = 40
# Interval at which a watch of the store looks for changes.
_WATCH_POLL_SECONDS = 0.05
# Sequence number with the digits of a long-running entry, for message sizes.
_SEQUENCE = 100_000
_MIN_SERVER_ERROR = 500


def create_entries(
    world: fakes.World, count: int = deployments.ENTRIES
) -> None:
    """Start entries that have read the configuration and know each other."""
    for n in range(count):
        _add_entry(world, f"e{n}", n)
    publish_live_entries(world)


def _add_entry(world: fakes.World, name: str, index: int) -> None:
    entry = ReducerEntry(world, name, index)
    world.entries.insert(index, entry)
    world.reachable[name] = entry


def replace_entry(
    world: fakes.World, index: int, *, crashes: bool, lag: float
) -> None:
    """Replace an entry by a new one.

    Args:
        world: The run.
        index: Index of the entry.
        crashes: Whether the old entry crashes; otherwise it shuts down
            gracefully and completes its open calls.
        lag: Seconds until the other entries learn of the replacement.
    """
    old = world.entries.pop(index)
    _add_entry(world, f"{old.id}x", index)
    if crashes:
        del world.reachable[old.id]
        old.crash()
    else:
        old.post(events.StopRequested())
    publish_live_entries(world, only=world.entries[index])
    world.call_at(world.now + lag, publish_live_entries, world)


def publish_live_entries(
    world: fakes.World, only: fakes.Entry | None = None
) -> None:
    """Report the live entries to all entries, or only to one."""
    live = tuple(
        events.LiveEntry(entry.id, entry.domain) for entry in world.entries
    )
    for entry in world.entries if only is None else [only]:
        entry.post(events.LiveEntriesChanged(live))


def deliver_to_peer(
    world: fakes.World,
    sender: fakes.Entry,
    peer: str,
    message: peer_models.PeerMessage,
) -> None:
    """Deliver a message to another entry, unless it is lost."""
    world.tally.peer_messages += 1
    world.tally.peer_bytes += _message_bytes(message) + PEER_FRAME_BYTES
    lost = world.peer_loss and world.rng.random() < world.peer_loss
    if world.drops_peer_messages or lost:
        return
    entry = world.reachable.get(peer)
    if entry is not None:
        delay = world.latency(sender.domain, entry.domain)
        received = events.PeerMessageReceived(sender.id, message)
        world.call_at(world.now + delay, entry.post, received)


def _message_bytes(message: peer_models.PeerMessage) -> int:
    return len(codec.encode("e0", 1, _SEQUENCE, message))


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt in flight.

    Attributes:
        call: Call that the attempt belongs to.
        target: Target that it was sent to.
        job: Its request at the target.
    """

    call: fakes.FakeCall
    target: fakes.FakeTarget
    job: fakes.Job


class ReducerEntry(fakes.Entry):
    """An entry that runs the real reducer.

    Attributes:
        state: State of the reducer.
        calls: Calls without a final response, by number.
        attempts: Attempts in flight, by number.
        statuses: Statuses of answers that the reducer is handling, by attempt.
        alive: Whether the entry runs; False after a crash.
    """

    def __init__(self, world: fakes.World, name: str, index: int) -> None:
        super().__init__(world, name, index)
        identity = core_state.Identity(name, self.domain)
        seed = world.seed * 1000 + world.rng.randrange(1000)
        self.state = core_state.create_state(identity, seed)
        self.calls: dict[int, fakes.FakeCall] = {}
        self.attempts: dict[int, RunningAttempt] = {}
        self.statuses: dict[int, int] = {}
        self.alive = True
        self._next_tick_at: float | None = None
        self.post(events.ConfigurationRead(world.cfg))

    def request(self, call: fakes.FakeCall) -> None:
        """Handle a call that has arrived."""
        self.calls[call.number] = call
        method = "GET" if call.idempotent else "POST"
        path = f"/{call.service}/1"
        has_key = self.world.sends_keys and not call.idempotent
        key = str(call.number) if has_key else None
        self.post(
            events.RequestArrived(call.number, call.caller, method, path, key)
        )

    def post(self, event: events.Event) -> None:
        """Handle an event and apply the resulting effects."""
        if not self.alive:
            return
        for effect in reducer.reduce(self.state, self.world.now, event):
            self._apply(effect)
        self._set_tick()

    def _set_tick(self) -> None:
        due = timers.next_at(self.state.timers)
        if due is None or (
            self._next_tick_at is not None and due >= self._next_tick_at
        ):
            return
        self._next_tick_at = max(due, self.world.now)
        self.world.call_at(self._next_tick_at, self._tick, self._next_tick_at)

    def _tick(self, when: float) -> None:
        if when != self._next_tick_at:
            return
        self._next_tick_at = None
        self.post(events.Tick())

    def _apply(self, effect: effects.Effect) -> None:
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
                    deliver_to_peer(self.world, self, peer, effect.message)
            case effects.SendStoreRequest():
                self._send_to_store(effect)
            case _:
                pass

    def _start(self, effect: effects.StartAttempt) -> None:
        call = self.calls[effect.call]
        target = self.world.targets[effect.target]
        in_flight = [r for r in self.attempts.values() if r.call is call]
        if in_flight and not call.idempotent:
            self.world.tally.duplicate_sends += 1
        number = effect.attempt

        def reply(status: int, sender: fakes.FakeTarget) -> None:
            self._on_answer(number, status, sender)

        job = self.world.submit(self.domain, target, call.size, reply)
        self.attempts[number] = RunningAttempt(call, target, job)
        self.world.call_at(
            self.world.now + effect.timeout, self._on_timeout, number
        )

    def _on_timeout(self, number: int) -> None:
        running = self.attempts.pop(number, None)
        if running is None:
            return
        self.world.cancel(self.domain, running.target, running.job)
        kind = outcome_models.FailureKind.TIMEOUT
        self.post(events.AttemptFailed(number, kind, any_byte_sent=True))

    def _on_answer(
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
        if self.statuses[effect.attempt] < _MIN_SERVER_ERROR:
            self.record_success(call)
            return
        self.world.tally.errors += 1

    def _refuse(self, effect: effects.Refuse) -> None:
        call = self.calls.pop(effect.call)
        tally = self.world.tally
        tally.refused_by[call.caller] += 1
        tally.refusals[effect.refusal.reason] += 1
        tally.refusal_seconds.append(self.world.now - call.arrived_at)
        if self.world.on_refusal is not None:
            self.world.on_refusal(call, effect.refusal)

    def _send_to_store(self, effect: effects.SendStoreRequest) -> None:
        store = self.world.store
        store.calls += 1
        when = self.world.now + store.latency
        if store.unavailable:
            when = self.world.now + effect.timeout
            self.world.call_at(
                when, self._on_store_answer, effect, storage.NoAnswer()
            )
            return
        self.world.call_at(when, self._handle_store_request, effect)

    def _handle_store_request(
        self, effect: effects.SendStoreRequest, waited: float = 0.0
    ) -> None:
        body = effect.body
        answer = self.world.store.answer(body, self.world.now)
        if waited < _watch_timeout(body) and not _ends_watch(answer):
            when = self.world.now + _WATCH_POLL_SECONDS
            waited += _WATCH_POLL_SECONDS
            self.world.call_at(when, self._handle_store_request, effect, waited)
            return
        self._on_store_answer(effect, answer)

    def _on_store_answer(
        self, effect: effects.SendStoreRequest, answer: storage.StoreAnswer
    ) -> None:
        self.post(events.StoreAnswered(effect.request, answer))

    def crash(self) -> None:
        """Stop at once, as a crashed process does."""
        self.alive = False


def _watch_timeout(body: storage.StoreRequest) -> float:
    return body.timeout if isinstance(body, storage.Watch) else 0.0


def _ends_watch(answer: storage.StoreAnswer) -> bool:
    return not isinstance(answer, storage.Changes) or bool(answer.keys)
