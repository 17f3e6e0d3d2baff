"""Further load-balancing policies, compared in docs/ROUTING.md.

`python -m bench.routing_table` prints their results beside those of the
product. docs/ROUTING.md says which of them a real entry could not afford.
"""

import collections
import dataclasses

from bench import fakes
from bench import routing_baselines

# Budget of load probes per second and service, for all entries together.
_PROBES_PER_SECOND = 20.0
_PROBES_PER_CALL = 3
_MAX_PROBE_AGE_SECONDS = 1.0
# Quantile of the probed load from which a target counts as hot.
_HOT_QUANTILE = 0.84
# Age at which a load report no longer counts.
_MAX_REPORT_AGE_SECONDS = 0.02
_BROADCAST_INTERVAL_SECONDS = 0.01
_MESSAGE_BYTES = 100


@dataclasses.dataclass(slots=True)
class Report:
    """Load of a target as an entry knows it.

    Attributes:
        outstanding: Number of running and queued requests at the target.
        seconds: Latency of the target, in seconds; 0 if unknown.
        at: Time of the report, in seconds.
        sent: Number of calls that the entry has sent to the target since.
    """

    outstanding: int
    seconds: float
    at: float
    sent: int = 0


class ReportedLoad(routing_baselines.Policy):
    """Least requests by the load that answers report.

    The weight of a report falls with its age; calls that the entry sent since
    are added.
    """

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.reports: dict[tuple[str, str], Report] = {}

    def estimated_load(
        self, entry: fakes.Entry, target: fakes.FakeTarget
    ) -> float:
        """Return the estimated number of requests at a target."""
        in_flight = self.in_flight[entry.id, target.id]
        report = self.reports.get((entry.id, target.id))
        if report is None:
            return in_flight
        age = self.world.now - report.at
        weight = max(0.0, 1 - age / _MAX_REPORT_AGE_SECONDS)
        return max(in_flight, report.outstanding * weight + report.sent)

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target with the lowest estimated load."""
        return min(
            self.usable(service),
            key=lambda t: (self.estimated_load(entry, t), self.rng.random()),
        )

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Count a call that the latest report doesn't include."""
        super().on_sent(entry, target)
        report = self.reports.get((entry.id, target.id))
        if report is not None:
            report.sent += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Record the load that the answer reports."""
        super().on_answer(entry, target, seconds)
        self.record_report(entry.id, target, seconds)

    def record_report(
        self, entry: str, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Store the load of a target as known to an entry."""
        report = Report(target.outstanding(), seconds, self.world.now)
        self.reports[entry, target.id] = report


class PolledCorrected(ReportedLoad):
    """Least requests by load reports polled within the probe budget.

    Calls that the entry sent since a report are added.
    """

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        for service in self.targets:
            self._poll(service, 0)

    def _poll(self, service: str, index: int) -> None:
        targets = self.targets[service]
        target = targets[index % len(targets)]
        self.world.tally.probes_sent += 1
        for entry in self.world.entries:
            self.record_report(entry.id, target, 0.0)
        when = self.world.now + 1 / _PROBES_PER_SECOND
        self.world.call_at(when, self._poll, service, index + 1)

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Count the call as ended; the load in the answer is ignored."""
        routing_baselines.Policy.on_answer(self, entry, target, seconds)


class HotColdProbing(routing_baselines.Policy):
    """Asynchronous probes with a hot-cold rule, in the manner of Prequal.

    A plain form, not a faithful Prequal: the pool holds the latest probe of
    each target, and each probe is used once.
    """

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.pools: dict[tuple[str, str], dict[str, Report]] = (
            collections.defaultdict(dict)
        )
        self.latencies: dict[str, float] = {}
        self.next_probe_at: dict[str, float] = collections.defaultdict(float)

    def may_probe(self, service: str) -> bool:
        """Return whether the budget allows a probe now, and charge it."""
        if self.next_probe_at[service] > self.world.now:
            return False
        self.next_probe_at[service] = self.world.now + 1 / _PROBES_PER_SECOND
        return True

    def _probe(self, entry: fakes.Entry, service: str) -> None:
        target = self.rng.choice(self.targets[service])
        self.world.tally.probes_sent += 1
        delay = self.world.latency(entry.domain, target.domain)
        report = Report(
            target.outstanding(),
            self.latencies.get(target.id, 0.0),
            self.world.now + delay,
        )
        pool = self.pools[entry.id, service]
        self.world.call_at(
            self.world.now + 2 * delay, pool.__setitem__, target.id, report
        )

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the fastest cold target in the pool, or the least loaded.

        Selects at random while the pool holds too few recent probes.
        """
        for _ in range(_PROBES_PER_CALL):
            if self.may_probe(service):
                self._probe(entry, service)
        pool = self.pools[entry.id, service]
        oldest = self.world.now - _MAX_PROBE_AGE_SECONDS
        fresh = {k: r for k, r in pool.items() if r.at > oldest}
        if len(fresh) < _MIN_POOL_SIZE:
            return self.rng.choice(self.usable(service))
        loads = sorted(r.outstanding for r in fresh.values())
        hot = loads[min(len(loads) - 1, int(_HOT_QUANTILE * len(loads)))]
        cold = {k: r for k, r in fresh.items() if r.outstanding < hot}
        best = min(
            cold or fresh,
            key=lambda k: (
                fresh[k].seconds if cold else fresh[k].outstanding,
                self.rng.random(),
            ),
        )
        del pool[best]
        return self.world.targets[best]

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Update the latency that probes of the target report."""
        super().on_answer(entry, target, seconds)
        average = self.latencies.get(target.id, seconds)
        self.latencies[target.id] = average + 0.2 * (seconds - average)


_MIN_POOL_SIZE = 2


class UnlimitedProbing(HotColdProbing):
    """Hot-cold probing with three probes per call, beyond the budget."""

    def may_probe(self, service: str) -> bool:
        """Return True, since the budget is ignored."""
        del service
        return True


class SharedCounts(routing_baselines.Policy):
    """Least requests by the counts of all entries, broadcast every 10 ms."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.shared: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.world.call_at(0.0, self._broadcast)

    def _broadcast(self) -> None:
        now = self.world.now
        later = now + self.world.deployment.latency
        self.world.call_at(later, self._receive, self.in_flight.copy())
        senders = len(self.world.entries)
        sent = senders * (senders - 1)
        self.world.tally.peer_messages += sent
        self.world.tally.peer_bytes += sent * _MESSAGE_BYTES
        self.world.call_at(now + _BROADCAST_INTERVAL_SECONDS, self._broadcast)

    def _receive(self, counts: collections.Counter[tuple[str, str]]) -> None:
        self.shared = counts

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target with the fewest calls in flight.

        The counts of other entries are as of the latest broadcast.
        """

        def load(target: fakes.FakeTarget) -> int:
            others = sum(
                self.shared[other.id, target.id]
                for other in self.world.entries
                if other is not entry
            )
            return others + self.in_flight[entry.id, target.id]

        return min(
            self.usable(service), key=lambda t: (load(t), self.rng.random())
        )


class ForwardToOwner(routing_baselines.Policy):
    """Forwards the calls of a service through its owner, which counts them."""

    def __init__(self, world: fakes.World) -> None:
        super().__init__(world)
        self.outstanding: collections.Counter[str] = collections.Counter()
        indexes = enumerate(self.targets)
        self.owner_domains = {
            service: world.deployment.domain_of(index)
            for index, service in indexes
        }

    def selection_delay(self, entry: fakes.Entry, service: str) -> float:
        """Return the round trip to the owner and its processing time."""
        hop = self.world.latency(entry.domain, self.owner_domains[service])
        return 2 * hop + _OWNER_PROCESSING_SECONDS

    def select_target(
        self, entry: fakes.Entry, service: str
    ) -> fakes.FakeTarget:
        """Return the target with the fewest calls in flight."""
        del entry
        return min(
            self.usable(service),
            key=lambda t: (self.outstanding[t.id], self.rng.random()),
        )

    def on_sent(self, entry: fakes.Entry, target: fakes.FakeTarget) -> None:
        """Count a call as in flight."""
        del entry
        self.outstanding[target.id] += 1

    def on_answer(
        self, entry: fakes.Entry, target: fakes.FakeTarget, seconds: float
    ) -> None:
        """Count a call as ended."""
        del entry, seconds
        self.outstanding[target.id] -= 1


# Assumed processing time of a call at the owner.
_OWNER_PROCESSING_SECONDS = 0.001

POLICIES: dict[str, type[routing_baselines.Policy]] = {
    "own-two": routing_baselines.LocalPowerOfTwo,
    "answer-load": ReportedLoad,
    "polled-corrected": PolledCorrected,
    "probed": HotColdProbing,
    "probed-freely": UnlimitedProbing,
    "peers-tell": SharedCounts,
    "home-hop": ForwardToOwner,
}
