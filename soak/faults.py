"""Fault plans of the soak test.

The same seed and duration always give the same plan, so that a failed run can
be repeated. The soak test prints a plan by the `repr` of its faults.
"""

import dataclasses
import enum
import pathlib
import random


class Mode(enum.Enum):
    """What a link does with its traffic.

    Attributes:
        PASS: Forwards it.
        DELAY: Forwards it after a delay.
        SILENT: Holds it in both directions until the mode changes.
        CUT_THERE: Holds the direction from the client to the server.
        CUT_BACK: Holds the direction from the server to the client.
        RESET: Resets all connections, new ones as well.
        REFUSED: Resets all connections and refuses new ones.
        DARK: Holds all traffic and answers no new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"
    RESET = "reset"
    REFUSED = "refused"
    DARK = "dark"


class CrashEnding(enum.Enum):
    """What is seen of a target that a request crashes.

    Attributes:
        REFUSED: Connections are refused for some seconds.
        DARK: Nothing is answered; the registration expires, and the target is
            back later under its name.
        REBORN: It starts again at once under its name.
        TAKEN_OVER: Its registration is deleted, and another target starts at
            its address.
    """

    REFUSED = "refused"
    DARK = "dark"
    REBORN = "reborn"
    TAKEN_OVER = "taken over"


class Oddity(enum.Enum):
    """What is odd about an entry of another writer among the targets'."""

    NESTED = "nested too deeply"
    NESTED_UNKNOWN = "nested too deeply in a field that nobody reads"
    LARGE_NUMBER = "a number too large"
    PORT_OUT_OF_RANGE = "a port out of range"
    NO_TEXT = "bytes that are no text"


@dataclasses.dataclass(frozen=True, slots=True)
class StopEntry:
    """Stops an entry by SIGTERM, and restarts it some seconds later."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopUnderLateRequests:
    """Stops an entry, while callers send their first requests late.

    Attributes:
        entry: Number of the entry.
        seconds: Time after which it starts again.
        sent_at: When each caller sends a request on a connection that it opened
            before, in seconds from the signal.
    """

    entry: int
    seconds: float
    sent_at: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopInSeries:
    """Stops an entry under payouts, and starts it again.

    Attributes:
        entry: Number of the entry.
        payouts: Number of connections with payouts.
        again_at: When SIGTERM comes again, in seconds from the first one.
        busy_seconds: How long its loop is busy when SIGTERM comes; 0 if it is
            not.
    """

    entry: int
    payouts: int
    again_at: float
    busy_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTimeout:
    """Shortens a route's timeout until shortly after a stop in series begins.

    Attributes:
        entry: Number of the entry, which stops when it is short.
    """

    entry: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceEntries:
    """Replaces entries one after the other, waiting until each is ready.

    Attributes:
        rounds: Whether each round starts `Plan.earlier_source`; otherwise it
            starts the build under test.
        entries: Numbers of the entries that are replaced; None for all.
    """

    rounds: tuple[bool, ...]
    entries: tuple[int, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KillEntry:
    """Kills an entry, and restarts it some seconds later."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillAll:
    """Kills all entries at once, and restarts them some seconds later."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseEntry:
    """Suspends an entry for some seconds."""

    entry: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class HangUp:
    """Sends SIGHUP, which reloads the settings, to an entry several times."""

    entry: int
    times: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTarget:
    """Sends SIGTERM to a target, which drains, deregisters and exits.

    Some seconds after its exit, a target with a new name replaces it.
    """

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillTarget:
    """Kills a target, and restarts it under the same name."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseTarget:
    """Suspends a target for some seconds."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTarget:
    """Sets an option of a target's stand-in for some seconds.

    Attributes:
        target: Number of the target.
        seconds: How long the option is set.
        option: Name of the option.
        value: Its value during the fault.
        usual: Its value after the fault.
    """

    target: int
    seconds: float
    option: str
    value: float | bool
    usual: float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeStore:
    """Sets an option of the store's stand-in for some seconds.

    Attributes:
        seconds: How long the option is set.
        option: Name of the option.
        value: Its value during the fault.
        usual: Its value after the fault.
    """

    seconds: float
    option: str
    value: float | bool
    usual: float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreStore:
    """Brings the store back from a copy that is some seconds old."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lapse:
    """Deletes the registrations of all targets, as if they had expired.

    The targets register again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class BreakLink:
    """Puts a link into another mode for some seconds.

    Attributes:
        kind: `store` or `peers` for the links of an entry, or `target`.
        index: Number of the entry or target.
        mode: Mode of the link during the fault.
        seconds: How long the link stays in it.
    """

    kind: str
    index: int
    mode: Mode
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NewTable:
    """Writes the next version of the route table, as an operator does."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Writes a route table without one of the keys of a workspace.

    Attributes:
        workspace: Number of the workspace.
    """

    workspace: int


@dataclasses.dataclass(frozen=True, slots=True)
class LowerQuota:
    """Writes a route table with a lower quota of the limited workspace.

    Attributes:
        rate: Its requests a second from then on, and its burst.
    """

    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Raises the `rate_factor` of the cluster for some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingRequest:
    """Repeats a request that crashes each target that runs it.

    It is sent through random entries, whatever they answer.

    Attributes:
        number: Number that tells such requests of a plan apart.
        seconds: How long it is repeated.
        ending: How its targets end.
        callers: Number of callers, each with an address of its own.
    """

    number: int
    seconds: float
    ending: CrashEnding
    callers: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ShedService:
    """Makes all targets of a service shed every request for some seconds.

    Attributes:
        parity: Remainder of the numbers of the service's targets, divided by 2.
        seconds: How long they shed.
    """

    parity: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NameLimits:
    """Makes targets of a service name a limit for some seconds.

    Attributes:
        parity: Remainder of the numbers of the service's targets, divided by 2.
        count: Number of its targets that do.
        rate: Requests a second that each of them names.
        seconds: How long they do.
    """

    parity: int
    count: int
    rate: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SayLeaving:
    """Makes targets say that they are leaving, while they stay registered.

    Attributes:
        parity: Remainder of the numbers of the service's targets, divided by 2.
        count: Number of its targets that do.
        seconds: How long they do.
    """

    parity: int
    count: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskPause:
    """Makes targets turn all requests away, and ask for a pause each time.

    Attributes:
        parity: Remainder of the numbers of the service's targets, divided by 2.
        count: Number of its targets that do.
        pause: Seconds that they ask for.
        seconds: How long they do.
    """

    parity: int
    count: int
    pause: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TurnCold:
    """Makes targets cold for some seconds, without a restart.

    Attributes:
        parity: Remainder of the numbers of the service's targets, divided by 2.
        count: Number of its targets that turn cold.
        seconds: How long they are.
    """

    parity: int
    count: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutEntries:
    """Cuts entries off from all targets; callers, store and peers stay.

    Attributes:
        entries: Numbers of the entries.
        mode: What becomes of their connections: `SILENT` or `RESET`.
        seconds: How long they are cut off.
    """

    entries: tuple[int, ...]
    mode: Mode
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuateDomain:
    """Evacuates a failure domain for some seconds.

    Attributes:
        domain: Number of the failure domain.
        seconds: How long it stays evacuated.
    """

    domain: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveTogether:
    """Removes the registrations of targets at once, as they leave unannounced.

    They serve on for some seconds, exit, and are replaced by targets with new
    names.

    Attributes:
        targets: Numbers of the targets.
        reset_entry: Number of the entry whose connections to the store are
            reset just before; None for none.
        seconds: Time from their exit until they are replaced.
    """

    targets: tuple[int, ...]
    reset_entry: int | None
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOddEntry:
    """Writes an entry among those of the targets that names none, for a while.

    Attributes:
        oddity: What is odd about it.
        seconds: How long it stays.
    """

    oddity: Oddity
    seconds: float


Fault = (
    StopEntry
    | ReplaceEntries
    | KillEntry
    | KillAll
    | PauseEntry
    | HangUp
    | DrainTarget
    | KillTarget
    | PauseTarget
    | ChangeTarget
    | ChangeStore
    | RestoreStore
    | Lapse
    | BreakLink
    | NewTable
    | WithdrawKey
    | LowerQuota
    | Burst
    | CrashingRequest
    | ShedService
    | NameLimits
    | SayLeaving
    | AskPause
    | TurnCold
    | CutEntries
    | EvacuateDomain
    | LeaveTogether
    | WriteOddEntry
    | StopUnderLateRequests
    | StopInSeries
    | ChangeTimeout
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of a system, and the faults injected into it.

    Attributes:
        seed: Seed that the plan was drawn from.
        entries: Number of entries.
        targets: Number of targets; every second one serves bookings.
        seconds: Duration of the fault phase.
        faults: Start of each fault, in seconds from the start of the fault
            phase, and the fault; sorted by time.
        workspaces: Number of workspaces; 0 if requests need no key.
        quota: Requests a second of one more workspace that has a quota, and its
            burst; 0 if there is none. It takes workspaces.
        pipelining_callers: Number of further callers, which only send several
            lookups at once.
        earlier_source: Source tree of an earlier build, with which all entries
            start; None to start with the build under test.
        callers: Number of the usual callers.
        recovery_seconds: Time without faults at the end, in which the system
            recovers.
    """

    seed: int
    entries: int
    targets: int
    seconds: float
    faults: tuple[tuple[float, Fault], ...]
    workspaces: int = 0
    pipelining_callers: int = 0
    earlier_source: pathlib.Path | None = None
    quota: float = 0.0
    callers: int = 8
    recovery_seconds: float = 8.0


# Multiplied by a factor between 0.3 and 1.3 that each plan draws.
FAULTS_PER_SECOND = 1.0
MAX_FAULT_SECONDS = 4.0
# Share of plans that consist of planned operations alone: some invariants hold
# only while no other fault is active.
PLANNED_SHARE = 0.35
# Modes drawn for links; the others belong to the ends of targets.
_LINK_MODES = (
    Mode.DELAY,
    Mode.SILENT,
    Mode.CUT_THERE,
    Mode.CUT_BACK,
    Mode.RESET,
)
# Shares of plans with a crashing request, with a service that sheds, and with
# targets that name limits.
CRASHING_SHARE = 0.6
MAX_CRASHING_CALLERS = 97
SHED_SHARE = 0.4
LIMITS_SHARE = 0.5
# Shares of plans with targets that say they are leaving, and that ask for a
# pause.
LEAVING_SHARE = 0.4
PAUSE_SHARE = 0.4
# Burst of requests when targets turn cold: more than the second over which they
# are counted, and no longer, as the soak itself must keep up with it.
COLD_BURST_SECONDS = 1.5
# Share of plans in which targets turn cold.
COLD_SHARE = 0.8
# Share of plans in which some entries are cut off from all targets.
CUT_SHARE = 0.4
# Share of plans in which the store comes back from an older copy.
RESTORE_SHARE = 0.3
# Share of plans in which a failure domain is evacuated.
EVACUATION_SHARE = 0.4
# Share of plans with workspaces, one key of which is withdrawn.
KEYS_SHARE = 0.5
# Shares of plans with targets that leave together unannounced, and with an odd
# entry among those of the targets.
UNANNOUNCED_SHARE = 0.5
ODD_SHARE = 0.5
# Share of plans with a stop under late requests, how many these are, and the
# latest one, in seconds from the signal.
LATE_SHARE = 0.6
LATE_REQUESTS = (6, 16)
LAST_LATE_SECONDS = 2.6
MAX_WORKSPACES = 4
# Plans with stops in series: time between two of them, payouts around each, and
# share of the stops that come while the entry is busy. Targets work on a payout
# for so long, by their number: near the timeout of the route, and for longer.
STOP_INTERVAL_SECONDS = 1.1
PAYOUTS = (20, 30)
BUSY_SHARE = 0.4
# The last stops have no change of timeouts: their entries may have no live one
# to learn of it from.
LAST_STOPS = 2
SERIES_TARGETS = 8
SERIES_SLOTS = 12
WORK_MS = (500.0, 1850.0, 2600.0, 2600.0)
# Share of the plans with workspaces in which one more has a quota, and of these
# in which the quota is lowered.
QUOTA_SHARE = 0.8
LOWERED_SHARE = 0.7
_PLANNED_OPERATIONS = (StopEntry, HangUp, DrainTarget, NewTable, Burst)


def create_plan(seed: int, seconds: float = 15.0) -> Plan:
    """Draw a plan, which depends only on the arguments."""
    rng = random.Random(seed)
    entries = rng.randint(3, 5)
    targets = 2 * rng.randint(2, 4)
    count = round(seconds * FAULTS_PER_SECOND * rng.uniform(0.3, 1.3))
    times = sorted(rng.uniform(0.0, seconds) for _ in range(count))
    planned_only = rng.random() < PLANNED_SHARE
    faults = tuple(
        (at, _draw_fault(rng, entries, targets, planned_only=planned_only))
        for at in times
    )
    faults = (
        *faults,
        *_draw_load(seed, seconds),
        *_draw_limits(seed, targets, seconds),
        *_draw_notices(seed, targets, seconds),
        *_draw_restore(seed, seconds),
        *_draw_cut(seed, entries, seconds),
        *_draw_evacuation(seed, seconds),
        *_draw_cold(seed, targets, seconds),
        *_draw_unannounced(seed, entries, targets, seconds),
        *_draw_odd_entry(seed, seconds),
        *_draw_late_requests(seed, entries, seconds),
    )
    workspaces, withdrawals = _draw_keys(seed, seconds)
    quota, lowered = _draw_quota(seed, seconds) if workspaces else (0.0, [])
    timed = (*faults, *withdrawals, *lowered)
    ordered = tuple(sorted(timed, key=lambda one: one[0]))
    return Plan(
        seed, entries, targets, seconds, ordered, workspaces, quota=quota
    )


def _draw_quota(
    seed: int, seconds: float
) -> tuple[float, list[tuple[float, Fault]]]:
    """Draw a quota, and when it is lowered: early, as it binds 5 s later."""
    rng = random.Random(f"{seed}/quota")
    if rng.random() >= QUOTA_SHARE:
        return 0.0, []
    # The first quota must allow more in a window than the bound of the lower
    # one, which 5 s at 1 to 1.5 a second put at 27 to 30 requests.
    quota = rng.uniform(7.0, 10.0)
    if rng.random() >= LOWERED_SHARE:
        return quota, []
    lowered = LowerQuota(rng.uniform(1.0, 1.5))
    return quota, [(rng.uniform(0.0, seconds / 3), lowered)]


def _draw_keys(
    seed: int, seconds: float
) -> tuple[int, list[tuple[float, Fault]]]:
    """Draw the number of workspaces, and when a key of one is withdrawn.

    That is early, so that the bound passes before the end of the run.
    """
    rng = random.Random(f"{seed}/keys")
    if rng.random() >= KEYS_SHARE:
        return 0, []
    workspaces = rng.randint(1, MAX_WORKSPACES)
    withdrawal = WithdrawKey(rng.randrange(workspaces))
    return workspaces, [(rng.uniform(0.0, seconds / 2), withdrawal)]


def _draw_load(seed: int, seconds: float) -> list[tuple[float, Fault]]:
    """Draw the callers' and services' trouble of a plan.

    It has a generator of its own, so that the other faults of a seed stay the
    same.
    """
    rng = random.Random(f"{seed}/load")
    drawn: list[tuple[float, Fault]] = []
    if rng.random() < CRASHING_SHARE:
        at = rng.uniform(0.0, seconds / 5)
        ending = rng.choice(list(CrashEnding))
        callers = random.Random(f"{seed}/callers").choice(
            (1, MAX_CRASHING_CALLERS)
        )
        request = CrashingRequest(0, seconds - at, ending, callers)
        drawn.append((at, request))
    if rng.random() < SHED_SHARE:
        at = rng.uniform(0.0, seconds / 2)
        shed = ShedService(rng.randrange(2), rng.uniform(2.0, 4.0))
        drawn.append((at, shed))
    return drawn


def _draw_limits(
    seed: int, targets: int, seconds: float
) -> list[tuple[float, Fault]]:
    """Draw targets that name limits, with a generator of its own as well."""
    rng = random.Random(f"{seed}/limits")
    if rng.random() >= LIMITS_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 4)
    limits = NameLimits(
        parity=rng.randrange(2),
        count=rng.randint(1, targets // 2),
        rate=rng.choice((0.5, 1.0, 3.0, 8.0)),
        seconds=seconds - at,
    )
    return [(at, limits)]


def _draw_notices(
    seed: int, targets: int, seconds: float
) -> list[tuple[float, Fault]]:
    """Draw targets that leave or pause, with a generator of its own as well."""
    rng = random.Random(f"{seed}/notices")
    drawn: list[tuple[float, Fault]] = []
    if rng.random() < LEAVING_SHARE:
        at = rng.uniform(0.0, seconds / 3)
        count = rng.randint(1, max(1, targets // 2 - 1))
        drawn.append((at, SayLeaving(rng.randrange(2), count, seconds - at)))
    if rng.random() < PAUSE_SHARE:
        at = rng.uniform(0.0, seconds / 3)
        pause = rng.choice((0.7, 1.5, 3.0))
        count = rng.randint(1, targets // 2)
        length = rng.uniform(2.0, seconds / 2)
        drawn.append((at, AskPause(rng.randrange(2), count, pause, length)))
    return drawn


def _draw_cold(
    seed: int, targets: int, seconds: float
) -> list[tuple[float, Fault]]:
    """Draw targets that turn cold beside a burst, at times twice.

    With all targets of a service cold, hardly any request would be served, so
    one of several stays warm. Without the burst, targets that were taken for
    warm would get hardly more than cold ones may.
    """
    rng = random.Random(f"{seed}/cold")
    if rng.random() >= COLD_SHARE:
        return []
    parity = rng.randrange(2)
    begins = [rng.uniform(0.0, seconds / 3)]
    if rng.random() < 0.5:
        begins.append(rng.uniform(seconds / 2, seconds))
    drawn: list[tuple[float, Fault]] = []
    for at in begins:
        count = rng.randint(1, max(1, targets // 2 - 1))
        lasts = min(rng.uniform(3.0, seconds / 2), seconds - at)
        drawn.append((at, TurnCold(parity, count, lasts)))
        drawn.append((at, Burst(min(lasts, COLD_BURST_SECONDS))))
    return drawn


def _draw_restore(seed: int, seconds: float) -> list[tuple[float, Fault]]:
    rng = random.Random(f"{seed}/restore")
    if rng.random() >= RESTORE_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 2)
    return [(at, RestoreStore(rng.uniform(1.0, MAX_FAULT_SECONDS)))]


def _draw_unannounced(
    seed: int, entries: int, targets: int, seconds: float
) -> list[tuple[float, Fault]]:
    """Draw targets of both services that leave at once, with a generator.

    One of each service stays. An entry may be reset just before.
    """
    rng = random.Random(f"{seed}/unannounced")
    if rng.random() >= UNANNOUNCED_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 2)
    others = range(2, targets)
    chosen = rng.sample(others, rng.randint(1, len(others)))
    reset = rng.choice((None, rng.randrange(entries)))
    lasts = rng.uniform(0.2, MAX_FAULT_SECONDS)
    return [(at, LeaveTogether(tuple(sorted(chosen)), reset, lasts))]


def _draw_odd_entry(seed: int, seconds: float) -> list[tuple[float, Fault]]:
    rng = random.Random(f"{seed}/odd")
    if rng.random() >= ODD_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 4)
    oddity = rng.choice(list(Oddity))
    return [(at, WriteOddEntry(oddity, rng.uniform(1.0, seconds - at)))]


def _draw_late_requests(
    seed: int, entries: int, seconds: float
) -> list[tuple[float, Fault]]:
    rng = random.Random(f"{seed}/late")
    if rng.random() >= LATE_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 2)
    count = rng.randint(*LATE_REQUESTS)
    times = (rng.uniform(0.0, LAST_LATE_SECONDS) for _ in range(count))
    entry = rng.randrange(entries)
    sent_at = tuple(sorted(times))
    return [(at, StopUnderLateRequests(entry, rng.uniform(0.2, 2.0), sent_at))]


def _draw_evacuation(seed: int, seconds: float) -> list[tuple[float, Fault]]:
    """Draw an evacuation, with a generator of its own as well."""
    rng = random.Random(f"{seed}/evacuation")
    if rng.random() >= EVACUATION_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 4)
    lasts = rng.uniform(0.8 * (seconds - at), seconds - at)
    return [(at, EvacuateDomain(rng.randrange(2), lasts))]


def _draw_fault(
    rng: random.Random, entries: int, targets: int, *, planned_only: bool
) -> Fault:
    entry = rng.randrange(entries)
    target = rng.randrange(targets)
    seconds = rng.uniform(0.2, MAX_FAULT_SECONDS)
    mode = rng.choice(_LINK_MODES)
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
    if planned_only:
        faults = [
            (weight, fault)
            for weight, fault in faults
            if isinstance(fault, _PLANNED_OPERATIONS)
        ]
    weights = [weight for weight, _ in faults]
    return rng.choices([fault for _, fault in faults], weights)[0]


def _draw_cut(
    seed: int, entries: int, seconds: float
) -> list[tuple[float, Fault]]:
    """Draw entries that are cut off, with a generator of its own as well."""
    rng = random.Random(f"{seed}/cut")
    if rng.random() >= CUT_SHARE:
        return []
    at = rng.uniform(0.0, seconds / 4)
    chosen = rng.sample(range(entries), rng.randint(1, entries - 1))
    mode = rng.choice((Mode.SILENT, Mode.RESET))
    lasts = rng.uniform(seconds / 2, seconds - at)
    return [(at, CutEntries(tuple(sorted(chosen)), mode, lasts))]


def create_series(seed: int, entries: int) -> Plan:
    """Draw a plan in which all entries are stopped in turn, as in a release."""
    seconds = entries * STOP_INTERVAL_SECONDS
    rng = random.Random(f"{seed}/series")
    targets = max(SERIES_TARGETS, entries)
    timed: list[tuple[float, Fault]] = [
        (float(second), NewTable()) for second in range(1, int(seconds))
    ]
    for number, entry in enumerate(rng.sample(range(entries), entries)):
        at = number * rng.uniform(0.8, 1.2) * STOP_INTERVAL_SECONDS
        again_at, busy_seconds = rng.uniform(0.2, 3.0), 0.0
        if rng.random() < BUSY_SHARE:
            busy_seconds = rng.uniform(0.5, 0.7)
        payouts = rng.randint(*PAYOUTS)
        stop = StopInSeries(entry, payouts, again_at, busy_seconds)
        timed += [(at, stop), (rng.uniform(at, at + 4.0), HangUp(entry, 2))]
        if not busy_seconds and number < entries - LAST_STOPS:
            timed.append((at, ChangeTimeout(entry)))
    for target in range(1, targets, 2):
        work = WORK_MS[target // 2 % len(WORK_MS)]
        for option, value in (("long_ms", work), ("slots", SERIES_SLOTS)):
            change = ChangeTarget(target, seconds, option, value, value)
            timed.append((0.0, change))
    for _ in range(round(seconds / 2)):
        reset = BreakLink("target", 1, Mode.RESET, rng.uniform(0.0, 0.2))
        timed.append((rng.uniform(0.0, seconds), reset))
    ordered = tuple(sorted(timed, key=lambda one: one[0]))
    # A few callers beside the payouts, as a release has up to 16 entries.
    return Plan(
        seed,
        entries,
        targets,
        seconds,
        ordered,
        callers=2,
        recovery_seconds=1.0,
    )


def create_upgrade(
    seed: int, entries: int, earlier_source: pathlib.Path | None
) -> Plan:
    """Create a plan that replaces all entries by a build, and back again.

    Args:
        seed: Seed of the callers.
        entries: Number of entries.
        earlier_source: Source tree of the earlier build; None to replace the
            entries by the same build, for comparison.
    """
    replacement = ReplaceEntries((False, earlier_source is not None))
    return Plan(
        seed,
        entries,
        2 * entries,
        0.0,
        ((0.0, replacement),),
        earlier_source=earlier_source,
    )
