"""Surveys of the active versions of all live entries, asked in batches."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.configuration import const
from agateshelf.core.configuration import messages
from agateshelf.core.configuration import models
from agateshelf.core.configuration import results
from agateshelf.core.configuration import state_models
from agateshelf.core.membership import view


def on_requested(
    state: core_state.State, now: float, event: events.SurveyRequested
) -> list[effects.Effect]:
    """Start a survey."""
    own_entry = state.identity.entry
    others = [e for e in view.live_entries(state) if e != own_entry]
    steps = len(others) / const.SURVEY_ENTRIES_PER_STEP
    survey = state_models.Survey(
        pending=others,
        versions={own_entry: state.cfg.version},
        asked=set(),
        deadline=now + const.SURVEY_SECONDS + steps * const.SURVEY_STEP_SECONDS,
    )
    state.configuration.surveys[event.operation] = survey
    return on_due(state, now, models.SurveyDue(event.operation))


def on_due(
    state: core_state.State, now: float, event: models.SurveyDue
) -> list[effects.Effect]:
    """Ask the next batch of entries, or end the survey."""
    survey = state.configuration.surveys.get(event.operation)
    if survey is None:
        return []
    if now >= survey.deadline or not survey.pending:
        return _end_if_over(state, now, event.operation, survey)
    peers = tuple(survey.pending[: const.SURVEY_ENTRIES_PER_STEP])
    del survey.pending[: const.SURVEY_ENTRIES_PER_STEP]
    survey.asked.update(peers)
    at = now + const.SURVEY_STEP_SECONDS
    timers.schedule(state.timers, at, event)
    request = messages.VersionRequest(event.operation)
    return [effects.SendToPeers(peers, request)]


def _end_if_over(
    state: core_state.State,
    now: float,
    operation: int,
    survey: state_models.Survey,
) -> list[effects.Effect]:
    unanswered = survey.asked.difference(survey.versions)
    if unanswered and now < survey.deadline:
        at = now + const.SURVEY_STEP_SECONDS
        timers.schedule(state.timers, at, models.SurveyDue(operation))
        return []
    del state.configuration.surveys[operation]
    versions = tuple(
        results.EntryVersion(entry, survey.versions[entry])
        for entry in sorted(survey.versions)
    )
    missing = tuple(sorted(unanswered.union(survey.pending)))
    return [effects.AnswerSurvey(operation, versions, missing)]


def on_version_request(
    state: core_state.State, peer: str, message: messages.VersionRequest
) -> list[effects.Effect]:
    """Answer with the active version."""
    answer = messages.VersionResponse(message.operation, state.cfg.version)
    return [effects.SendToPeers((peer,), answer)]


def on_version_response(
    state: core_state.State, peer: str, message: messages.VersionResponse
) -> list[effects.Effect]:
    """Record the version reported by an entry."""
    survey = state.configuration.surveys.get(message.operation)
    if survey is not None and peer in survey.asked:
        survey.versions[peer] = message.version
    return []
