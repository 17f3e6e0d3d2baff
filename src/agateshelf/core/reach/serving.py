"""What an entry does with a request that another entry relays through it.

The other entry holds the call: it was granted the target, and decides on
retries. This one sends the request once, to that target alone, after the checks
that each send passes, and delivers whatever the target answers.
"""

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.reach import const
from agateshelf.core.reach import detection
from agateshelf.core.target_notices import gate


def find_target(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    regions: tuple[str, ...] = (),
) -> directory_models.Registration | outcome_models.Refusal:
    """Return the target of a relayed request, or why it isn't sent there."""
    registration = state.directory.targets.get(event.relay_target)
    if registration is None or registration.draining:
        return _refusal(
            outcome_const.REASON_NO_TARGET,
            "The target is leaving, or not known to this entry.",
        )
    obstacle = gate.check_send(
        state, now, registration.id, is_counted=True, regions=regions
    )
    if obstacle is not None:
        return _refusal(
            outcome_const.REASON_NO_TARGET,
            f"The target wants no requests now: {obstacle.value}.",
        )
    if detection.is_cut(state, registration.service):
        return _refusal(
            const.REASON_CUT_OFF, "This entry doesn't reach the target either."
        )
    if state.reach.relayed >= const.MAX_RELAYED * state.identity.capacity:
        return _refusal(
            const.REASON_RELAY_FULL,
            "This entry relays as many requests as it can.",
        )
    return registration


def _refusal(reason: str, detail: str) -> outcome_models.Refusal:
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        outcome_models.Outcome.NOT_RUN,
        reason,
        detail,
        const.RETRY_AFTER_SECONDS,
    )
