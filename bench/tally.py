"""What a run of fakes has shown."""

import collections
from collections import abc
import dataclasses

DRAIN_NEWS_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Tally:
    """What a run has shown.

    Attributes:
        latencies: Seconds to each good answer, by service.
        answered_by: Good answers, by caller.
        refused_by: Refusals, by caller.
        refusals: Refusals, by reason.
        refusal_seconds: Seconds until each refusal.
        errors: Error answers delivered.
        arrived: Calls that arrived.
        attempts: Attempts started.
        doubled: Non-idempotent calls sent while another attempt may run.
        to_draining: Attempts that reached a draining target.
        late_to_draining: Those later than `DRAIN_NEWS_SECONDS` after it began.
        by_target: Attempts by target.
        peer_messages: Messages between entries.
        peer_bytes: Bytes of them.
        probes_sent: Probes of targets.
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
    doubled: int = 0
    to_draining: int = 0
    late_to_draining: int = 0
    by_target: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peer_messages: int = 0
    peer_bytes: int = 0
    probes_sent: int = 0

    def all_latencies(self) -> list[float]:
        """Return the seconds of every good answer."""
        return [t for times in self.latencies.values() for t in times]


def percentile(values: abc.Sequence[float], share: float) -> float:
    """Return the value that a share of the values stay at or below."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
