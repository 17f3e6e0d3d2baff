"""Checks the key of a request on arrival, and once more at each send.

A key may be withdrawn, or this entry may lose its proof of the newest routes,
while a request waits for a target.
"""

import dataclasses

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.feed import proof
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.regions import lookup as regions
from agateshelf.core.regions import refusals as region_refusals
from agateshelf.core.routes import matching
from agateshelf.core.routes import models as route_models
from agateshelf.core.workspaces import lookup
from agateshelf.core.workspaces import models
from agateshelf.core.workspaces import refusals

Result = models.Identity | outcome_models.Refusal


def identify(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
) -> Result:
    """Return on whose behalf a request is served, or why it isn't."""
    if event.relay_target and event.relay_workspace is not None:
        return _identify_relayed(state, now, event, route)
    if event.key_malformed and _needs_key(state, route):
        if not proof.permits(state, now):
            return refusals.no_proof(state.rng)
        return refusals.INVALID_KEY
    return _identify(state, now, route, event.key_digest)


def _needs_key(state: core_state.State, route: route_models.Route) -> bool:
    table = state.routes.table
    has_workspaces = table is not None and table.workspaces is not None
    return has_workspaces and not route.public


def _identify(
    state: core_state.State,
    now: float,
    route: route_models.Route,
    digest: str,
) -> Result:
    table = state.routes.table
    if table is None or table.workspaces is None:
        return models.Identity(None, regions=route.regions)
    is_proven = proof.permits(state, now)
    if not is_proven and not route.public:
        return refusals.no_proof(state.rng)
    workspace = lookup.find(state, digest) if digest else None
    if workspace is None and not route.public:
        return refusals.UNKNOWN_KEY if digest else refusals.MISSING_KEY
    identity = _identity_of(state, route, workspace)
    if is_proven or isinstance(identity, outcome_models.Refusal):
        return identity
    # The key may have been withdrawn. The regions bind all the same, in case it
    # has not.
    return models.Identity("", regions=identity.regions)


def _identity_of(
    state: core_state.State,
    route: route_models.Route,
    workspace: route_models.Workspace | None,
) -> Result:
    if workspace is None:
        return models.Identity("", regions=route.regions)
    allowed = regions.intersect(route.regions, workspace.regions)
    if allowed is None:
        return region_refusals.no_allowed_region(state.rng)
    return models.Identity(workspace.name, workspace.priority, allowed)


def _identify_relayed(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
) -> Result:
    """Identify a request by what the entry says that relays it.

    That entry has checked the key. One that knows of no workspaces says nothing
    and hands the key on, which is then checked as that of a caller.
    """
    name = event.relay_workspace
    table = state.routes.table
    if table is None or table.workspaces is None:
        return models.Identity(name, regions=route.regions)
    if not route.public and (not name or not proof.permits(state, now)):
        return refusals.no_proof(state.rng)
    workspace = lookup.find_by_name(state, name) if name else None
    if workspace is None:
        # The other entry may know a newer table.
        return models.Identity(name or "", regions=route.regions)
    return _identity_of(state, route, workspace)


def apply(
    state: core_state.State,
    call: forwarding_models.Call,
    identity: models.Identity,
) -> None:
    """Note in a call on whose behalf it is served."""
    table = state.routes.table
    call.workspace = identity.workspace
    call.workspace_priority = identity.priority
    call.regions = identity.regions
    call.routes_stamp = matching.stamp(table)


def check_send(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> outcome_models.Refusal | None:
    """Return why a call must not be sent to a target now, or None.

    What the routes in force say of its key, workspace and regions replaces what
    they said before.
    """
    table = state.routes.table
    if table is None:
        return None
    is_checked = matching.stamp(table) == call.routes_stamp
    if is_checked and call.workspace is None:
        return None
    if call.workspace is not None and table.workspaces is None:
        return None
    if is_checked and proof.permits(state, now):
        return None
    route = _current_route(table, call.route)
    identity = _identify(state, now, route, call.key_digest)
    if isinstance(identity, outcome_models.Refusal):
        return _true_refusal(call, identity)
    apply(state, call, identity)
    return None


def _current_route(
    table: route_models.RouteTable, route: route_models.Route
) -> route_models.Route:
    """Return a route as the table has it, or as it was if it is gone."""
    same = (one for one in table.routes if one.name == route.name)
    return next(same, route)


def _true_refusal(
    call: forwarding_models.Call, refusal: outcome_models.Refusal
) -> outcome_models.Refusal:
    """Return a refusal that doesn't deny earlier attempts of the call."""
    outcome = verdicts.outcome_of(call.verdict, in_flight=bool(call.attempts))
    if outcome is refusal.outcome:
        return refusal
    return dataclasses.replace(
        refusal, status=outcome_const.STATUS_BAD_GATEWAY, outcome=outcome
    )


def is_withdrawn(state: core_state.State, call: forwarding_models.Call) -> bool:
    """Return whether the key of a call is not in the routes in force."""
    if not call.key_digest or not call.workspace:
        return False
    if not _needs_key(state, call.route):
        return False
    return lookup.find(state, call.key_digest) is None
