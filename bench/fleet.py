"""Entries and a store in virtual time, for configuration and membership.

Only what these parts touch is faked: messages between entries, the store and
the platform's list. Tests of failures use it as well.
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

MESSAGE_FRAME_BYTES = 64
PEER_LATENCY_SECONDS = 0.0015

Answer = effects.AnswerPatch | effects.AnswerHistory | effects.AnswerSurvey


@dataclasses.dataclass(slots=True)
class Node:
    """One entry: a real reducer.

    Attributes:
        name: Its identifier.
        state: Its state.
        alive: Whether it runs.
        paused: Whether it runs but does nothing for now.
        tick_at: Time of the tick that is due.
        adopted: Versions that came into force, with their times.
        held_back: Events that came while it was paused.
    """

    name: str
    state: core_state.State
    alive: bool = True
    paused: bool = False
    tick_at: float | None = None
    adopted: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    held_back: list[events.Event] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Fleet:
    """All entries with what is between them.

    Attributes:
        rng: Source of losses and latencies.
        now: The time.
        nodes: Entries by identifier, dead ones included.
        store: The platform's store.
        store_away_at: Entries that can't reach the store.
        lose_store_answers: Writes still to take effect without an answer.
        loss: Share of messages that get lost.
        parted: Whether two entries can't reach each other.
        answers: Answers to operators by operation.
        store_calls: Calls of the store by entry.
        bytes_sent: Bytes sent to peers by entry.
        counts: Counters of all entries together.
        invalid: Versions that the border refuses, by entry.
    """

    rng: random.Random
    now: float = 0.0
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    store: fakestore.FakeStore = dataclasses.field(
        default_factory=fakestore.FakeStore
    )
    store_away_at: set[str] = dataclasses.field(default_factory=set)
    lose_store_answers: int = 0
    loss: float = 0.0
    parted: abc.Callable[[str, str], bool] = lambda _a, _b: False
    answers: dict[int, Answer] = dataclasses.field(default_factory=dict)
    store_calls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    invalid: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    _heap: list[tuple[float, int, abc.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    _count: int = 0
    _watches: list[tuple[Node, effects.SendStoreRequest]] = dataclasses.field(
        default_factory=list
    )

    def at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, action))

    def run_until(self, end: float) -> None:
        """Let everything happen up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def run_for(self, seconds: float) -> None:
        """Let everything happen for a while."""
        self.run_until(self.now + seconds)

    def start(
        self, name: str, seeds: abc.Iterable[str], *, has_peers: bool = True
    ) -> Node:
        """Start an entry, or start it anew without what it knew."""
        identity = core_state.Identity(name, f"domain-{self._count % 4}")
        state = core_state.create_state(identity, self.rng.randrange(1 << 32))
        node = Node(name, state)
        old = self.nodes.get(name)
        if old is not None:
            old.alive = False
        self.nodes[name] = node
        contacts = tuple(
            membership_models.Seed(seed, f"{seed}:1") for seed in seeds
        )
        address = f"{name}:1" if has_peers else None
        incarnation = 1 + int(self.now * 1000)
        self.post(node, events.Started(incarnation, address, contacts))
        return node

    def pause(self, node: Node) -> None:
        """Have an entry stand still; what comes meanwhile waits for it."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Have an entry go on."""
        node.paused = False
        held_back, node.held_back = node.held_back, []
        for event in (*held_back, events.Tick()):
            self.post(node, event)

    def post(self, node: Node, event: events.Event) -> None:
        """Reduce an event at an entry and obey what follows."""
        if not node.alive:
            return
        if node.paused:
            if not isinstance(event, events.Tick):
                node.held_back.append(event)
            return
        version = node.state.cfg.version
        for effect in reducer.reduce(node.state, self.now, event):
            self._obey(node, effect)
        if node.state.cfg.version != version:
            node.adopted.append((self.now, node.state.cfg.version))
        self._set_tick(node)

    def _set_tick(self, node: Node) -> None:
        due = timers.next_at(node.state.timers)
        if due is None or (node.tick_at is not None and due >= node.tick_at):
            return
        node.tick_at = max(due, self.now)
        when = node.tick_at
        self.at(when, lambda: self._tick(node, when))

    def _tick(self, node: Node, when: float) -> None:
        if node.tick_at == when:
            node.tick_at = None
            self.post(node, events.Tick())

    def _obey(self, node: Node, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToPeers():
                self._send(node, effect.peers, effect.message)
            case effects.SendStoreRequest():
                self._ask_store(node, effect)
            case effects.CheckConfiguration():
                self._check(node, effect)
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
            if self.rng.random() < self.loss or self.parted(node.name, peer):
                continue
            delay = PEER_LATENCY_SECONDS * self.rng.uniform(0.5, 2.0)
            spoke = events.PeerMessageReceived(node.name, message)
            arrive = functools.partial(self._reach, peer, spoke)
            self.at(self.now + delay, arrive)

    def _reach(self, peer: str, event: events.PeerMessageReceived) -> None:
        node = self.nodes.get(peer)
        if node is not None:
            self.post(node, event)

    def _ask_store(self, node: Node, effect: effects.SendStoreRequest) -> None:
        self.store_calls[node.name] += 1
        if self.store.unavailable or node.name in self.store_away_at:
            when = self.now + effect.timeout
            self.at(when, lambda: self._answer(node, effect, _NO_ANSWER))
            return
        when = self.now + self.store.latency
        self.at(when, lambda: self._reach_store(node, effect))

    def _reach_store(
        self, node: Node, effect: effects.SendStoreRequest
    ) -> None:
        answer = self.store.answer(effect.body, self.now)
        match effect.body, answer:
            case storage.Watch(), storage.Changes(keys=()):
                self._wait_for_change(node, effect, effect.body)
                return
        if isinstance(answer, storage.Swapped):
            self._wake_watches()
            if self.lose_store_answers > 0:
                self.lose_store_answers -= 1
                when = self.now + effect.timeout
                self.at(when, lambda: self._answer(node, effect, _NO_ANSWER))
                return
        when = self.now + self.store.latency
        self.at(when, lambda: self._answer(node, effect, answer))

    def begin_outage(self) -> None:
        """Take the store away, with what waits for it."""
        self.store.unavailable = True
        watches, self._watches = self._watches, []
        for node, effect in watches:
            self._answer(node, effect, _NO_ANSWER)

    def _wait_for_change(
        self, node: Node, effect: effects.SendStoreRequest, watch: storage.Watch
    ) -> None:
        waiting = (node, effect)
        self._watches.append(waiting)

        def end() -> None:
            if waiting in self._watches:
                self._watches.remove(waiting)
                nothing = storage.Changes(watch.after, ())
                self._answer(node, effect, nothing)

        self.at(self.now + watch.timeout, end)

    def _wake_watches(self) -> None:
        for node, effect in list(self._watches):
            answer = self.store.answer(effect.body, self.now)
            if isinstance(answer, storage.Changes) and answer.keys:
                self._watches.remove((node, effect))
                if node.name in self.store_away_at:
                    answer = _NO_ANSWER
                self._answer(node, effect, answer)

    def _answer(
        self,
        node: Node,
        effect: effects.SendStoreRequest,
        answer: storage.StoreAnswer,
    ) -> None:
        self.post(node, events.StoreAnswered(effect.request, answer))

    def _check(self, node: Node, effect: effects.CheckConfiguration) -> None:
        if (node.name, effect.version) in self.invalid:
            event: events.Event = events.ConfigurationInvalid(
                effect.version, "refused"
            )
        else:
            cfg = configuration_models.Configuration(effect.version, {})
            event = events.ConfigurationRead(cfg)
        self.at(self.now, lambda: self.post(node, event))

    def adopt(self, node: Node, version: int) -> None:
        """Put a version in force whose content the entry already holds."""
        cfg = configuration_models.Configuration(version, {})
        self.post(node, events.ConfigurationRead(cfg))


_NO_ANSWER = storage.NoAnswer()


def create_fleet(size: int, seed: int) -> Fleet:
    """Create entries that know two seeds each, and an empty store."""
    fleet = Fleet(random.Random(seed))
    names = entry_names(size)
    for name in names:
        fleet.start(name, fleet.rng.sample(names, min(3, size)))
    return fleet


def entry_names(size: int) -> list[str]:
    """Return the identifiers of a number of entries."""
    return [f"entry-{n}" for n in range(size)]
