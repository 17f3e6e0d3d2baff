"""The parts of the state that only an entry with services has.

They are in a module of their own so that an entry that follows routes does not
import them.
"""

from agateshelf.core import state as core_state
from agateshelf.core.calls import models as call_models
from agateshelf.core.claims import models as claim_models
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.configuration import state_models
from agateshelf.core.hedging import models as hedging_models
from agateshelf.core.limits import models as limit_models
from agateshelf.core.retries import models as retry_models
from agateshelf.core.routing import models as routing_models


def add(state: core_state.State) -> None:
    """Add these parts to the state of an entry that has just started."""
    state.cfg = configuration_models.create_empty()
    state.calls = call_models.CallsState()
    state.routing = routing_models.RoutingState()
    state.configuration = state_models.ConfigurationState()
    state.limits = limit_models.LimitsState()
    state.retries = retry_models.RetriesState()
    state.hedging = hedging_models.HedgingState()
    state.claims = claim_models.create_state(
        state.identity.entry,
        state.rng.randbytes(claim_models.INCARNATION_BYTES),
    )
