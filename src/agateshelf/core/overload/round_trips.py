"""Measures what a round trip between failure domains takes, from pings.

Answers deployments whose failure domains are 1 ms or 7 ms apart: an owner
weighs a free target of another failure domain against a busy one nearby. A ping
also waits at entries that are slow, so of the last round trips to a failure
domain the shortest counts, and what a ping within the entry's own failure
domain takes is deducted.
"""

import collections
import statistics

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const as dispatch_const
from agateshelf.core.membership import view
from agateshelf.core.overload import const


def on_ping(state: core_state.State, now: float, number: int) -> None:
    """Note when a ping is sent; forget those that were not answered."""
    sent_at = state.overload.round_trips.sent_at
    for oldest in list(sent_at):
        if now - sent_at[oldest] <= const.MAX_PING_SECONDS:
            break
        del sent_at[oldest]
    sent_at[number] = now


def on_ack(
    state: core_state.State, now: float, number: int, entry: str
) -> None:
    """Measure the round trip of a ping that an entry answered."""
    trips = state.overload.round_trips
    sent_at = trips.sent_at.pop(number, None)
    domain = view.failure_domain_of(state, entry)
    if sent_at is None or not domain:
        return
    measured = trips.measured.get(domain)
    if measured is None:
        measured = collections.deque(maxlen=const.MAX_ROUND_TRIPS)
        trips.measured[domain] = measured
    measured.append((now, now - sent_at))
    while len(measured) > const.MIN_ROUND_TRIPS:
        if now - measured[0][0] <= const.ROUND_TRIP_VALID_SECONDS:
            break
        measured.popleft()
    _update(state)


def _update(state: core_state.State) -> None:
    trips = state.overload.round_trips
    own = state.identity.failure_domain
    shortest = {
        domain: min(seconds for _, seconds in measured)
        for domain, measured in trips.measured.items()
        if len(measured) >= const.MIN_ROUND_TRIPS
    }
    nearby = shortest.pop(own, 0.0)
    crossing = {
        domain: min(max(seconds - nearby, 0.0), const.MAX_CROSSING_SECONDS)
        for domain, seconds in shortest.items()
    }
    if crossing.keys() == trips.crossing.keys() and all(
        abs(seconds - trips.crossing[domain]) < const.CROSSING_STEP_SECONDS
        for domain, seconds in crossing.items()
    ):
        return
    trips.crossing = crossing
    trips.ways.clear()


def seconds_between(state: core_state.State, domain: str) -> float:
    """Return what a round trip to another failure domain costs, in seconds.

    It is the average of those measured for a failure domain without any, and a
    constant while nothing is measured.
    """
    if domain == state.identity.failure_domain:
        return 0.0
    crossing = state.overload.round_trips.crossing
    known = crossing.get(domain)
    if known is not None:
        return known
    if not crossing:
        return dispatch_const.CROSS_DOMAIN_SECONDS
    return statistics.fmean(crossing.values())


def ways_from(state: core_state.State, domain: str) -> dict[str, float]:
    """Return the cost of a round trip from a failure domain to all others.

    An entry measures only those from its own; between two others, the average
    of both is assumed. Empty while nothing is measured.
    """
    trips = state.overload.round_trips
    if not trips.crossing:
        return {}
    found = trips.ways.get(domain)
    if found is None:
        found = _compute_ways(state, domain)
        trips.ways[domain] = found
    return found


def _compute_ways(state: core_state.State, domain: str) -> dict[str, float]:
    own = state.identity.failure_domain
    to_own = seconds_between(state, domain)
    ways = {}
    for other in {*state.membership.failure_domains.values(), own}:
        if other == domain:
            continue
        seconds = seconds_between(state, other)
        if own not in (domain, other):
            seconds = (seconds + to_own) / 2
        elif other == own:
            seconds = to_own
        ways[other] = seconds
    return ways
