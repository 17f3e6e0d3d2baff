"""The order in which waiting calls go: by class, then in fair turns.

Within a class each caller of each service is a flow. The flow that has passed
least, for its weight, goes next (start-time fair queueing), so a caller that
fills the queue delays its own calls. Lower classes go only when no higher one
waits, but for one release in `GUARD_RELEASES`.
"""

import collections
from collections import abc

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def push(queue: models.Queue, ticket: models.Ticket, now: float) -> None:
    """Put a call at the end of its flow."""
    if queue.length == 0:
        queue.emptied = now
    flow = _flow_of(queue, ticket)
    _line_of(flow, ticket).append(ticket)
    _add_length(queue, ticket.service.name, 1)


def remove(queue: models.Queue, ticket: models.Ticket) -> None:
    """Take a waiting call out of the queue."""
    flow = _flow_of(queue, ticket)
    _line_of(flow, ticket).remove(ticket)
    _drop_if_empty(queue, ticket.service.priority, flow)
    _add_length(queue, ticket.service.name, -1)


MayGo = abc.Callable[[configuration_models.Priority, models.Flow], bool]


def pop(
    queue: models.Queue, may_go: MayGo, *, may_claim: bool
) -> models.Ticket | None:
    """Take out the call that goes next, or return None if none may.

    Args:
        queue: The queue.
        may_go: Whether a flow's calls may start now.
        may_claim: Whether a call that needs a claim may go.
    """
    found = _next_flows(queue, may_go, may_claim=may_claim)
    if not found:
        return None
    flow = found[0]
    ready = _next_flows(queue, _anyone, may_claim=may_claim)
    if len(ready) > 1:
        queue.releases += 1
        if queue.releases % const.GUARD_RELEASES == 0:
            flow = ready[-1]
    line = _next_line(flow, may_claim=may_claim)
    ticket = line.popleft()
    queue.passed = max(queue.passed, flow.passed)
    flow.passed += 1 / flow.weight
    _drop_if_empty(queue, ticket.service.priority, flow)
    _add_length(queue, ticket.service.name, -1)
    return ticket


def newest_of_longest(
    queue: models.Queue, ticket: models.Ticket
) -> models.Ticket:
    """Return the call to give up when a service's part of the queue is full.

    It is the newest of the flow that is longest for its weight, the arriving
    call counted in.
    """
    longest = _weighted_length(queue, ticket) + 1 / ticket.weight
    chosen = ticket
    for flow in queue.classes[ticket.service.priority].values():
        if flow.service != ticket.service.name:
            continue
        length = (len(flow.plain) + len(flow.claiming)) / flow.weight
        if length > longest:
            longest = length
            chosen = max(_last_of(flow), key=lambda last: last.arrived)
    return chosen


def heads(queue: models.Queue) -> list[models.Ticket]:
    """Return the oldest calls of every flow."""
    found: list[models.Ticket] = []
    for flows in queue.classes.values():
        for flow in flows.values():
            found.extend(
                line[0] for line in (flow.plain, flow.claiming) if line
            )
    return found


def _next_flows(
    queue: models.Queue, may_go: MayGo, *, may_claim: bool
) -> list[models.Flow]:
    """Return the next flow of each class that has any, highest class first."""
    found: list[models.Flow] = []
    for priority, flows in queue.classes.items():
        ready = [
            flow
            for flow in flows.values()
            if (flow.plain or (may_claim and flow.claiming))
            and may_go(priority, flow)
        ]
        if ready:
            found.append(min(ready, key=lambda flow: flow.passed))
    return found


def _anyone(priority: configuration_models.Priority, flow: models.Flow) -> bool:
    del priority, flow
    return True


def _next_line(
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
    flows = queue.classes[ticket.service.priority]
    key = (ticket.service.name, ticket.caller)
    flow = flows.get(key)
    if flow is None:
        flow = models.Flow(*key, ticket.weight, queue.passed)
        flows[key] = flow
    return flow


def _line_of(
    flow: models.Flow, ticket: models.Ticket
) -> collections.deque[models.Ticket]:
    return flow.claiming if ticket.claims else flow.plain


def _last_of(flow: models.Flow) -> list[models.Ticket]:
    return [line[-1] for line in (flow.plain, flow.claiming) if line]


def _weighted_length(queue: models.Queue, ticket: models.Ticket) -> float:
    flows = queue.classes[ticket.service.priority]
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
        del queue.classes[priority][flow.service, flow.caller]


def _add_length(queue: models.Queue, service: str, change: int) -> None:
    queue.length += change
    queue.lengths[service] = queue.lengths.get(service, 0) + change
