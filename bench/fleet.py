"""Simulates entries and the store in virtual time, without callers and targets.

Runs real reducers and fakes only what configuration and membership need: the
messages between entries, the store and the validation of configurations.
Benches and tests of these parts use it.
"""

import collections
from collections import abc
import dataclasses
import functools
import heapq
import random

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.membership import models as membership_models
from agateshelf.core.peers import models as peer_models
from agateshelf.daemon.peers import codec
from bench import fakestore

# Bytes that the transport adds to each message between entries.
MESSAGE_FRAME_BYTES = 64
PEER_LATENCY_SECONDS = 0.0015

OperatorAnswer = (
    effects.AnswerPatch | effects.AnswerHistory | effects.AnswerSurvey
)


@dataclasses.dataclass(slots=True)
class Node:
    """An entry that runs the real reducer.

    Attributes:
        name: Identifier.
        state: State of the reducer.
        alive: Whether the entry runs; False after it crashed or restarted.
        paused: Whether its process is stopped for a while.
        next_tick_at: Time of the next tick, in seconds; None if no timer is
            set.
        adopted: Versions that became active, with their times.
        buffered: Events that arrived while the entry was paused.
    """

    name: str
    state: core_state.State
    alive: bool = True
    paused: bool = False
    next_tick_at: float | None = None
    adopted: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    buffered: list[events.Event] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Fleet:
    """All entries, the network between them and the store.

    Attributes:
        rng: Random numbers for losses, latencies and seeds.
        now: Virtual time, in seconds.
        nodes: Entries by identifier, including crashed ones.
        store: The platform's store.
        store_unreachable_from: Entries that can't reach the store.
        lose_store_answers: Number of upcoming writes that take effect although
            their answers are lost.
        loss: Share of messages between entries that are lost.
        partitioned: Returns whether a network partition separates two entries.
        answers: Answers to operators, by operation.
        store_calls: Number of requests sent to the store, by entry.
        bytes_sent: Bytes sent to other entries with framing, by entry.
        counts: Counters summed over all entries.
        invalid_versions: Entries and versions for which validation fails.
    """

    rng: random.Random
    now: float = 0.0
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    store: fakestore.FakeStore = dataclasses.field(
        default_factory=fakestore.FakeStore
    )
    store_unreachable_from: set[str] = dataclasses.field(default_factory=set)
    lose_store_answers: int = 0
    loss: float = 0.0
    partitioned: abc.Callable[[str, str], bool] = lambda _a, _b: False
    answers: dict[int, OperatorAnswer] = dataclasses.field(default_factory=dict)
    store_calls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    invalid_versions: set[tuple[str, int]] = dataclasses.field(
        default_factory=set
    )
    _heap: list[tuple[float, int, abc.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    _last_event: int = 0
    _watches: list[tuple[Node, effects.SendStoreRequest]] = dataclasses.field(
        default_factory=list
    )

    def call_at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Schedule an action at a time, in seconds."""
        self._last_event += 1
        heapq.heappush(self._heap, (when, self._last_event, action))

    def run_until(self, end: float) -> None:
        """Run all events up to a time, in seconds."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def run_for(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        self.run_until(self.now + seconds)

    def start(
        self, name: str, seeds: abc.Iterable[str], *, has_peers: bool = True
    ) -> Node:
        """Start an entry, or restart it with an empty state.

        Args:
            name: Identifier of the entry.
            seeds: Identifiers of the entries that it contacts first.
            has_peers: Whether the entry has an address for messages from
                other entries.
        """
        identity = core_state.Identity(name, f"domain-{self._last_event % 4}")
        state = core_state.create_state(identity, self.rng.randrange(1 << 32))
        node = Node(name, state)
        old = self.nodes.get(name)
        if old is not None:
            old.alive = False
        self.nodes[name] = node
        seed_addresses = tuple(
            membership_models.Seed(seed, f"{seed}:1") for seed in seeds
        )
        address = f"{name}:1" if has_peers else None
        incarnation = 1 + int(self.now * 1000)
        self.post(node, events.Started(incarnation, address, seed_addresses))
        return node

    def pause(self, node: Node) -> None:
        """Stop the process of an entry; events are buffered."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Resume an entry and deliver the buffered events."""
        node.paused = False
        buffered, node.buffered = node.buffered, []
        for event in (*buffered, events.Tick()):
            self.post(node, event)

    def post(self, node: Node, event: events.Event) -> None:
        """Handle an event at an entry and apply the resulting effects."""
        if not node.alive:
            return
        if node.paused:
            if not isinstance(event, events.Tick):
                node.buffered.append(event)
            return
        version = node.state.cfg.version
        for effect in reducer.reduce(node.state, self.now, event):
            self._apply(node, effect)
        if node.state.cfg.version != version:
            node.adopted.append((self.now, node.state.cfg.version))
        self._set_tick(node)

    def _set_tick(self, node: Node) -> None:
        due = timers.next_at(node.state.timers)
        if due is None or (
            node.next_tick_at is not None and due >= node.next_tick_at
        ):
            return
        node.next_tick_at = max(due, self.now)
        when = node.next_tick_at
        self.call_at(when, lambda: self._tick(node, when))

    def _tick(self, node: Node, when: float) -> None:
        if node.next_tick_at == when:
            node.next_tick_at = None
            self.post(node, events.Tick())

    def _apply(self, node: Node, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToPeers():
                self._send(node, effect.peers, effect.message)
            case effects.SendStoreRequest():
                self._send_to_store(node, effect)
            case effects.CheckConfiguration():
                self._validate(node, effect)
            case effects.Count():
                self.counts[effect.name] += effect.amount
            case (
                effects.AnswerPatch()
                | effects.AnswerHistory()
                | effects.AnswerSurvey()
            ):
                self.answers[effect.operation] = effect
            case _:
                pass

    def _send(
        self,
        node: Node,
        peers: abc.Iterable[str],
        message: peer_models.PeerMessage,
    ) -> None:
        data = codec.encode(node.name, 1, 1, message)
        for peer in peers:
            self.bytes_sent[node.name] += len(data) + MESSAGE_FRAME_BYTES
            if self.rng.random() < self.loss or self.partitioned(
                node.name, peer
            ):
                continue
            delay = PEER_LATENCY_SECONDS * self.rng.uniform(0.5, 2.0)
            received = events.PeerMessageReceived(node.name, message)
            deliver = functools.partial(self._deliver, peer, received)
            self.call_at(self.now + delay, deliver)

    def _deliver(self, peer: str, event: events.PeerMessageReceived) -> None:
        node = self.nodes.get(peer)
        if node is not None:
            self.post(node, event)

    def _send_to_store(
        self, node: Node, effect: effects.SendStoreRequest
    ) -> None:
        self.store_calls[node.name] += 1
        if self.store.unavailable or node.name in self.store_unreachable_from:
            when = self.now + effect.timeout
            self.call_at(
                when, lambda: self._post_store_answer(node, effect, _NO_ANSWER)
            )
            return
        when = self.now + self.store.latency
        self.call_at(when, lambda: self._handle_store_request(node, effect))

    def _handle_store_request(
        self, node: Node, effect: effects.SendStoreRequest
    ) -> None:
        answer = self.store.answer(effect.body, self.now)
        match effect.body, answer:
            case storage.Watch(), storage.Changes(keys=()):
                self._wait_for_change(node, effect, effect.body)
                return
        if isinstance(answer, storage.Swapped):
            self._notify_watches()
            if self.lose_store_answers > 0:
                self.lose_store_answers -= 1
                when = self.now + effect.timeout
                self.call_at(
                    when,
                    lambda: self._post_store_answer(node, effect, _NO_ANSWER),
                )
                return
        when = self.now + self.store.latency
        self.call_at(
            when, lambda: self._post_store_answer(node, effect, answer)
        )

    def begin_outage(self) -> None:
        """Start an outage of the store, which also ends all open watches."""
        self.store.unavailable = True
        watches, self._watches = self._watches, []
        for node, effect in watches:
            self._post_store_answer(node, effect, _NO_ANSWER)

    def _wait_for_change(
        self, node: Node, effect: effects.SendStoreRequest, watch: storage.Watch
    ) -> None:
        pending = (node, effect)
        self._watches.append(pending)

        def expire() -> None:
            if pending in self._watches:
                self._watches.remove(pending)
                unchanged = storage.Changes(watch.after, ())
                self._post_store_answer(node, effect, unchanged)

        self.call_at(self.now + watch.timeout, expire)

    def _notify_watches(self) -> None:
        for node, effect in list(self._watches):
            answer = self.store.answer(effect.body, self.now)
            if isinstance(answer, storage.Changes) and answer.keys:
                self._watches.remove((node, effect))
                if node.name in self.store_unreachable_from:
                    answer = _NO_ANSWER
                self._post_store_answer(node, effect, answer)

    def _post_store_answer(
        self,
        node: Node,
        effect: effects.SendStoreRequest,
        answer: storage.StoreAnswer,
    ) -> None:
        self.post(node, events.StoreAnswered(effect.request, answer))

    def _validate(self, node: Node, effect: effects.CheckConfiguration) -> None:
        if (node.name, effect.version) in self.invalid_versions:
            event: events.Event = events.ConfigurationInvalid(
                effect.version, "refused"
            )
        else:
            cfg = configuration_models.Configuration(effect.version, {})
            event = events.ConfigurationRead(cfg)
        self.call_at(self.now, lambda: self.post(node, event))

    def adopt(self, node: Node, version: int) -> None:
        """Activate a version at an entry, without replicating its content."""
        cfg = configuration_models.Configuration(version, {})
        self.post(node, events.ConfigurationRead(cfg))


_NO_ANSWER = storage.NoAnswer()


def create_fleet(size: int, seed: int) -> Fleet:
    """Create an empty store and entries with up to three seeds each."""
    fleet = Fleet(random.Random(seed))
    names = entry_names(size)
    for name in names:
        fleet.start(name, fleet.rng.sample(names, min(3, size)))
    return fleet


def entry_names(size: int) -> list[str]:
    """Return the identifiers of the entries of a fleet."""
    return [f"entry-{n}" for n in range(size)]
