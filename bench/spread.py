"""Time until a patch is in force everywhere, and what that costs.

Real reducers in virtual time, with a tenth of the messages lost, the store out
of reach for all entries but one, and entries that are replaced meanwhile.
"""

import dataclasses
import random

import msgspec

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.configuration import content
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from agateshelf.core.membership import models as membership_models
from bench import fleet as fleets
from bench import report

_LOSS = 0.1
_TARGETS = 13
_SETTLE_SECONDS = 3.5
_SPREAD_SECONDS = 19.0
_MOST_BYTES_PER_SECOND = 4096.0
_MOST_STORE_CALLS_FACTOR = 2.0
_SEEDS_AT_START = 3
_STEADY_SECONDS = 6.0
_OUTAGE_SECONDS = 6.0
_MOST_CALLS_AFTER_OUTAGE = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One size of the fleet.

    Attributes:
        entries: Number of entries.
        services: Number of services in the configuration.
        patches: Patches to measure, one after another.
        patch_seconds: Seconds from one patch to the next.
        replaced: Entries replaced within each patch's time.
        after_seconds: Seconds watched after the outage.
        bound: Most seconds until a patch is in force; None without bound.
    """

    entries: int
    services: int
    patches: int
    patch_seconds: float
    replaced: int
    after_seconds: float
    bound: float | None


_SIZES = (
    Size(16, 6, 20, 8.0, 1, 60.0, 5.0),
    Size(64, 20, 8, 8.0, 1, 60.0, None),
    Size(256, 82, 4, 8.0, 1, 60.0, None),
    Size(1024, 330, 2, 6.0, 1, 8.0, _SPREAD_SECONDS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one size cost.

    Attributes:
        seconds: Time until each patch was in force everywhere.
        store_calls: Calls of the store a second, with a patch in the time.
        calls_after_outage: Calls of the store a second after an outage.
        mean_bytes: Bytes a second that an entry sent to peers, on average.
        most_bytes: Bytes a second of the entry that sent most.
    """

    seconds: list[float]
    store_calls: float
    calls_after_outage: float
    mean_bytes: float
    most_bytes: float


def run() -> list[report.Figure]:
    """Measure every size."""
    outcomes = {size.entries: measure(size) for size in _SIZES}
    figures: list[report.Figure] = []
    for size in _SIZES:
        figures.extend(_figures(size, outcomes[size.entries]))
    smallest = outcomes[_SIZES[0].entries].store_calls
    largest = outcomes[_SIZES[-1].entries].store_calls
    factor = report.Figure(
        "spread/store-calls-largest-to-smallest",
        largest / smallest,
        "factor",
        report.Bound(report.Comparison.AT_MOST, _MOST_STORE_CALLS_FACTOR),
    )
    return [*figures, factor]


def _figures(size: Size, outcome: Outcome) -> list[report.Figure]:
    name = f"spread/{size.entries}-entries"
    ordered = sorted(outcome.seconds)
    bound = None
    if size.bound is not None:
        bound = report.Bound(report.Comparison.AT_MOST, size.bound)
    most = report.Bound(report.Comparison.AT_MOST, _MOST_BYTES_PER_SECOND)
    return [
        report.Figure(f"{name}/p50", ordered[len(ordered) // 2], "s"),
        report.Figure(f"{name}/worst", ordered[-1], "s", bound),
        report.Figure(f"{name}/store-calls", outcome.store_calls, "calls/s"),
        report.Figure(
            f"{name}/store-calls-after-outage",
            outcome.calls_after_outage,
            "calls/s",
            report.Bound(report.Comparison.AT_MOST, _MOST_CALLS_AFTER_OUTAGE),
        ),
        report.Figure(f"{name}/mean-bytes", outcome.mean_bytes, "B/s/node"),
        report.Figure(
            f"{name}/most-bytes", outcome.most_bytes, "B/s/node", most
        ),
    ]


def measure(size: Size) -> Outcome:
    """Submit patches one after another and wait for each."""
    fleet = _create_settled_fleet(size)
    names = sorted(fleet.nodes)
    writer = names[0]
    fleet.loss = _LOSS
    store_calls = _steady_calls(fleet, size, writer)
    fleet.store_unreachable_from = set(names) - {writer}
    fleet.bytes_sent.clear()
    began = fleet.now
    seconds = [
        _time_patch(fleet, size, writer, operation)
        for operation in range(1, size.patches + 1)
    ]
    lasted = fleet.now - began
    mean_bytes = sum(fleet.bytes_sent.values()) / lasted / len(names)
    most_bytes = max(fleet.bytes_sent.values()) / lasted
    fleet.store_unreachable_from = set()
    return Outcome(
        seconds,
        store_calls,
        _calls_after_outage(fleet, size.after_seconds),
        mean_bytes,
        most_bytes,
    )


def _steady_calls(fleet: fleets.Fleet, size: Size, writer: str) -> float:
    """Return the store's calls a second with a patch in the time."""
    steady = dataclasses.replace(size, patch_seconds=_STEADY_SECONDS)
    fleet.store_calls.clear()
    _time_patch(fleet, steady, writer, size.patches + 1)
    return sum(fleet.store_calls.values()) / _STEADY_SECONDS


def _calls_after_outage(fleet: fleets.Fleet, seconds: float) -> float:
    """Return the store's calls a second once an outage is over."""
    fleet.begin_outage()
    fleet.run_for(_OUTAGE_SECONDS)
    fleet.store.away = False
    fleet.store_calls.clear()
    fleet.run_for(seconds)
    return sum(fleet.store_calls.values()) / seconds


def _create_settled_fleet(size: Size) -> fleets.Fleet:
    """Create entries that know each other and have version 1 in force."""
    fleet = fleets.Fleet(random.Random(size.entries))
    first = _create_first(size.services)
    for record in records.create_initial_records(first):
        fleet.store.keys.put(record.key, record.value, if_version=0, now=0.0)
    names = fleets.entry_names(size.entries)
    members = {name: _member(name) for name in names}
    for name in names:
        node = fleet.start(name, fleet.rng.sample(names, _SEEDS_AT_START))
        node.state.membership.members = {
            other: member for other, member in members.items() if other != name
        }
        node.state.membership.live = None
        node.state.membership.neighbours = None
        node.state.membership.remaining_transmissions.clear()
        node.state.configuration.validating[1] = first
    for node in fleet.nodes.values():
        fleet.adopt(node, 1)
    fleet.run_for(_SETTLE_SECONDS)
    return fleet


def _create_first(services: int) -> content.Content:
    return content.create_content(
        1, [_create_part(n, f"first {n}") for n in range(services)]
    )


def _create_part(number: int, text: str) -> content.Part:
    """Create a service's policy of the size that operators write."""
    rng = random.Random(f"{number}/{text}")
    targets = [
        {
            "id": f"service-{number}-{target}",
            "address": f"10.{rng.randrange(256)}.{rng.randrange(256)}.9:80",
            "failure_domain": f"domain-{target % 12}",
        }
        for target in range(_TARGETS)
    ]
    policy = {"team": f"team-{number % 40}", "prefix": f"/{text}/"}
    value = msgspec.json.encode({**policy, "targets": targets})
    return content.Part(f"services/service-{number}", value)


def _member(name: str) -> membership_models.Member:
    return membership_models.Member(
        name, 1, membership_models.Status.LIVE, f"{name}:1", "domain"
    )


def _time_patch(
    fleet: fleets.Fleet, size: Size, writer: str, operation: int
) -> float:
    """Submit a patch and return the time until it was in force everywhere.

    Entries replaced meanwhile count until their new process has it, too.
    """
    node = fleet.nodes[writer]
    held = node.state.configuration.active
    assert held is not None
    changed = _create_part(operation, f"patch {operation}")
    parts = {**held.parts, changed.name: changed}
    began = fleet.now
    fleet.post(
        node,
        events.PatchRequested(
            operation,
            f"patch-{operation}",
            held.version,
            tuple(parts.values()),
            "operator",
            "bench",
            0.0,
        ),
    )
    for number in range(size.replaced):
        _replace_soon(fleet, writer, number)
    fleet.run_until(began + size.patch_seconds)
    version = held.version + 1
    accepted = effects.AnswerPatch(operation, results.Accepted(version))
    assert fleet.answers[operation] == accepted
    return _in_force_at(fleet, version) - began


def _replace_soon(fleet: fleets.Fleet, writer: str, number: int) -> None:
    names = sorted(set(fleet.nodes) - {writer})
    name = fleet.rng.choice(names)
    seeds = fleet.rng.sample(names, _SEEDS_AT_START)

    def replace() -> None:
        fleet.start(name, [seed for seed in seeds if seed != name])

    fleet.call_at(fleet.now + 0.1 * (number + 1), replace)


def _in_force_at(fleet: fleets.Fleet, version: int) -> float:
    """Return when the last entry had a version or a later one in force."""
    last = 0.0
    for node in fleet.nodes.values():
        times = [at for at, adopted in node.adopted if adopted >= version]
        last = max(last, min(times, default=float("inf")))
    return last
