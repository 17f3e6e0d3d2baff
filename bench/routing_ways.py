"""Further ways of choosing, weighed for docs/ROUTING.md.

`python -m bench.routing_table` prints each beside the product, from one
run. Ways that a real entry could not afford are named so in the page.
"""

import collections
import dataclasses

from bench import fakes
from bench import routing_baselines

_PROBES_PER_SECOND = 20.0
_PROBES_PER_CALL = 3
_POOL_SECONDS = 1.0
_HOT_SHARE = 0.84
_REPORT_SECONDS = 0.02
_TELL_SECONDS = 0.01
_MESSAGE_BYTES = 100


@dataclasses.dataclass(slots=True)
class Report:
    """What an entry heard of a target's load, and what it sent since."""

    waiting: int
    seconds: float
    at: float
    sent: int = 0


class AnswerLoad(routing_baselines.Way):
    """Least load by answers, less the older they are, and own calls since."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.reports: dict[tuple[str, str], Report] = {}

    def believed(self, entry: fakes.Entry, target: fakes.FakeTarget) -> float:
        """Return the calls that a target probably holds."""
        own = self.in_flight[entry.id, target.id]
        heard = self.reports.get((entry.id, target.id))
        if heard is None:
            return own
        age = self.world.now - heard.at
        weight = max(0.0, 1 - age / _REPORT_SECONDS)
        return max(own, heard.waiting * weight + heard.sent)

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target believed to hold the fewest calls."""
        return min(
            self.usable(service),
            key=lambda t: (self.believed(entry, t), self.rng.random()),
        )

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Count a call that the latest report does not know of."""
        super().on_sent(entry, target)
        heard = self.reports.get((entry.id, target.id))
        if heard is not None:
            heard.sent += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Take in the load that the answer carries."""
        super().on_answer(entry, target, seconds)
        self.hear(entry.id, target, seconds)

    def hear(
        self, entry: str, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Note what an entry heard of a target."""
        heard = Report(target.waiting(), seconds, self.world.now)
        self.reports[entry, target.id] = heard


class PolledCorrected(AnswerLoad):
    """Reports polled on the budget, corrected by what was sent since."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        for service in self.targets:
            self._poll(service, 0)

    def _poll(self, service: str, turn: int) -> None:
        targets = self.targets[service]
        target = targets[turn % len(targets)]
        self.world.tally.probes_sent += 1
        for entry in self.world.entries:
            self.hear(entry.id, target, 0.0)
        when = self.world.now + 1 / _PROBES_PER_SECOND
        self.world.at(when, self._poll, service, turn + 1)

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Take nothing from answers."""
        routing_baselines.Way.on_answer(self, entry, target, seconds)


class Probed(routing_baselines.Way):
    """Asynchronous probes, hot-cold rule on calls held and latency."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.pools: dict[tuple[str, str], dict[str, Report]] = (
            collections.defaultdict(dict)
        )
        self.latencies: dict[str, float] = {}
        self.probe_at: dict[str, float] = collections.defaultdict(float)

    def may_probe(self, service: str) -> bool:
        """Return whether the budget of all entries allows a probe now."""
        if self.probe_at[service] > self.world.now:
            return False
        self.probe_at[service] = self.world.now + 1 / _PROBES_PER_SECOND
        return True

    def _probe(self, entry: fakes.Entry, service: str) -> None:
        target = self.rng.choice(self.targets[service])
        self.world.tally.probes_sent += 1
        delay = self.world.latency(entry.domain, target.domain)
        seen = Report(
            target.waiting(),
            self.latencies.get(target.id, 0.0),
            self.world.now + delay,
        )
        pool = self.pools[entry.id, service]
        self.world.at(
            self.world.now + 2 * delay, pool.__setitem__, target.id, seen
        )

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the coldest or quickest target of the pool of probes."""
        for _ in range(_PROBES_PER_CALL):
            if self.may_probe(service):
                self._probe(entry, service)
        pool = self.pools[entry.id, service]
        oldest = self.world.now - _POOL_SECONDS
        fresh = {k: r for k, r in pool.items() if r.at > oldest}
        if len(fresh) < _PAIR:
            return self.rng.choice(self.usable(service))
        held = sorted(r.waiting for r in fresh.values())
        hot = held[min(len(held) - 1, int(_HOT_SHARE * len(held)))]
        cold = {k: r for k, r in fresh.items() if r.waiting < hot}
        best = min(
            cold or fresh,
            key=lambda k: (
                fresh[k].seconds if cold else fresh[k].waiting,
                self.rng.random(),
            ),
        )
        del pool[best]
        return self.world.targets[best]

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Keep the latency that the target would report."""
        super().on_answer(entry, target, seconds)
        known = self.latencies.get(target.id, seconds)
        self.latencies[target.id] = known + 0.2 * (seconds - known)


_PAIR = 2


class ProbedFreely(Probed):
    """The same with three probes for each call, whatever they cost."""

    def may_probe(self, service: str) -> bool:
        """Return that each probe is allowed."""
        del service
        return True


class PeersTell(routing_baselines.Way):
    """Least calls in flight of all entries, told each other every 10 ms."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.told: collections.Counter[tuple[str, str]] = collections.Counter()
        self.world.at(0.0, self._tell)

    def _tell(self) -> None:
        now = self.world.now
        later = now + self.world.deployment.latency
        self.world.at(later, self._arrive, self.in_flight.copy())
        senders = len(self.world.entries)
        sent = senders * (senders - 1)
        self.world.tally.peer_messages += sent
        self.world.tally.peer_bytes += sent * _MESSAGE_BYTES
        self.world.at(now + _TELL_SECONDS, self._tell)

    def _arrive(self, told: collections.Counter[tuple[str, str]]) -> None:
        self.told = told

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target with the fewest calls, own ones as of now."""

        def held(target: fakes.FakeTarget) -> int:
            others = sum(
                self.told[other.id, target.id]
                for other in self.world.entries
                if other is not entry
            )
            return others + self.in_flight[entry.id, target.id]

        return min(
            self.usable(service), key=lambda t: (held(t), self.rng.random())
        )


class HomeHop(routing_baselines.Way):
    """Each service's calls hop to one entry, which counts them itself."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.held: collections.Counter[str] = collections.Counter()
        places = enumerate(self.targets)
        self.homes = {
            service: world.deployment.domain_of(place)
            for place, service in places
        }

    def delay(self, entry: fakes.Entry, service: str) -> float:
        """Return the hop there and back, and a millisecond of its work."""
        hop = self.world.latency(entry.domain, self.homes[service])
        return 2 * hop + _HOP_SECONDS

    def choose(self, entry: fakes.Entry, service: str) -> fakes.FakeTarget:
        """Return the target that holds the fewest calls."""
        del entry
        return min(
            self.usable(service),
            key=lambda t: (self.held[t.id], self.rng.random()),
        )

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Count a call in."""
        del entry
        self.held[target.id] += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Count a call out."""
        del entry, seconds
        self.held[target.id] -= 1


_HOP_SECONDS = 0.001

WAYS: dict[str, type[routing_baselines.Way]] = {
    "own-two": routing_baselines.OwnTwo,
    "answer-load": AnswerLoad,
    "polled-corrected": PolledCorrected,
    "probed": Probed,
    "probed-freely": ProbedFreely,
    "peers-tell": PeersTell,
    "home-hop": HomeHop,
}
