"""Queue with priority classes and weighted fair queueing between callers.

Within a class, each caller of each service is a flow, and the flow with the
lowest virtual time is served next (start-time fair queueing), so that a caller
that fills the queue only delays its own calls. Lower classes are served only
while no higher one waits, except for one call in `LOWER_CLASS_INTERVAL`.
"""

import collections
from collections import abc

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def push(queue: models.Queue, ticket: models.Ticket, now: float) -> None:
    """Append a call to its flow."""
    if queue.length == 0:
        queue.last_empty = now
    flow = _flow_of(queue, ticket)
    _subqueue_of(flow, ticket).append(ticket)
    _add_length(queue, ticket.service.name, 1)


def remove(queue: models.Queue, ticket: models.Ticket) -> None:
    """Remove a call from the queue."""
    flow = _flow_of(queue, ticket)
    _subqueue_of(flow, ticket).remove(ticket)
    _drop_if_empty(queue, ticket.service.priority, flow)
    _add_length(queue, ticket.service.name, -1)


MayStart = abc.Callable[[configuration_models.Priority, models.Flow], bool]


def pop(
    queue: models.Queue, may_start: MayStart, *, may_claim: bool
) -> models.Ticket | None:
    """Remove and return the next call; None if no call may start.

    The call that a lower class gets every `LOWER_CLASS_INTERVAL` calls is not
    subject to `may_start`, so that yielding calls do not starve either.

    Args:
        queue: Queue of the pool.
        may_start: Returns whether calls of a flow may start now.
        may_claim: Whether calls that need a claim may start now.
    """
    next_flows = _next_flows(queue, may_start, may_claim=may_claim)
    if not next_flows:
        return None
    flow = next_flows[0]
    ready = _next_flows(queue, _any_flow, may_claim=may_claim)
    if len(ready) > 1:
        queue.releases += 1
        if queue.releases % const.LOWER_CLASS_INTERVAL == 0:
            flow = ready[-1]
    subqueue = _next_subqueue(flow, may_claim=may_claim)
    ticket = subqueue.popleft()
    queue.virtual_time = max(queue.virtual_time, flow.virtual_time)
    flow.virtual_time += 1 / flow.weight
    _drop_if_empty(queue, ticket.service.priority, flow)
    _add_length(queue, ticket.service.name, -1)
    return ticket


def newest_of_longest(
    queue: models.Queue, ticket: models.Ticket
) -> models.Ticket:
    """Return the call to reject when a service's part of the queue is full.

    It is the newest call of the flow with the most calls for its weight,
    counting the arriving call.
    """
    longest = _weighted_length(queue, ticket) + 1 / ticket.weight
    chosen = ticket
    for flow in queue.flows[ticket.service.priority].values():
        if flow.service != ticket.service.name:
            continue
        length = (len(flow.plain) + len(flow.claiming)) / flow.weight
        if length > longest:
            longest = length
            chosen = max(_last_of(flow), key=lambda last: last.arrived)
    return chosen


def heads(queue: models.Queue) -> list[models.Ticket]:
    """Return each flow's oldest call that needs a claim and oldest other."""
    oldest: list[models.Ticket] = []
    for flows in queue.flows.values():
        for flow in flows.values():
            oldest.extend(
                subqueue[0]
                for subqueue in (flow.plain, flow.claiming)
                if subqueue
            )
    return oldest


def _next_flows(
    queue: models.Queue, may_start: MayStart, *, may_claim: bool
) -> list[models.Flow]:
    """Return the next flow of each nonempty class, highest class first."""
    next_flows: list[models.Flow] = []
    for priority, flows in queue.flows.items():
        ready = [
            flow
            for flow in flows.values()
            if (flow.plain or (may_claim and flow.claiming))
            and may_start(priority, flow)
        ]
        if ready:
            next_flows.append(min(ready, key=lambda flow: flow.virtual_time))
    return next_flows


def _any_flow(
    priority: configuration_models.Priority, flow: models.Flow
) -> bool:
    del priority, flow
    return True


def _next_subqueue(
    flow: models.Flow, *, may_claim: bool
) -> collections.deque[models.Ticket]:
    if not flow.claiming or not may_claim:
        return flow.plain
    if not flow.plain:
        return flow.claiming
    if flow.claiming[0].arrived < flow.plain[0].arrived:
        return flow.claiming
    return flow.plain


def _flow_of(queue: models.Queue, ticket: models.Ticket) -> models.Flow:
    flows = queue.flows[ticket.service.priority]
    key = (ticket.service.name, ticket.caller)
    flow = flows.get(key)
    if flow is None:
        flow = models.Flow(*key, ticket.weight, queue.virtual_time)
        flows[key] = flow
    return flow


def _subqueue_of(
    flow: models.Flow, ticket: models.Ticket
) -> collections.deque[models.Ticket]:
    return flow.claiming if ticket.needs_claim else flow.plain


def _last_of(flow: models.Flow) -> list[models.Ticket]:
    return [
        subqueue[-1] for subqueue in (flow.plain, flow.claiming) if subqueue
    ]


def _weighted_length(queue: models.Queue, ticket: models.Ticket) -> float:
    flows = queue.flows[ticket.service.priority]
    flow = flows.get((ticket.service.name, ticket.caller))
    if flow is None:
        return 0.0
    return (len(flow.plain) + len(flow.claiming)) / flow.weight


def _drop_if_empty(
    queue: models.Queue,
    priority: configuration_models.Priority,
    flow: models.Flow,
) -> None:
    if not flow.plain and not flow.claiming:
        del queue.flows[priority][flow.service, flow.caller]


def _add_length(queue: models.Queue, service: str, change: int) -> None:
    queue.length += change
    queue.lengths[service] = queue.lengths.get(service, 0) + change
