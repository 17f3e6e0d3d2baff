"""Discrete-event simulation of callers, entries and targets.

A fake target has slots, a first-in-first-out queue and randomized service
times. Subclasses of `Entry` implement entries, among them one that runs the
real reducer. Scenarios schedule faults and other events with `World.call_at`.
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

# Standard deviation of the logarithm of call sizes and of service-time noise.
_SIGMA = 0.5
# Time in which a failing target returns its error.
_REJECT_SECONDS = 0.0003


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at a target.

    Attributes:
        reply: Called with the status and the target when the answer leaves the
            target; status 0 stands for a refused connection.
        remaining_work: Seconds of work left at normal speed, as of
            `updated_at`.
        updated_at: Time of the last update of `remaining_work`, in seconds.
        schedule_number: Number of the latest scheduled completion; events of
            earlier ones are ignored.
    """

    reply: abc.Callable[[int, "FakeTarget"], None]
    remaining_work: float
    updated_at: float = 0.0
    schedule_number: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class FakeTarget:
    """A target with slots, a queue and a variable speed.

    Attributes:
        id: Identifier.
        domain: Failure domain.
        slots: Maximum number of requests that run at the same time.
        queue_limit: Maximum number of queued requests; the target answers
            further ones with status 503 without running them.
        slowdown: Factor on the duration of work; 1 is normal speed.
        failing: Whether it answers every request with status 500 without
            running it; such answers don't carry the refusal mark.
        draining: Whether its answers report that it is draining.
        draining_since: Time when it began to drain, in seconds.
        refuses_connections: Whether connecting to it fails.
        running: Requests that occupy a slot.
        queue: Requests that wait for a slot, in order of arrival.
    """

    id: str
    domain: str
    slots: int
    queue_limit: int = 200
    slowdown: float = 1.0
    failing: bool = False
    draining: bool = False
    draining_since: float = 0.0
    refuses_connections: bool = False
    running: list[Job] = dataclasses.field(default_factory=list)
    queue: collections.deque[Job] = dataclasses.field(
        default_factory=collections.deque
    )

    def load(self) -> events.TargetLoad:
        """Return the load that its answers report."""
        return events.TargetLoad(len(self.running), len(self.queue), self.slots)

    def outstanding(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.running) + len(self.queue)


@dataclasses.dataclass(slots=True, eq=False)
class FakeCall:
    """A caller's call at an entry.

    Attributes:
        number: Number of the call, unique in the run.
        service: Name of the service.
        caller: Name of the caller.
        idempotent: Whether the call may be sent more than once.
        size: Amount of work, relative to the mean of 1.
        arrived_at: Time when it arrived at the entry, in seconds.
    """

    number: int
    service: str
    caller: str
    idempotent: bool
    size: float
    arrived_at: float


_Scheduled = tuple[float, int, abc.Callable[..., None], tuple[object, ...]]


class Entry:
    """Base class of entries, which take calls and send them to targets.

    Attributes:
        world: The run that the entry belongs to.
        id: Identifier.
        domain: Failure domain.
    """

    def __init__(self, world: "World", name: str, index: int) -> None:
        self.world = world
        self.id = name
        self.domain = world.deployment.domain_of(index)

    def request(self, call: FakeCall) -> None:
        """Handle a call that has arrived."""
        raise NotImplementedError

    def post(self, event: events.Event) -> None:
        """Handle an event; entries of the baselines ignore it."""

    def crash(self) -> None:
        """Stop at once, as a crashed process does."""

    def record_success(self, call: FakeCall) -> None:
        """Record a successful answer."""
        counts = self.world.tally
        counts.latencies[call.service].append(self.world.now - call.arrived_at)
        counts.answered_by[call.caller] += 1


class World:
    """One simulation run: clock, network, targets, entries and results.

    Attributes:
        now: Virtual time, in seconds.
        rng: Random numbers for arrivals, sizes and service times.
        seed: Seed of the run.
        deployment: Sizes of the services and targets.
        cfg: Configuration of all entries.
        targets: Targets, by identifier.
        entries: Entries that calls are sent to.
        reachable: Entries that receive messages, by identifier; includes
            entries that shut down gracefully and get no more calls.
        store: The platform's store.
        tally: Results of the run.
        sends_keys: Whether non-idempotent calls carry an idempotency key, so
            that entries claim them.
        drops_peer_messages: Whether all messages between entries are lost.
        peer_loss: Share of messages between entries that are lost.
        on_refusal: Called with each refused call and its refusal.
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
        self.drops_peer_messages = False
        self.peer_loss = 0.0
        self.on_refusal: (
            abc.Callable[[FakeCall, outcome_models.Refusal], None] | None
        ) = None
        self._heap: list[_Scheduled] = []
        self._last_event = 0
        self._last_call = 0

    def call_at(
        self, when: float, callback: abc.Callable[..., None], *args: object
    ) -> None:
        """Schedule a callback at a time, in seconds."""
        self._last_event += 1
        heapq.heappush(self._heap, (when, self._last_event, callback, args))

    def run(self, until: float) -> None:
        """Run all events up to a time, in seconds."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(heap)
            callback(*args)
        self.now = until

    def latency(self, first: str, second: str) -> float:
        """Return the one-way latency between two failure domains."""
        return 0.00005 if first == second else self.deployment.latency

    def capacity(self, service: str) -> float:
        """Return the calls per second that fill all slots of a service."""
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
        """Schedule Poisson arrivals of calls at random entries.

        Args:
            service: Name of the service.
            rate: Mean calls per second.
            until: Time of the end of arrivals, in seconds.
            caller: Name of the caller.
            writes: Share of non-idempotent calls; by default that of the
                service in the deployment.
        """
        if writes is None:
            services = {s.name: s for s in self.deployment.services}
            writes = services[service].write_share
        self._next_arrival(service, rate, until, caller, writes)

    def offer_load(self, share: float, until: float) -> None:
        """Schedule arrivals that fill a share of the slots of each service."""
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
            self.call_at(
                when, self._arrive, service, rate, until, caller, writes
            )

    def _arrive(
        self,
        service: str,
        rate: float,
        until: float,
        caller: str,
        writes: float,
    ) -> None:
        self._next_arrival(service, rate, until, caller, writes)
        self._last_call += 1
        self.tally.arrived += 1
        call = FakeCall(
            number=self._last_call,
            service=service,
            caller=caller,
            idempotent=self.rng.random() >= writes,
            size=self.rng.lognormvariate(-(_SIGMA**2) / 2, _SIGMA),
            arrived_at=self.now,
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
        """Send a request to a target.

        Args:
            domain: Failure domain of the sender.
            target: The target.
            size: Amount of work, relative to the mean of 1.
            reply: Called with the status and the target when the answer
                reaches the sender.
        """
        noise = self.rng.lognormvariate(-(_SIGMA**2) / 2, _SIGMA)
        delay = self.latency(domain, target.domain)
        self.tally.attempts += 1
        self.tally.by_target[target.id] += 1

        def answer(status: int, sender: FakeTarget) -> None:
            self.call_at(self.now + delay, reply, status, sender)

        job = Job(answer, deployments.MEAN_SERVICE_SECONDS * size * noise)
        self.call_at(self.now + delay, self._deliver, target, job)
        return job

    def _deliver(self, target: FakeTarget, job: Job) -> None:
        if target.draining:
            self._record_sent_to_draining(target)
        if target.refuses_connections:
            job.reply(0, target)
        elif target.failing:
            self.call_at(self.now + _REJECT_SECONDS, job.reply, 500, target)
        elif len(target.running) < target.slots:
            self._start(target, job)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(job)
        else:
            job.reply(503, target)

    def _record_sent_to_draining(self, target: FakeTarget) -> None:
        self.tally.to_draining += 1
        if self.now - target.draining_since > tally.DRAIN_PROPAGATION_SECONDS:
            self.tally.late_to_draining += 1

    def _start(self, target: FakeTarget, job: Job) -> None:
        target.running.append(job)
        job.updated_at = self.now
        self._schedule_completion(target, job)

    def _schedule_completion(self, target: FakeTarget, job: Job) -> None:
        job.schedule_number += 1
        when = self.now + job.remaining_work * target.slowdown
        self.call_at(when, self._complete, target, job, job.schedule_number)

    def _complete(
        self, target: FakeTarget, job: Job, schedule_number: int
    ) -> None:
        if schedule_number != job.schedule_number:
            return
        target.running.remove(job)
        if target.queue:
            self._start(target, target.queue.popleft())
        job.reply(200, target)

    def cancel(self, domain: str, target: FakeTarget, job: Job) -> None:
        """Cancel a request; one that already runs completes anyway."""
        delay = self.latency(domain, target.domain)
        self.call_at(self.now + delay, self._dequeue, target, job)

    def _dequeue(self, target: FakeTarget, job: Job) -> None:
        if job in target.queue:
            target.queue.remove(job)

    def set_slowdown(self, target: FakeTarget, slowdown: float) -> None:
        """Change the speed of a target, also for its running requests."""
        for job in target.running:
            job.remaining_work -= (self.now - job.updated_at) / target.slowdown
            job.updated_at = self.now
        target.slowdown = slowdown
        for job in target.running:
            self._schedule_completion(target, job)
