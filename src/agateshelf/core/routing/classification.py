"""Classifies the ends of attempts, and records reported loads of targets."""

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.routing import models

_FIRST_SERVER_ERROR = 500


def ending_of_response(
    service: configuration_models.Service, event: events.AttemptAnswered
) -> models.Ending:
    """Classify a response."""
    if verdicts.is_refusal(service, event.headers):
        return models.Ending.REFUSED
    if event.status >= _FIRST_SERVER_ERROR:
        return models.Ending.ERROR
    return models.Ending.ANSWERED


def ending_of_failure(event: events.AttemptFailed) -> models.Ending:
    """Classify a failed attempt.

    A middlebox may have dropped a kept-alive connection, so its failure does
    not count against the target. Neither does an attempt that this entry
    cancelled.
    """
    if event.kept_connection:
        return models.Ending.NEUTRAL
    if event.kind is outcome_models.FailureKind.CANCELLED:
        return models.Ending.NEUTRAL
    if event.kind is outcome_models.FailureKind.CONNECT:
        return models.Ending.UNREACHABLE
    return models.Ending.ERROR


def record_load(
    state: core_state.State,
    now: float,
    placement: int,
    event: events.AttemptAnswered,
) -> None:
    """Record the load that a response reports."""
    placed = state.routing.placements.get(placement)
    if placed is None or event.load is None:
        return
    view = placed.view
    view.reported = event.load.in_flight + event.load.queued
    view.reported_at = now - event.load.age
    view.sent_since = 0
