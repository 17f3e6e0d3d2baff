"""Tests of the life cycle of a call, on the reducer."""

import pytest

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core.outcomes import models as outcome_models

MARK = ("request-outcome", "not-run")


def started(emitted):
    """Return the only attempt that the effects start."""
    (attempt,) = [e for e in emitted if isinstance(e, effects.StartAttempt)]
    return attempt


def refused(emitted):
    """Return the refusal among the effects."""
    (refuse,) = [e for e in emitted if isinstance(e, effects.Refuse)]
    return refuse.refusal


def failed(attempt, *, sent):
    return events.AttemptFailed(
        attempt.attempt,
        outcome_models.FailureKind.RESET,
        any_byte_sent=sent,
    )


def arrive(state, method, now=1.0):
    request = events.RequestArrived(1, "dealer", method, "/bookings/1")
    return reducer.reduce(state, now, request)


def test_idempotent_request_moves_to_another_target(state):
    first = started(arrive(state, "GET"))
    second = started(reducer.reduce(state, 1.1, failed(first, sent=True)))
    assert second.target != first.target
    emitted = reducer.reduce(
        state, 1.2, events.AttemptAnswered(second.attempt, 200)
    )
    assert effects.DeliverAnswer(1, second.attempt) in emitted
    assert not state.calls.calls


def test_non_idempotent_request_that_may_have_run_is_not_repeated(state):
    first = started(arrive(state, "POST"))
    refusal = refused(reducer.reduce(state, 1.1, failed(first, sent=True)))
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN


def test_unknown_method_is_taken_as_non_idempotent(state):
    first = started(arrive(state, "BREW"))
    refusal = refused(reducer.reduce(state, 1.1, failed(first, sent=True)))
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN


def test_marked_refusal_is_tried_elsewhere(state):
    first = started(arrive(state, "POST"))
    answer = events.AttemptAnswered(first.attempt, 503, (MARK,))
    second = started(reducer.reduce(state, 1.1, answer))
    assert second.target != first.target


def test_plain_503_to_a_non_idempotent_request_is_delivered(state):
    first = started(arrive(state, "POST"))
    emitted = reducer.reduce(
        state, 1.1, events.AttemptAnswered(first.attempt, 503)
    )
    assert effects.DeliverAnswer(1, first.attempt) in emitted


def test_deadline_in_flight_is_reported_as_unknown(state):
    arrive(state, "POST")
    refusal = refused(reducer.reduce(state, 6.1, events.Tick()))
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN


def test_late_answer_is_only_counted(state):
    first = started(arrive(state, "GET"))
    reducer.reduce(state, 6.1, events.Tick())
    emitted = reducer.reduce(
        state, 6.2, events.AttemptAnswered(first.attempt, 200)
    )
    assert emitted == [effects.Count("attempts.late_answers")]


def test_stop_waits_for_calls_in_flight(state):
    first = started(arrive(state, "POST"))
    emitted = reducer.reduce(state, 1.1, events.StopRequested())
    assert effects.Exit() not in emitted
    emitted = reducer.reduce(
        state, 1.2, events.AttemptAnswered(first.attempt, 200)
    )
    assert emitted[-1] == effects.Exit()


def test_end_of_a_stop_reports_unknown_for_started_calls(state):
    started(arrive(state, "POST"))
    reducer.reduce(state, 1.1, events.StopRequested())
    emitted = reducer.reduce(state, 1.2, events.StopDeadlinePassed())
    refusal = refused(emitted)
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN
    assert refusal.reason == "stopping"
    assert not state.calls.calls


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_late_request_in_a_stop_is_refused_unless_it_must_end(state, method):
    # It was accepted, and broken off at the end of the stop.
    reducer.reduce(state, 1.0, events.StopRequested(4.0))
    early = events.RequestArrived(1, "d", method, "/bookings/1")
    assert started(reducer.reduce(state, 2.9, early))
    late = events.RequestArrived(2, "d", method, "/bookings/1")
    refusal = refused(reducer.reduce(state, 3.1, late))
    assert refusal.outcome is outcome_models.Outcome.NOT_RUN
    assert refusal.reason == "stopping"
    short = events.RequestArrived(3, "d", method, "/bookings/1", timeout=1.8)
    assert started(reducer.reduce(state, 3.1, short))
