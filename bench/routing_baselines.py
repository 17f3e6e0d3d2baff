"""Ways of choosing a target that the product is measured against.

Each runs on the same fakes without a reducer: a `Way` is shared by all entries
of a world and keeps apart what each entry could know. `Omniscient` reads the
fakes' true queues for nothing and is the lower limit.
"""

import collections
import random

from bench import fakes

_POLLS_PER_SECOND = 20.0


class Way:
    """A way of choosing; subclasses override what they know.

    Attributes:
        world: The world it chooses in.
        rng: Its randomness.
        in_flight: Attempts in flight, by entry and target.
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
        """Return the targets of a service that do not say they leave."""
        every = self.targets[service]
        return [target for target in every if not target.draining] or every

    def delay(self, entry: fakes.Entry, service: str) -> float:
        """Return the seconds a call waits for the choice."""
        del entry, service
        return 0.0

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target for a call."""
        raise NotImplementedError

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Learn that a call was sent."""
        self.in_flight[entry.id, target.id] += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Learn from an answer that took some seconds."""
        del seconds
        self.in_flight[entry.id, target.id] -= 1


class WayEntry(fakes.Entry):
    """An entry that follows a way: one attempt for each call."""

    def __init__(
        self, world: fakes.World, name: str, place: int, way: Way
    ) -> None:
        super().__init__(world, name, place)
        self.way = way

    def request(self, call: fakes.FakeCall) -> None:
        """Take a call, send it on when its target is known."""
        wait = self.way.delay(self, call.service)
        if wait:
            self.world.at(self.world.now + wait, self._send, call)
            return
        self._send(call)

    def _send(self, call: fakes.FakeCall) -> None:
        target = self.way.choose(self, call.service)
        started = self.world.now
        self.way.on_sent(self, target)

        def reply(status: int, sender: fakes.FakeTarget) -> None:
            self.way.on_answer(self, sender, self.world.now - started)
            if status == _OK:
                self.succeed(call)
                return
            self.world.tally.errors += 1

        self.world.submit(self.domain, target, call.size, reply)


_OK = 200


def create_entries(world: fakes.World, way: Way, count: int) -> None:
    """Start entries that follow a way."""
    for n in range(count):
        world.entries.append(WayEntry(world, f"e{n}", n, way))


class Random(Way):
    """Any target."""

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return any target."""
        del entry
        return self.rng.choice(self.usable(service))


class RoundRobin(Way):
    """Each entry goes round the targets from a place of its own."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.turns: dict[tuple[str, str], int] = {}

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the next target of this entry."""
        targets = self.usable(service)
        key = (entry.id, service)
        turn = self.turns.get(key, self.rng.randrange(len(targets))) + 1
        self.turns[key] = turn
        return targets[turn % len(targets)]


class OwnLeast(Way):
    """The target with the fewest calls in flight of the own entry."""

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target with the fewest own calls in flight."""
        return min(
            self.usable(service),
            key=lambda t: (self.in_flight[entry.id, t.id], self.rng.random()),
        )


class OwnTwo(Way):
    """Power of two choices on the own entry's calls in flight."""

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the better of two by own calls in flight."""
        targets = self.usable(service)
        pair = (self.rng.choice(targets), self.rng.choice(targets))
        return min(pair, key=lambda t: self.in_flight[entry.id, t.id])


class PolledTwo(Way):
    """Power of two choices on load reports that are polled in turn.

    The polls are all that the probe budget allows for a service, and every
    entry has every report at once.
    """

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.reports: collections.Counter[str] = collections.Counter()
        for service in self.targets:
            self._poll(service, 0)

    def _poll(self, service: str, turn: int) -> None:
        targets = self.targets[service]
        target = targets[turn % len(targets)]
        self.reports[target.id] = target.waiting()
        self.world.tally.probes_sent += 1
        when = self.world.now + 1 / _POLLS_PER_SECOND
        self.world.at(when, self._poll, service, turn + 1)

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the better of two by the latest reports."""
        del entry
        targets = self.usable(service)
        pair = (self.rng.choice(targets), self.rng.choice(targets))
        return min(pair, key=lambda t: self.reports[t.id])


class Omniscient(Way):
    """The shortest true queue, known to every entry at once."""

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target that truly holds the fewest calls."""
        usable = [t for t in self.usable(service) if not t.failing]
        return min(
            usable or self.usable(service),
            key=lambda t: (
                t.waiting() / t.slots,
                t.domain != entry.domain,
                self.rng.random(),
            ),
        )
