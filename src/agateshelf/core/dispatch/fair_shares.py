"""Orders waiting requests so that workspaces share a pool of targets fairly.

Answers the load of a workspace that suddenly sends many times its usual
requests: by urgency alone it would get service in proportion to what it sends,
at the cost of all others. Within a rank, the request of the workspace that
recently got the least service goes first instead, and among those of one
workspace the most urgent one (start-time fair queueing). A workspace alone uses
everything. While no request names a workspace, nothing is counted and requests
are ordered by urgency alone.
"""

from collections import abc
import heapq
import itertools
import operator

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import service_accounts

_FAIR_RANK = operator.attrgetter("fair_rank")

_Entry = tuple[
    service_accounts.Rank, float, float, models.RequestKey, models.Request
]


def is_active(dispatcher: models.Dispatcher) -> bool:
    """Return whether requests of several workspaces came recently."""
    return len(dispatcher.service.amounts) > 1


def enter(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> None:
    """Count the workspace of a new request among those to be served."""
    service = dispatcher.service
    if not request.workspace and not service.amounts:
        return
    # About what the targets do in this time, since under contention nearly all
    # of their slots are taken.
    head_start = const.HEAD_START_SECONDS * (1 + len(dispatcher.granted))
    service_accounts.enter(
        service,
        request.workspace,
        request.priorities,
        head_start,
        now,
    )


def charge(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> None:
    """Count a request's work as service of its workspace.

    Work, not run time, so that a workspace isn't charged for the slow targets
    that it was granted.
    """
    service = dispatcher.service
    if not service.amounts:
        return
    service_accounts.charge(
        service, request.workspace, request.priorities, request.work, now
    )


def refund(dispatcher: models.Dispatcher, request: models.Request) -> None:
    """Take back the service counted for a request that did not run."""
    service_accounts.refund(
        dispatcher.service, request.workspace, request.work, request.granted_at
    )


def in_turn(
    dispatcher: models.Dispatcher, now: float, *, late: bool
) -> abc.Iterator[models.Request]:
    """Yield the waiting requests, the next to be served first.

    Service granted meanwhile counts. For decisions on a few requests: it costs
    less than sorting them all if only the first ones are used.

    Args:
        dispatcher: The dispatcher of the service.
        now: Current time in seconds.
        late: Whether to yield those that can't be in time, too.
    """
    waiting = dispatcher.waiting.values()
    get = dispatcher.service.amounts.get
    in_time: list[_Entry] = [
        (r.priorities, get(r.workspace, 0.0), r.latest_start, r.key, r)
        for r in waiting
        if now <= r.latest_start
    ]
    yield from _pop_in_turn(dispatcher, in_time)
    if not late:
        return
    too_late: list[_Entry] = [
        (r.priorities, get(r.workspace, 0.0), r.late_rank[2], r.key, r)
        for r in waiting
        if now > r.latest_start
    ]
    yield from _pop_in_turn(dispatcher, too_late)


def _pop_in_turn(
    dispatcher: models.Dispatcher, entries: list[_Entry]
) -> abc.Iterator[models.Request]:
    heapq.heapify(entries)
    amounts = dispatcher.service.amounts
    while entries:
        first = entries[0]
        request = first[-1]
        amount = amounts.get(request.workspace, 0.0)
        if amount > first[1]:
            # The workspace was granted a target since the entry was made.
            heapq.heapreplace(entries, (first[0], amount, *first[2:]))
            continue
        heapq.heappop(entries)
        yield request


def ahead_of(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> abc.Iterator[models.Request]:
    """Yield the requests of other workspaces to be served before a request."""
    for other in in_turn(dispatcher, now, late=True):
        if other is request:
            return
        if other.workspace != request.workspace:
            yield other


def interleave(
    dispatcher: models.Dispatcher,
    in_time: list[models.Request],
    late: list[models.Request],
    now: float,
) -> list[models.Request]:
    """Order requests as if each were granted a target in its turn.

    Each request counts as service for those of its workspace behind it, so that
    many that came at one instant don't all go first.

    Args:
        dispatcher: The dispatcher of the service.
        in_time: Requests that can be in time, by rank.
        late: Those that can't, by rank.
        now: Current time in seconds.
    """
    amounts = dict(dispatcher.service.amounts)
    weight = service_accounts.weight_at(dispatcher.service, now)
    for request in itertools.chain(in_time, late):
        amount = amounts.get(request.workspace, 0.0)
        amounts[request.workspace] = amount + request.work * weight
        request.fair_rank = (request.priorities, amount)
    # Sorting is stable: among equal ranks the most urgent stays first.
    in_time.sort(key=_FAIR_RANK)
    late.sort(key=_FAIR_RANK)
    return in_time + late


def seconds_until_room(
    in_time: int,
    late: abc.Sequence[models.Request],
    usable: abc.Sequence[models.TargetState],
) -> float:
    """Return the seconds in which targets can start what may still be in time.

    Late requests wait for what these leave, so they don't keep a request out
    that comes back after that.

    Args:
        in_time: Number of waiting requests that can be in time.
        late: Those that can't.
        usable: The targets that may get requests.
    """
    work = sum(request.work for request in late) / len(late)
    slots = max(1, sum(target.slots for target in usable))
    seconds = in_time * work / (slots * const.INITIAL_SPEED)
    seconds = max(seconds, const.MIN_ROOM_RETRY_AFTER_SECONDS)
    return min(seconds, const.MAX_ROOM_RETRY_AFTER_SECONDS)
