"""What goes wrong in a soak, and when: drawn from one seed."""

import dataclasses
import enum
import random


class Mode(enum.Enum):
    """What a link does with the bytes that pass it."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"
    RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True)
class StopEntry:
    """An entry is asked to stop, and started again some seconds later."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillEntry:
    """An entry is killed, and started again some seconds later."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillAll:
    """All entries are killed at once, and started again."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseEntry:
    """An entry stands still for some seconds."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class HangUp:
    """An entry is told that its settings changed, some times in a row."""

    entry: int
    times: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTarget:
    """A target drains and leaves; another process comes in its place."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillTarget:
    """A target is killed, and started again under its name."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseTarget:
    """A target stands still for some seconds."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTarget:
    """Options of a target's stand-in are changed for some seconds."""

    target: int
    seconds: float
    option: str
    value: float | bool
    usual: float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeStore:
    """Options of the store's stand-in are changed for some seconds."""

    seconds: float
    option: str
    value: float | bool
    usual: float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lapse:
    """All registrations run out; the targets write them anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class BreakLink:
    """A link behaves otherwise for some seconds.

    Attributes:
        kind: `store` and `peers` for the links of an entry, `target`.
        index: Number of the entry or target.
        mode: What it does.
        seconds: For how long.
    """

    kind: str
    index: int
    mode: Mode
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NewTable:
    """The operator writes the next version of the routes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Callers send several times as much for some seconds."""

    seconds: float


Fault = (
    StopEntry
    | KillEntry
    | KillAll
    | PauseEntry
    | HangUp
    | DrainTarget
    | KillTarget
    | PauseTarget
    | ChangeTarget
    | ChangeStore
    | Lapse
    | BreakLink
    | NewTable
    | Burst
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A whole soak.

    Attributes:
        seed: What it was drawn from.
        entries: Number of entries.
        targets: Number of targets; every second one takes bookings.
        seconds: Length of the time with faults.
        faults: Time and fault, in order.
    """

    seed: int
    entries: int
    targets: int
    seconds: float
    faults: tuple[tuple[float, Fault], ...]


FAULTS_PER_SECOND = 1.0
MOST_SECONDS = 4.0
# Share of the seeds whose faults are planned work alone: some promises hold
# only while nothing else goes wrong.
PLANNED_SHARE = 0.35
_PLANNED = (StopEntry, HangUp, DrainTarget, NewTable, Burst)


def create_plan(seed: int, seconds: float = 15.0) -> Plan:
    """Draw a plan; the same seed always gives the same one."""
    rng = random.Random(seed)
    entries = rng.randint(3, 5)
    targets = 2 * rng.randint(2, 4)
    count = round(seconds * FAULTS_PER_SECOND * rng.uniform(0.3, 1.3))
    times = sorted(rng.uniform(0.0, seconds) for _ in range(count))
    planned = rng.random() < PLANNED_SHARE
    drawn = tuple(
        (at, _draw(rng, entries, targets, planned=planned)) for at in times
    )
    return Plan(seed, entries, targets, seconds, drawn)


def _draw(
    rng: random.Random, entries: int, targets: int, *, planned: bool
) -> Fault:
    entry = rng.randrange(entries)
    target = rng.randrange(targets)
    seconds = rng.uniform(0.2, MOST_SECONDS)
    mode = rng.choice([m for m in Mode if m is not Mode.PASS])
    faults: list[tuple[int, Fault]] = [
        (4, StopEntry(entry, seconds)),
        (3, KillEntry(entry, seconds)),
        (1, KillAll(seconds / 2)),
        (3, PauseEntry(entry, seconds)),
        (2, HangUp(entry, rng.randint(1, 4))),
        (4, DrainTarget(target, seconds)),
        (3, KillTarget(target, seconds)),
        (2, PauseTarget(target, seconds)),
        (2, ChangeTarget(target, seconds, "slow_factor", 6.0, 1.0)),
        (2, ChangeTarget(target, seconds, "load_lie", 0.2, 1.0)),
        (2, ChangeTarget(target, seconds, "reject_all", True, False)),
        (2, ChangeStore(seconds, "outage", True, False)),
        (2, ChangeStore(seconds, "silent", True, False)),
        (1, ChangeStore(seconds, "latency_ms", 300.0, 1.0)),
        (1, ChangeStore(seconds, "stale_reads", True, False)),
        (1, Lapse()),
        (4, BreakLink("store", entry, mode, seconds)),
        (3, BreakLink("peers", entry, mode, seconds)),
        (3, BreakLink("target", target, mode, seconds)),
        (4, NewTable()),
        (2, Burst(seconds)),
    ]
    if planned:
        faults = [
            (w, fault) for w, fault in faults if isinstance(fault, _PLANNED)
        ]
    weights = [weight for weight, _ in faults]
    return rng.choices([fault for _, fault in faults], weights)[0]
