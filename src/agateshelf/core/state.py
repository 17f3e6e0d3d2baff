"""The state of the reducer, with one field for each part of the core."""

import collections
import dataclasses
import importlib
import random
from typing import TYPE_CHECKING

from agateshelf.core import events
from agateshelf.core import timers
from agateshelf.core.confirmation import models as confirmation_models
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import models as feed_models
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.membership import models as membership_models
from agateshelf.core.overload import models as overload_models
from agateshelf.core.poison import models as poison_models
from agateshelf.core.quotas import models as quota_models
from agateshelf.core.reach import models as reach_models
from agateshelf.core.regions import models as region_models
from agateshelf.core.routes import models as route_models
from agateshelf.core.stopping import models as stop_models
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.workspaces import models as workspace_models

if TYPE_CHECKING:
    from agateshelf.core.calls import models as call_models
    from agateshelf.core.claims import models as claim_models
    from agateshelf.core.configuration import models as configuration_models
    from agateshelf.core.configuration import state_models
    from agateshelf.core.hedging import models as hedging_models
    from agateshelf.core.limits import models as limit_models
    from agateshelf.core.retries import models as retry_models
    from agateshelf.core.routing import models as routing_models


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this entry.

    Attributes:
        entry: Identifier, unique among the entries.
        failure_domain: Failure domain it runs in.
        capacity: Relative capacity; 1 is that of one core of usual speed.
    """

    entry: str
    failure_domain: str
    capacity: float = 1.0


@dataclasses.dataclass(slots=True)
class State:
    """State of one reducer; only the reducer changes it.

    The parts that only entries with services have are added by
    `service_state`; an entry that follows routes never loads them.

    Attributes:
        identity: Identity of this entry.
        rng: The only source of randomness.
        version: Version of the services' configuration in force; 0 if none.
        pending_events: Events that parts of the core post to each other; they
            are reduced before the reducer returns.
        last_store_request: Number of the latest request to the store.
        stopping: Whether a graceful stop has begun.
        stop: Its times.
        unix_offset: Unix time less the loop's time at the start, in seconds.
        regions: Region of each failure domain; one that is missing is in none.
        revocation_seconds: Time after which a withdrawn key must no longer be
            accepted, by entries that are cut off as well; None if a key is
            served for as long as it is in the routes in force.
        drain_seconds: Time from a report that a target drains, or its removal,
            until it must get no more requests.
        target_heartbeat_seconds: Interval at which targets renew their
            registrations.
        cfg: The services' configuration in force.
    """

    identity: Identity
    rng: random.Random
    timers: timers.Timers
    version: int = 0
    membership: membership_models.MembershipState = dataclasses.field(
        default_factory=membership_models.MembershipState
    )
    poison: poison_models.PoisonState = dataclasses.field(
        default_factory=poison_models.PoisonState
    )
    routes: route_models.RoutesState = dataclasses.field(
        default_factory=route_models.RoutesState
    )
    workspaces: workspace_models.WorkspacesState = dataclasses.field(
        default_factory=workspace_models.WorkspacesState
    )
    region_cache: region_models.RegionCache = dataclasses.field(
        default_factory=region_models.RegionCache
    )
    directory: directory_models.DirectoryState = dataclasses.field(
        default_factory=directory_models.DirectoryState
    )
    feed: feed_models.FeedState = dataclasses.field(
        default_factory=feed_models.FeedState
    )
    confirmation: confirmation_models.ConfirmationState = dataclasses.field(
        default_factory=confirmation_models.ConfirmationState
    )
    evacuation: evacuation_models.EvacuationState = dataclasses.field(
        default_factory=evacuation_models.EvacuationState
    )
    dispatch: dispatch_models.DispatchState = dataclasses.field(
        default_factory=dispatch_models.DispatchState
    )
    target_notices: notice_models.NoticesState = dataclasses.field(
        default_factory=notice_models.NoticesState
    )
    overload: overload_models.OverloadState = dataclasses.field(
        default_factory=overload_models.OverloadState
    )
    quotas: quota_models.QuotasState = dataclasses.field(
        default_factory=quota_models.QuotasState
    )
    reach: reach_models.ReachState = dataclasses.field(
        default_factory=reach_models.ReachState
    )
    forwarding: forwarding_models.ForwardingState = dataclasses.field(
        default_factory=forwarding_models.ForwardingState
    )
    pending_events: collections.deque[events.Event] = dataclasses.field(
        default_factory=collections.deque
    )
    last_store_request: int = 0
    stopping: bool = False
    stop: stop_models.StopState = dataclasses.field(
        default_factory=stop_models.StopState
    )
    unix_offset: float = 0.0
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    revocation_seconds: float | None = None
    drain_seconds: float = 2.0
    target_heartbeat_seconds: float = 1.5
    cfg: "configuration_models.Configuration" = dataclasses.field(init=False)
    calls: "call_models.CallsState" = dataclasses.field(init=False)
    routing: "routing_models.RoutingState" = dataclasses.field(init=False)
    configuration: "state_models.ConfigurationState" = dataclasses.field(
        init=False
    )
    claims: "claim_models.ClaimsState" = dataclasses.field(init=False)
    limits: "limit_models.LimitsState" = dataclasses.field(init=False)
    retries: "retry_models.RetriesState" = dataclasses.field(init=False)
    hedging: "hedging_models.HedgingState" = dataclasses.field(init=False)


def create_state(
    identity: Identity, seed: int, *, has_services: bool = True
) -> State:
    """Create the state of an entry that has just started.

    Args:
        identity: Identity of the entry.
        seed: Seed of the random number generator.
        has_services: Whether it serves services; else it follows routes.
    """
    state = State(identity, random.Random(seed), timers.Timers())
    if has_services:
        importlib.import_module("agateshelf.core.service_state").add(state)
    return state


def next_store_request(state: State) -> int:
    """Return a number for a request to the store, unique in this state."""
    state.last_store_request += 1
    return state.last_store_request
