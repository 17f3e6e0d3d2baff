"""Small fakes around real reducers, driven by one heap of virtual time.

A fake target has slots, a first-in-first-out queue and service times with
noise; an entry is a real reducer whose effects are obeyed. Nothing here
decides: what happens in a scene is scheduled with `World.at`.
"""

import collections
from collections import abc
import dataclasses
import heapq
import random

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.outcomes import models as outcome_models
from bench import deployments
from bench import fakestore
from bench import tally

_SIGMA = 0.5
_REJECT_SECONDS = 0.0003


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Work at a target.

    Attributes:
        reply: Called with the answer's status as it leaves the target.
        work: Seconds of work left at full speed.
        since: Time up to which `work` is right.
        version: Changes whenever the finish is scheduled anew.
    """

    reply: abc.Callable[[int, "FakeTarget"], None]
    work: float
    since: float = 0.0
    version: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class FakeTarget:
    """A target with slots, a queue and a speed that changes.

    Attributes:
        id: Identifier.
        domain: Failure domain.
        slots: Requests it works on at once.
        queue_limit: Requests that wait at most; more are refused unrun.
        factor: How many times slower than usual it works.
        failing: Whether it rejects everything at once, without a mark.
        draining: Whether it says that it is leaving.
        draining_since: When it began to.
        gone: Whether it refuses connections.
    """

    id: str
    domain: str
    slots: int
    queue_limit: int = 200
    factor: float = 1.0
    failing: bool = False
    draining: bool = False
    draining_since: float = 0.0
    gone: bool = False
    running: list[Job] = dataclasses.field(default_factory=list)
    queue: collections.deque[Job] = dataclasses.field(
        default_factory=collections.deque
    )

    def load(self) -> events.TargetLoad:
        """Return its load at this moment."""
        return events.TargetLoad(len(self.running), len(self.queue), self.slots)

    def waiting(self) -> int:
        """Return the requests it holds, running and queued."""
        return len(self.running) + len(self.queue)


@dataclasses.dataclass(slots=True, eq=False)
class FakeCall:
    """A caller's call at an entry."""

    number: int
    service: str
    caller: str
    idempotent: bool
    size: float
    arrived: float


_Scheduled = tuple[float, int, abc.Callable[..., None], tuple[object, ...]]


class Entry:
    """What callers are sent to; a baseline or a real reducer."""

    def __init__(self, world: "World", name: str, place: int) -> None:
        self.world = world
        self.id = name
        self.domain = world.deployment.domain_of(place)

    def request(self, call: FakeCall) -> None:
        """Take a call."""
        raise NotImplementedError

    def post(self, event: events.Event) -> None:
        """Hear of an event; a baseline hears nothing."""

    def die(self) -> None:
        """End at once, without a word to anyone."""

    def succeed(self, call: FakeCall) -> None:
        """Record a good answer."""
        seen = self.world.tally
        seen.latencies[call.service].append(self.world.now - call.arrived)
        seen.answered_by[call.caller] += 1


class World:
    """One run: its clock, network, targets, entries and tally.

    Attributes:
        now: Virtual time in seconds.
        rng: Randomness of arrivals and service times.
        deployment: The sizes.
        cfg: The configuration that entries are given.
        targets: The targets by identifier.
        entries: The entries that callers are sent to.
        reachable: Entries that messages reach, also leaving ones.
        store: The platform's store.
        tally: What the run has shown.
        sends_keys: Whether non-idempotent calls carry a key, so are claimed.
        peers_away: Whether messages between entries are lost.
        peer_loss: Share of messages between entries that is lost.
        on_refusal: Called with a refused call and its refusal.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int,
        cfg: models.Configuration | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.seed = seed
        self.deployment = deployment
        self.cfg = cfg or deployments.create_configuration(deployment)
        self.targets: dict[str, FakeTarget] = {}
        for service in self.cfg.services.values():
            for target in service.targets:
                self.targets[target.id] = FakeTarget(
                    target.id, target.failure_domain, deployment.slots
                )
        self.entries: list[Entry] = []
        self.reachable: dict[str, Entry] = {}
        self.store = fakestore.FakeStore()
        self.tally = tally.Tally()
        self.sends_keys = True
        self.peers_away = False
        self.peer_loss = 0.0
        self.on_refusal: (
            abc.Callable[[FakeCall, outcome_models.Refusal], None] | None
        ) = None
        self._heap: list[_Scheduled] = []
        self._count = 0
        self._calls = 0

    def at(
        self, when: float, act: abc.Callable[..., None], *args: object
    ) -> None:
        """Have something happen at a time."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, act, args))

    def run(self, until: float) -> None:
        """Let time pass until a moment."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heapq.heappop(heap)
            act(*args)
        self.now = until

    def latency(self, first: str, second: str) -> float:
        """Return the one-way latency between two failure domains."""
        return 0.00005 if first == second else self.deployment.latency

    def capacity(self, service: str) -> float:
        """Return the calls a second that a service's slots can answer."""
        targets = len(self.cfg.services[service].targets)
        return (
            targets * self.deployment.slots / deployments.MEAN_SERVICE_SECONDS
        )

    # Arrivals.

    def offer(
        self,
        service: str,
        rate: float,
        until: float,
        caller: str = "caller",
        writes: float | None = None,
    ) -> None:
        """Have calls arrive at a mean rate, at entries at random."""
        if writes is None:
            shapes = {s.name: s for s in self.deployment.services}
            writes = shapes[service].write_share
        self._next_arrival(service, rate, until, caller, writes)

    def offer_load(self, share: float, until: float) -> None:
        """Have all services loaded to a share of their slots."""
        for service in self.cfg.services:
            self.offer(service, share * self.capacity(service), until)

    def _next_arrival(
        self,
        service: str,
        rate: float,
        until: float,
        caller: str,
        writes: float,
    ) -> None:
        when = self.now + self.rng.expovariate(rate)
        if when <= until:
            self.at(when, self._arrive, service, rate, until, caller, writes)

    def _arrive(
        self,
        service: str,
        rate: float,
        until: float,
        caller: str,
        writes: float,
    ) -> None:
        self._next_arrival(service, rate, until, caller, writes)
        self._calls += 1
        self.tally.arrived += 1
        call = FakeCall(
            number=self._calls,
            service=service,
            caller=caller,
            idempotent=self.rng.random() >= writes,
            size=self.rng.lognormvariate(-(_SIGMA**2) / 2, _SIGMA),
            arrived=self.now,
        )
        self.rng.choice(self.entries).request(call)

    # Targets.

    def submit(
        self,
        domain: str,
        target: FakeTarget,
        size: float,
        reply: abc.Callable[[int, FakeTarget], None],
    ) -> Job:
        """Send work to a target; the answer reaches the sender's domain."""
        noise = self.rng.lognormvariate(-(_SIGMA**2) / 2, _SIGMA)
        delay = self.latency(domain, target.domain)
        self.tally.attempts += 1
        self.tally.by_target[target.id] += 1

        def answer(status: int, sender: FakeTarget) -> None:
            self.at(self.now + delay, reply, status, sender)

        job = Job(answer, deployments.MEAN_SERVICE_SECONDS * size * noise)
        self.at(self.now + delay, self._reach, target, job)
        return job

    def _reach(self, target: FakeTarget, job: Job) -> None:
        if target.draining:
            self._count_to_draining(target)
        if target.gone:
            job.reply(0, target)
        elif target.failing:
            self.at(self.now + _REJECT_SECONDS, job.reply, 500, target)
        elif len(target.running) < target.slots:
            self._begin(target, job)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(job)
        else:
            job.reply(503, target)

    def _count_to_draining(self, target: FakeTarget) -> None:
        self.tally.to_draining += 1
        if self.now - target.draining_since > tally.DRAIN_NEWS_SECONDS:
            self.tally.late_to_draining += 1

    def _begin(self, target: FakeTarget, job: Job) -> None:
        target.running.append(job)
        job.since = self.now
        self._schedule_finish(target, job)

    def _schedule_finish(self, target: FakeTarget, job: Job) -> None:
        job.version += 1
        when = self.now + job.work * target.factor
        self.at(when, self._finish, target, job, job.version)

    def _finish(self, target: FakeTarget, job: Job, version: int) -> None:
        if version != job.version:
            return
        target.running.remove(job)
        if target.queue:
            self._begin(target, target.queue.popleft())
        job.reply(200, target)

    def cancel(self, domain: str, target: FakeTarget, job: Job) -> None:
        """Give work up: still queued it is dropped, begun it goes on."""
        delay = self.latency(domain, target.domain)
        self.at(self.now + delay, self._drop, target, job)

    def _drop(self, target: FakeTarget, job: Job) -> None:
        if job in target.queue:
            target.queue.remove(job)

    def slow(self, target: FakeTarget, factor: float) -> None:
        """Change a target's speed, also for what it works on."""
        for job in target.running:
            job.work -= (self.now - job.since) / target.factor
            job.since = self.now
        target.factor = factor
        for job in target.running:
            self._schedule_finish(target, job)
