"""Load-balancing policies that the product is measured against.

They select targets in the same simulation, without the reducer. All entries of
a run share one `Policy`, which keeps the knowledge of each entry apart.
`Omniscient` reads the actual queues of the targets without cost; it is not
feasible and gives the lower limit of the latency.
"""

import collections
import random

from bench import fakes

# Budget of load probes per second and service, for all entries together.
_POLLS_PER_SECOND = 20.0


class Policy:
    """Base class of the load-balancing policies.

    Attributes:
        world: The run that the policy selects targets in.
        rng: Random numbers of the policy, apart from those of the run.
        in_flight: Number of attempts in flight, by entry and target.
        targets: Targets, by service.
    """

    def __init__(self, world: fakes.World) -> None:
        self.world = world
        self.rng = random.Random(world.seed)
        self.in_flight: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.targets = {
            service.name: [world.targets[t.id] for t in service.targets]
            for service in world.cfg.services.values()
        }

    def usable(self, service: str) -> list[fakes.FakeTarget]:
        """Return the targets that are not draining, or all if all drain."""
        targets = self.targets[service]
        return [target for target in targets if not target.draining] or targets

    def selection_delay(self, entry: fakes.Entry, service: str) -> float:
        """Return the delay that the selection adds to a call, in seconds."""
        del entry, service
        return 0.0

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target for a call of a service."""
        raise NotImplementedError

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Record that an entry sent a call to a target."""
        self.in_flight[entry.id, target.id] += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Record an answer.

        Args:
            entry: Entry that sent the call.
            target: Target that answered.
            seconds: Time from sending the call to the answer.
        """
        del seconds
        self.in_flight[entry.id, target.id] -= 1


class PolicyEntry(fakes.Entry):
    """An entry that follows a policy and makes one attempt per call."""

    def __init__(
        self, world: fakes.World, name: str, index: int, policy: Policy
    ) -> None:
        super().__init__(world, name, index)
        self.policy = policy

    def request(self, call: fakes.FakeCall) -> None:
        """Send a call to a target once the policy has selected it."""
        delay = self.policy.selection_delay(self, call.service)
        if delay:
            self.world.call_at(self.world.now + delay, self._send, call)
            return
        self._send(call)

    def _send(self, call: fakes.FakeCall) -> None:
        target = self.policy.select_target(self, call.service)
        sent_at = self.world.now
        self.policy.on_sent(self, target)

        def reply(status: int, sender: fakes.FakeTarget) -> None:
            self.policy.on_answer(self, sender, self.world.now - sent_at)
            if status == _OK:
                self.record_success(call)
                return
            self.world.tally.errors += 1

        self.world.submit(self.domain, target, call.size, reply)


_OK = 200


def create_entries(world: fakes.World, policy: Policy, count: int) -> None:
    """Start entries that follow a policy."""
    for n in range(count):
        world.entries.append(PolicyEntry(world, f"e{n}", n, policy))


class Random(Policy):
    """Random selection."""

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return a random target."""
        del entry
        return self.rng.choice(self.usable(service))


class RoundRobin(Policy):
    """Round robin; each entry starts at a random position."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.positions: dict[tuple[str, str], int] = {}

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the next target in the order of the entry."""
        targets = self.usable(service)
        key = (entry.id, service)
        position = self.positions.get(key, self.rng.randrange(len(targets))) + 1
        self.positions[key] = position
        return targets[position % len(targets)]


class LocalLeastRequests(Policy):
    """Least requests, counting only calls in flight from the same entry."""

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target with the fewest calls in flight from the entry."""
        return min(
            self.usable(service),
            key=lambda t: (self.in_flight[entry.id, t.id], self.rng.random()),
        )


class LocalPowerOfTwo(Policy):
    """Power of two choices, by calls in flight from the same entry."""

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the less loaded of two random targets."""
        targets = self.usable(service)
        pair = (self.rng.choice(targets), self.rng.choice(targets))
        return min(pair, key=lambda t: self.in_flight[entry.id, t.id])


class PolledPowerOfTwo(Policy):
    """Power of two choices, by load reports polled in round-robin order.

    Polling uses the whole probe budget of a service, and each report reaches
    all entries at once.
    """

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.reports: collections.Counter[str] = collections.Counter()
        for service in self.targets:
            self._poll(service, 0)

    def _poll(self, service: str, index: int) -> None:
        targets = self.targets[service]
        target = targets[index % len(targets)]
        self.reports[target.id] = target.outstanding()
        self.world.tally.probes_sent += 1
        when = self.world.now + 1 / _POLLS_PER_SECOND
        self.world.call_at(when, self._poll, service, index + 1)

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the less loaded of two random targets, as last reported."""
        del entry
        targets = self.usable(service)
        pair = (self.rng.choice(targets), self.rng.choice(targets))
        return min(pair, key=lambda t: self.reports[t.id])


class Omniscient(Policy):
    """Least requests by the actual load of the targets, without delay."""

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target with the fewest requests per slot."""
        usable = [t for t in self.usable(service) if not t.failing]
        return min(
            usable or self.usable(service),
            key=lambda t: (
                t.outstanding() / t.slots,
                t.domain != entry.domain,
                self.rng.random(),
            ),
        )
