"""Accepts requests as calls, or refuses them at once."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.confirmation import handling as confirmation
from agateshelf.core.dispatch import requester
from agateshelf.core.feed import currency
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import finishing
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.forwarding import sending
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.overload import admission
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import persistence
from agateshelf.core.poison import refusals as poison_refusals
from agateshelf.core.poison import sends
from agateshelf.core.quotas import models as quota_models
from agateshelf.core.quotas import requesting as quotas
from agateshelf.core.reach import serving
from agateshelf.core.regions import lookup as regions
from agateshelf.core.regions import refusals as region_refusals
from agateshelf.core.routes import matching
from agateshelf.core.routes import models as route_models
from agateshelf.core.routes import splitting
from agateshelf.core.stopping import admission as stop_admission
from agateshelf.core.workspaces import checking as workspace_checks
from agateshelf.core.workspaces import models as workspace_models

Effects = list[effects.Effect]


def on_request(
    state: core_state.State, now: float, event: events.RequestArrived
) -> Effects:
    """Accept a request as a call, refuse it, or hold it.

    One that would be refused for good is held until the routes are confirmed.
    """
    if state.routes.table is None or persistence.awaits_first_load(state):
        return _refuse_early(state, now, event, refusals.not_ready())
    route = matching.find_route(state.routes, event.host, event.path)
    if route is None:
        return _refuse_early(state, now, event, refusals.no_route())
    identity = workspace_checks.identify(state, now, event, route)
    if isinstance(identity, outcome_models.Refusal):
        return _refuse_early(state, now, event, identity)
    fingerprint = fingerprint_of(event)
    poisonous = poison_refusals.refusal_of(
        state, now, fingerprint, const.POISON_CRASHES
    )
    if poisonous is not None:
        inputs = ("fingerprint", fingerprints.short(fingerprint))
        return _refuse_early(state, now, event, poisonous, inputs)
    if event.relay_target:
        return _on_relayed_request(
            state, now, event, route, fingerprint, identity
        )
    overloaded = admission.refusal_of(state, now, event, route)
    if overloaded is not None:
        decided_by = admission.inputs_of(state, now, event)
        return _refuse_early(state, now, event, overloaded, *decided_by)
    call = _create_call(state, now, event, route, fingerprint)
    if stop_admission.is_too_late(state, now, call.deadline):
        return _refuse_early(state, now, event, refusals.stopping(call))
    workspace_checks.apply(state, call, identity)
    if not regions.has_target(state, call.service, call.regions):
        refusal = region_refusals.no_allowed_region(state.rng)
        return _refuse_early(state, now, event, refusal)
    state.forwarding.calls[call.number] = call
    timers.schedule(
        state.timers, call.deadline, events.DeadlinePassed(call.number)
    )
    asked = quotas.ask(state, now, call)
    if asked is not None:
        return asked
    return requester.request_dispatch(state, now, call)


def on_quota_settled(
    state: core_state.State, now: float, event: quota_models.QuotaSettled
) -> Effects:
    """Request a target for a call within its quota, or refuse the call.

    One that was counted again uses the target that it holds.
    """
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return []
    if event.granted:
        call.counted_at = now
        granted, call.held_grant = call.held_grant, None
        if granted is not None:
            return sending.on_dispatch_decided(state, now, granted)
        return requester.request_dispatch(state, now, call)
    refusal = refusals.quota_exceeded(event.retry_after)
    return finishing.give_up(state, now, call, refusal)


def _on_relayed_request(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
    fingerprint: bytes,
    identity: workspace_models.Identity,
) -> Effects:
    """Send a request of another entry's caller to the target it names."""
    target = serving.find_target(state, now, event, identity.regions)
    if isinstance(target, outcome_models.Refusal):
        return _refuse_early(state, now, event, target)
    call = _create_call(state, now, event, route, fingerprint)
    if stop_admission.refuses_relayed(state, call.deadline):
        return _refuse_early(state, now, event, refusals.stopping(call))
    workspace_checks.apply(state, call, identity)
    call.service = target.service
    call.relayed_for = event.caller
    refusal = sends.start(
        state,
        now,
        sending.send_of(call, target, state.forwarding.last_attempt + 1, now),
        outcome_models.Outcome.NOT_RUN,
    )
    if refusal is not None:
        return _refuse_early(state, now, event, refusal)
    state.forwarding.calls[call.number] = call
    state.reach.relayed += 1
    timers.schedule(
        state.timers, call.deadline, events.DeadlinePassed(call.number)
    )
    granted = events.DispatchDecided(call.number, 0, "", target.id)
    started = sending.start_attempt(state, now, call, target, granted)
    if event.relay_workspace is None:
        # The other entry knows of no workspaces, and has asked no counter.
        return [*quotas.report_send(state, now, call), *started]
    return started


def fingerprint_of(event: events.RequestArrived) -> bytes:
    """Return the digest by which repeats of a request are recognised.

    Callers of routes have an address only, which says nothing of the request:
    the same request crashes targets whoever sends it.
    """
    host = matching.normalize_host(event.host)
    path = fingerprints.normalize_path(event.path)
    parts = (host, event.method, path)
    return fingerprints.fingerprint_of(parts, event.body_digest)


def _refuse_early(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    refusal: outcome_models.Refusal,
    *inputs: tuple[str, str | float],
) -> Effects:
    reviewed, asked = confirmation.review(state, now, event, refusal)
    if reviewed is None:
        return asked
    table = state.routes.table
    version = 0 if table is None else table.version
    return [
        *asked,
        effects.Refuse(event.call, reviewed),
        finishing.refusal_event(
            event.request_id,
            reviewed,
            ("routes_version", version),
            ("routes_age", currency.logged_age(state, now)),
            *inputs,
        ),
        *(finishing.exit_if_idle(state) if event.held else ()),
    ]


def _create_call(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
    fingerprint: bytes,
) -> models.Call:
    timeout = event.timeout or route.timeout
    arrived = now - event.waited - event.held
    # The time that it may have waited is a bound; it may have come at its end.
    counted_wait = max(0.0, event.waited - const.MAX_UNCERTAIN_SECONDS)
    return models.Call(
        number=event.call,
        request_id=event.request_id,
        route=route,
        service=splitting.pick_service(state.routes, route, state.rng),
        fingerprint=fingerprint,
        caller=event.caller,
        arrived=arrived,
        soft_deadline=arrived + _soft_timeout(state.routes, route, timeout),
        deadline=now
        - event.held
        - counted_wait
        + _time_limit(event, route, timeout),
        key_digest=event.key_digest,
        uncounted_wait=event.waited - counted_wait,
    )


def _time_limit(
    event: events.RequestArrived, route: route_models.Route, timeout: float
) -> float:
    """Return the seconds after which this entry ends a request.

    The entry that has the call of a relayed one has applied its route already,
    in the version that was in force there when the request came.
    """
    return timeout if event.relay_target else min(timeout, route.timeout)


def _soft_timeout(
    routes: route_models.RoutesState,
    route: route_models.Route,
    timeout: float,
) -> float:
    """Return the seconds from arrival to the soft deadline of a call.

    A caller that retries announces a shorter timeout than at first. The time
    it has waited already, the difference to the longest timeout seen on the
    route, is taken off the route's target latency.
    """
    longest = max(routes.longest_timeouts.get(route.name, 0.0), timeout)
    routes.longest_timeouts[route.name] = longest
    return route.target_latency - (longest - timeout)
