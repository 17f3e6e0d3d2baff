"""Schedules requests on targets: grants, queues or refuses each request.

Handles load beyond the capacity of the targets, and targets whose speed changes
within milliseconds. A request is sent only when a target has a free slot for
it, so that no request is stuck in the queue of a target that has just become
slow. It goes to the target that is expected to respond first, if that response
is in time, and waits otherwise. Requests that can still be in time go first,
by priority and then by the latest time at which they must start. Late requests
use the remaining slots. A request that can't be served before its caller gives
up is refused at once.
"""

from collections import abc
import dataclasses
import random

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import target_health


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision to send a request to a target."""

    turn: models.Request
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a request.

    Attributes:
        turn: The refused request.
        why: Reason for the refusal.
        retry_after: Seconds after which the caller should try again.
        waiting: Number of requests still waiting.
        usable: Number of targets that may currently get requests.
    """

    turn: models.Request
    why: models.Refusal
    retry_after: float
    waiting: int = 0
    usable: int = 0


Decision = Grant | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A target that could serve a request.

    Attributes:
        target: The target.
        seconds: Expected seconds until its response.
        cost: Expected seconds, raised by the delay of other requests and by the
            target's error rate.
    """

    target: models.TargetState
    seconds: float
    cost: float


@dataclasses.dataclass(slots=True)
class Room:
    """Free slots of the usable targets.

    Tracked across the decisions of one pass, since checking every target for
    each waiting request would be most expensive when a burst has filled the
    queue and no slots are free.

    Attributes:
        targets: Targets with a free slot.
        slots: Number of slots of all usable targets.
        free: Number of those slots that are free.
    """

    targets: list[models.TargetState]
    slots: int
    free: int


def _room_of(usable: abc.Sequence[models.TargetState]) -> Room:
    room = Room([], 0, 0)
    for target in usable:
        slots = target.registration.slots
        left = slots - target.held
        room.slots += slots
        if left > 0:
            room.free += left
            room.targets.append(target)
    return room


def _take(room: Room, target: models.TargetState) -> None:
    room.free -= 1
    if target.held >= target.registration.slots:
        room.targets.remove(target)


def decide(
    desk: models.Dispatcher, now: float, rng: random.Random
) -> list[Decision]:
    """Decide on all waiting requests and apply the decisions."""
    _forget_overdue(desk, now)
    if not desk.waiting:
        return []
    usable = usable_targets(desk, now)
    room = _room_of(usable)
    done: list[Decision] = []
    late: list[models.Request] = []
    for turn in _in_order(desk, now):
        refusal = _hopeless(desk, turn, now)
        if refusal is not None:
            done.append(_refuse(desk, turn, refusal, usable, rng))
            continue
        target = _pick(desk, room, turn, now, rng)
        if target is not None:
            done.append(grant(desk, turn, target, now))
            _take(room, target)
        elif is_late(turn, now):
            late.append(turn)
    done.extend(_shorten(desk, usable, late, rng))
    return done


def _hopeless(
    desk: models.Dispatcher, turn: models.Request, now: float
) -> models.Refusal | None:
    if not desk.targets:
        return models.Refusal.NO_TARGET
    if now + turn.work > turn.deadline:
        return models.Refusal.TOO_LATE
    return None


def _shorten(
    desk: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    late: list[models.Request],
    rng: random.Random,
) -> list[Decision]:
    """Refuse late requests beyond what the targets could still serve."""
    slots = sum(target.registration.slots for target in usable)
    most = int(const.MAX_LATE_PER_SLOT * slots)
    return [
        _refuse(desk, turn, models.Refusal.OVERLOAD, usable, rng)
        for turn in late[most:]
    ]


def _in_order(desk: models.Dispatcher, now: float) -> list[models.Request]:
    def rank(turn: models.Request) -> tuple[bool, int, float]:
        late = is_late(turn, now)
        end = turn.deadline if late else turn.soft_deadline
        return late, turn.priority, end - turn.work

    return sorted(desk.waiting.values(), key=rank)


def is_late(turn: models.Request, now: float) -> bool:
    """Return whether a request would be late even on an idle target."""
    return now + turn.work > turn.soft_deadline


def usable_targets(
    desk: models.Dispatcher, now: float
) -> list[models.TargetState]:
    """Return the targets that may get requests now.

    If too many are ejected, the ejections are ignored.
    """
    serving = [
        target
        for target in desk.targets.values()
        if not target.registration.draining
    ]
    trusted = [t for t in serving if not target_health.is_ejected(t, now)]
    if len(trusted) < const.PANIC_THRESHOLD * len(serving):
        return serving
    return trusted


def _pick(
    desk: models.Dispatcher,
    room: Room,
    turn: models.Request,
    now: float,
    rng: random.Random,
) -> models.TargetState | None:
    """Return the target for a request, or None if it should wait.

    The cost of targets without a recent report gets random jitter. Without it,
    entries that have no load data would all choose the same target.
    """
    late = is_late(turn, now)
    end = turn.deadline if late else turn.soft_deadline
    targets = room.targets
    if late and room.free <= const.SPARE_SLOT_SHARE * room.slots:
        targets = [t for t in targets if _is_left_over(t)]
    offers = [
        _offer(desk, target, turn, now)
        for target in targets
        if _is_free(target, turn)
    ]
    in_time = [
        o for o in offers if now + o.seconds * const.RUN_TIME_MARGIN <= end
    ]
    if not in_time:
        return None

    def cost(offer: Offer) -> float:
        if now - offer.target.reported_at <= const.STALE_SECONDS:
            return offer.cost
        return offer.cost * (1 + const.STALE_JITTER * rng.random())

    return min(in_time, key=cost).target


def _is_left_over(target: models.TargetState) -> bool:
    """Return whether a target is of use only to late requests."""
    crowded = estimates.would_contend(target, 1)
    return target.speed < const.SLOW_SPEED and not crowded


def _offer(
    desk: models.Dispatcher,
    target: models.TargetState,
    turn: models.Request,
    now: float,
) -> Offer:
    seconds = estimates.uncontended_seconds(target, turn.work, now)
    harm = 0.0
    if estimates.would_contend(target, 1):
        seconds *= desk.contention_factor
        harm = _harm(desk, target, now)
    if target.registration.failure_domain != turn.failure_domain:
        seconds += const.CROSS_DOMAIN_SECONDS
    sure = 1.0 - target_health.error_rate(target, now)
    return Offer(target, seconds, (seconds + harm) / sure)


def _harm(
    desk: models.Dispatcher, target: models.TargetState, now: float
) -> float:
    """Return the cost of contention to the requests running on a target.

    Only a request that the contention would make late adds to the cost.
    """
    pushed = 0
    for turn in target.requests.values():
        if turn.contended:
            continue
        end = turn.granted_at + turn.expected_seconds
        later = now + (end - now) * desk.contention_factor
        if end <= turn.soft_deadline < later:
            pushed += 1
    return pushed * const.DELAY_PENALTY_SECONDS


def _is_free(target: models.TargetState, turn: models.Request) -> bool:
    if target.registration.id in turn.tried:
        return False
    return target.held < target.registration.slots


def idle_target(
    desk: models.Dispatcher, turn: models.Request, now: float
) -> models.TargetState | None:
    """Return the fastest uncontended target that is in time, or None."""
    best: Offer | None = None
    for target in usable_targets(desk, now):
        if estimates.would_contend(target, 1) or not _is_free(target, turn):
            continue
        offer = _offer(desk, target, turn, now)
        if now + offer.seconds * const.RUN_TIME_MARGIN > turn.soft_deadline:
            continue
        if best is None or offer.cost < best.cost:
            best = offer
    return None if best is None else best.target


def grant(
    desk: models.Dispatcher,
    turn: models.Request,
    target: models.TargetState,
    now: float,
) -> Grant:
    """Grant a request a target."""
    turn.target = target.registration.id
    turn.granted_at = now
    turn.uncontended_seconds = estimates.uncontended_seconds(
        target, turn.work, now
    )
    turn.contended = estimates.would_contend(target, 1)
    turn.expected_seconds = turn.uncontended_seconds * (
        desk.contention_factor if turn.contended else 1.0
    )
    turn.work_updated_at = now
    target.requests[turn.key] = turn
    desk.waiting.pop(turn.key, None)
    desk.granted[turn.key] = turn
    return Grant(turn, turn.target)


def _refuse(
    desk: models.Dispatcher,
    turn: models.Request,
    why: models.Refusal,
    usable: abc.Sequence[models.TargetState],
    rng: random.Random,
) -> Refuse:
    del desk.waiting[turn.key]
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return Refuse(
        turn,
        why,
        const.RETRY_AFTER_SECONDS * spread,
        waiting=len(desk.waiting),
        usable=len(usable),
    )


def _forget_overdue(desk: models.Dispatcher, now: float) -> None:
    """Release requests whose end was never reported, past their deadline."""
    overdue = [
        turn
        for turn in desk.granted.values()
        if turn.deadline + const.GRANT_MARGIN_SECONDS < now
    ]
    for turn in overdue:
        release(desk, turn)


def release(desk: models.Dispatcher, turn: models.Request) -> None:
    """Remove a granted request from its target."""
    desk.granted.pop(turn.key, None)
    target = desk.targets.get(turn.target or "")
    if target is not None:
        target.requests.pop(turn.key, None)


def next_check(desk: models.Dispatcher, now: float) -> float | None:
    """Return the time of the next check, or None if nothing waits."""
    if not desk.waiting:
        return None
    times = [now + _LOOK_SECONDS]
    for turn in desk.waiting.values():
        end = turn.deadline if is_late(turn, now) else turn.soft_deadline
        times.append(end - turn.work)
    return max(min(times), now) + _LOOK_MARGIN_SECONDS


# Estimates change with time even if no message arrives.
_LOOK_SECONDS = 0.02
_LOOK_MARGIN_SECONDS = 0.001
