"""What an attempt's end says of its target."""

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.routing import models

_FIRST_SERVER_ERROR = 500


def ending_of_answer(
    service: configuration_models.Service, event: events.AttemptAnswered
) -> models.Ending:
    """Return what an answer says of its target."""
    if verdicts.is_refusal(service, event.headers):
        return models.Ending.REFUSED
    if event.status >= _FIRST_SERVER_ERROR:
        return models.Ending.ERROR
    return models.Ending.ANSWERED


def ending_of_failure(event: events.AttemptFailed) -> models.Ending:
    """Return what a failure says of its target.

    A kept connection may have been forgotten by something in between, so its
    failure does not blame the target; nor does one that we brought about.
    """
    if event.kept_connection:
        return models.Ending.NEUTRAL
    if event.kind is outcome_models.FailureKind.CANCELLED:
        return models.Ending.NEUTRAL
    if event.kind is outcome_models.FailureKind.CONNECT:
        return models.Ending.UNREACHABLE
    return models.Ending.ERROR


def learn_load(
    state: core_state.State,
    now: float,
    placement: int,
    event: events.AttemptAnswered,
) -> None:
    """Note the load that an answer carries."""
    placed = state.routing.placements.get(placement)
    if placed is None or event.load is None:
        return
    view = placed.view
    view.reported = event.load.in_flight + event.load.queued
    view.reported_at = now - event.load.age
    view.sent_since = 0
