"""Measurements collected during a simulation run with fake targets."""

import collections
from collections import abc
import dataclasses

# Time that entries have to learn that a target drains. Attempts that reach it
# later are counted in `Tally.late_to_draining`.
DRAIN_PROPAGATION_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts and latencies of a simulation run.

    Attributes:
        latencies: Seconds from arrival to each successful answer, by service.
        answered_by: Number of successful answers, by caller.
        refused_by: Number of refusals, by caller.
        refusals: Number of refusals, by reason.
        refusal_seconds: Seconds from arrival to each refusal.
        errors: Number of error answers delivered to callers.
        arrived: Number of calls that arrived.
        attempts: Number of attempts started.
        duplicate_sends: Attempts of non-idempotent calls that were started
            while another attempt of the call was in flight.
        to_draining: Number of attempts that reached a draining target.
        late_to_draining: Those of them that reached it more than
            `DRAIN_PROPAGATION_SECONDS` after it began to drain.
        by_target: Number of attempts, by target.
        peer_messages: Number of messages between entries.
        peer_bytes: Total size of these messages, in bytes with framing.
        probes_sent: Number of load probes sent to targets.
    """

    latencies: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    answered_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusal_seconds: list[float] = dataclasses.field(default_factory=list)
    errors: int = 0
    arrived: int = 0
    attempts: int = 0
    duplicate_sends: int = 0
    to_draining: int = 0
    late_to_draining: int = 0
    by_target: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peer_messages: int = 0
    peer_bytes: int = 0
    probes_sent: int = 0

    def all_latencies(self) -> list[float]:
        """Return the latencies of all services."""
        return [t for times in self.latencies.values() for t in times]


def percentile(values: abc.Sequence[float], share: float) -> float:
    """Return a percentile by nearest rank; 0 if there are no values.

    Args:
        values: Values in any order.
        share: Percentile as a share, such as 0.99.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
