"""The whole state of an entry's decisions, a slice for each part."""

import dataclasses
import random

from agateshelf.core import timers
from agateshelf.core.calls import models as call_models
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import models as routing_models


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this entry is.

    Attributes:
        entry: Identifier, unique among the entries.
        failure_domain: Where it runs.
    """

    entry: str
    failure_domain: str


@dataclasses.dataclass(slots=True)
class State:
    """State of one reducer; only the reducer changes it.

    Attributes:
        identity: Who this entry is.
        rng: The only source of randomness.
        cfg: The configuration in force.
        stopping: Whether a graceful stop has begun.
    """

    identity: Identity
    rng: random.Random
    cfg: configuration_models.Configuration
    calls: call_models.CallsState
    routing: routing_models.RoutingState
    timers: timers.Timers
    stopping: bool = False


def create_state(identity: Identity, seed: int) -> State:
    """Create the state of an entry that has just started."""
    return State(
        identity=identity,
        rng=random.Random(seed),
        cfg=configuration_models.create_empty(),
        calls=call_models.CallsState(),
        routing=routing_models.RoutingState(),
        timers=timers.Timers(),
    )
