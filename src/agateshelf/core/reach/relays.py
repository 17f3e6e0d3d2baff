"""Chooses the entry that relays a request to a target.

Answers the load of several entries that are cut off at the same time, or of a
whole failure domain: the requests of all of them go to the rest. Of two entries
drawn at random, the one with the smaller load for its capacity is chosen, so
that no relay gets them all, and no entry needs to know what the others send.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models
from agateshelf.core.reach import const
from agateshelf.core.reach import messages
from agateshelf.core.reach import models


def choose(
    state: core_state.State,
    now: float,
    service: str,
    excluded: set[str],
    regions: tuple[str, ...] = (),
) -> str | None:
    """Return an entry that reaches a service's targets, or None.

    A request that may be served in some regions only goes to no entry outside
    them.

    One that failed lately is better than none: its target may have been why.
    """
    candidates = [
        entry
        for entry in view.live_entries(state)
        if entry not in excluded
        and _is_usable(state, service, entry)
        and _is_in(state, entry, regions)
    ]
    if not candidates:
        return None
    candidates = [
        entry for entry in candidates if not _is_avoided(state, now, entry)
    ] or candidates
    drawn = state.rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda entry: _load_of(state, entry))


def _is_usable(state: core_state.State, service: str, entry: str) -> bool:
    if entry == state.identity.entry or not address_of(state, entry):
        return False
    return service not in state.reach.cut_peers.get(entry, ())


def _is_in(
    state: core_state.State, entry: str, regions: tuple[str, ...]
) -> bool:
    if not regions:
        return True
    domain = view.failure_domain_of(state, entry)
    return domain is not None and state.regions.get(domain) in regions


def _is_avoided(state: core_state.State, now: float, entry: str) -> bool:
    relay = state.reach.relays.get(entry)
    return relay is not None and relay.avoid_until > now


def _load_of(state: core_state.State, entry: str) -> float:
    relay = state.reach.relays.get(entry)
    load = 0.0 if relay is None else float(relay.outstanding)
    own_domain = state.identity.failure_domain
    if view.failure_domain_of(state, entry) != own_domain:
        load += const.DOMAIN_BONUS
    return load / max(view.capacity_of(state, entry), 0.01)


def address_of(state: core_state.State, entry: str) -> str:
    """Return the address at which an entry relays requests, if it does."""
    member = state.membership.members.get(entry)
    return "" if member is None else member.relay


def on_started(state: core_state.State, entry: str) -> None:
    """Count a request that is given to a relay."""
    relay = state.reach.relays.setdefault(entry, models.Relay())
    relay.outstanding += 1


def on_ended(state: core_state.State, entry: str) -> None:
    """Count a request of a relay that has ended."""
    relay = state.reach.relays.get(entry)
    if relay is not None:
        relay.outstanding = max(0, relay.outstanding - 1)


def avoid(state: core_state.State, now: float, entry: str) -> None:
    """Pass over a relay for a while that did not send a request on."""
    relay = state.reach.relays.setdefault(entry, models.Relay())
    relay.avoid_until = now + const.AVOID_RELAY_SECONDS


def on_entries(state: core_state.State) -> None:
    """Forget what is known of entries that have gone."""
    live = set(view.live_entries(state))
    for entry in state.reach.cut_peers.keys() - live:
        del state.reach.cut_peers[entry]
    for entry in state.reach.relays.keys() - live:
        del state.reach.relays[entry]


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> list[effects.Effect] | None:
    """Record what another entry reaches; return None for other messages."""
    del now
    match message:
        case messages.ReachReport():
            state.reach.cut_peers[peer] = frozenset(message.cut_services)
            return []
        case _:
            return None
