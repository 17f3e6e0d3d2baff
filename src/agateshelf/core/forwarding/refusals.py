"""Refusals of calls that got no usable answer from a target."""

from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import models
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.quotas import const as quota_const
from agateshelf.core.reach import const as reach_const
from agateshelf.core.regions import const as region_const
from agateshelf.core.stopping import const as stop_const
from agateshelf.core.target_notices import models as notice_models

_NOT_RUN = outcome_models.Outcome.NOT_RUN


def not_ready() -> outcome_models.Refusal:
    """Return the refusal of an entry that has not read any routes yet."""
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        _NOT_RUN,
        outcome_const.REASON_NOT_READY,
        "This entry has read no routes yet.",
        const.NOT_READY_RETRY_AFTER_SECONDS,
    )


def no_route() -> outcome_models.Refusal:
    """Return the refusal of a request that matches no route."""
    return outcome_models.Refusal(
        outcome_const.STATUS_NOT_FOUND,
        _NOT_RUN,
        const.REASON_NO_ROUTE,
        "No route matches this host and path.",
        None,
    )


def quota_exceeded(retry_after: float) -> outcome_models.Refusal:
    """Return the refusal of a request beyond its workspace's quota.

    Args:
        retry_after: Seconds after which the quota may have room.
    """
    return outcome_models.Refusal(
        quota_const.STATUS_TOO_MANY_REQUESTS,
        _NOT_RUN,
        quota_const.REASON_QUOTA_EXCEEDED,
        "The workspace has used up its quota for now.",
        retry_after,
    )


_DISPATCH_DETAILS = {
    dispatch_models.Refusal.NO_TARGET: (
        outcome_const.REASON_NO_TARGET,
        "The service has no target.",
    ),
    dispatch_models.Refusal.TOO_LATE: (
        const.REASON_TOO_LATE,
        "No target could answer before the deadline.",
    ),
    dispatch_models.Refusal.OVERLOAD: (
        const.REASON_OVERLOAD,
        "All targets are busy, and other requests are queued for them.",
    ),
    dispatch_models.Refusal.NO_RETRY: (
        const.REASON_TARGETS_FULL,
        "The target did not run the request, and no other may be tried now.",
    ),
    dispatch_models.Refusal.NO_REGION: (
        region_const.REASON_NO_ALLOWED_REGION,
        "No target is in a region in which the request may be served.",
    ),
}


def not_granted(
    call: models.Call, why: dispatch_models.Refusal, retry_after: float
) -> outcome_models.Refusal:
    """Return the refusal of a call that was not granted a target."""
    reason, detail = _DISPATCH_DETAILS[why]
    return _refusal(
        call, reason, detail, retry_after or const.RETRY_AFTER_SECONDS
    )


_OBSTACLE_DETAILS = {
    notice_models.Obstacle.EVACUATED: (
        const.REASON_TARGETS_EVACUATED,
        "The failure domain of the targets is evacuated.",
    ),
    notice_models.Obstacle.LEAVING: (
        outcome_const.REASON_NO_TARGET,
        "The service has no target that isn't leaving.",
    ),
    notice_models.Obstacle.PAUSED: (
        const.REASON_TARGETS_PAUSED,
        "The targets asked for a pause that ends too late for the request.",
    ),
    notice_models.Obstacle.LIMITED: (
        const.REASON_TARGETS_LIMITED,
        "The targets named limits that leave no room before the deadline.",
    ),
    notice_models.Obstacle.COLD: (
        const.REASON_TARGETS_COLD,
        "The targets have just started and take few requests until later.",
    ),
    notice_models.Obstacle.OUT_OF_REGION: (
        region_const.REASON_NO_ALLOWED_REGION,
        "No target in a region that may serve the request was granted.",
    ),
}


def no_room(
    call: models.Call,
    obstacle: notice_models.Obstacle,
    retry_after: float = const.RETRY_AFTER_SECONDS,
) -> outcome_models.Refusal:
    """Return the refusal of a call for which restricted targets have no room.

    Args:
        call: The call.
        obstacle: What the targets said of themselves.
        retry_after: Seconds after which there may be room.
    """
    reason, detail = _OBSTACLE_DETAILS[obstacle]
    return _refusal(call, reason, detail, retry_after)


def cut_off(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call whose targets no known entry reaches."""
    return _refusal(
        call,
        reach_const.REASON_CUT_OFF,
        "This entry is cut off from the targets, and no other can relay.",
        reach_const.RETRY_AFTER_SECONDS,
    )


def target_failed(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call whose last attempt failed."""
    return _refusal(
        call,
        outcome_const.REASON_TARGET_FAILED,
        "The target gave no whole answer.",
        const.RETRY_AFTER_SECONDS,
    )


def refused_by_targets(
    call: models.Call, pause: float
) -> outcome_models.Refusal:
    """Return the refusal of a call that its targets refused to run.

    Args:
        call: The call.
        pause: Seconds for which all targets of its service want no requests.
    """
    if pause > 0:
        return no_room(call, notice_models.Obstacle.PAUSED, pause)
    return _refusal(
        call,
        const.REASON_TARGETS_FULL,
        "The targets did not run the request.",
        const.RETRY_AFTER_SECONDS,
    )


def deadline_passed(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call whose deadline passed."""
    return _refusal(
        call,
        outcome_const.REASON_DEADLINE,
        "The deadline passed before a target answered.",
        const.RETRY_AFTER_SECONDS,
        outcome_const.STATUS_TIMEOUT,
    )


def stopping(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call for which a stop leaves no time."""
    return _refusal(
        call,
        outcome_const.REASON_STOPPING,
        "This entry is stopping and could not wait for the answer.",
        stop_const.RETRY_AFTER_SECONDS,
    )


def _refusal(
    call: models.Call,
    reason: str,
    detail: str,
    retry_after: float,
    unknown_status: int = outcome_const.STATUS_BAD_GATEWAY,
) -> outcome_models.Refusal:
    """Return a refusal whose status says whether the request may have run."""
    outcome = verdicts.outcome_of(call.verdict, in_flight=bool(call.attempts))
    status = unknown_status
    if outcome is outcome_models.Outcome.NOT_RUN:
        status = outcome_const.STATUS_UNAVAILABLE
    return outcome_models.Refusal(status, outcome, reason, detail, retry_after)
