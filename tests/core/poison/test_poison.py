"""Tests of the detection of poisonous requests, on the reducer."""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import records

KINDS = outcome_models.FailureKind


def arrive(state, number, now=1.0, caller="dealer", method="GET", body=b"b"):
    request = events.RequestArrived(
        number, caller, method, "/bookings/1", body_digest=body
    )
    return reducer.reduce(state, now, request)


def started(emitted):
    """Return the only attempt that the effects start."""
    (attempt,) = [e for e in emitted if isinstance(e, effects.StartAttempt)]
    return attempt


def refusal_of(emitted):
    """Return the refusal among the effects."""
    (found,) = [e for e in emitted if isinstance(e, effects.Refuse)]
    return found.refusal


def lose_connection(state, attempt, now=1.1, kept=False):
    return reducer.reduce(
        state,
        now,
        events.AttemptFailed(
            attempt.attempt,
            KINDS.RESET,
            any_byte_sent=True,
            kept_connection=kept,
        ),
    )


def report(fingerprint, process):
    """Return another entry's report of one crash."""
    one = messages.CrashReport(
        fingerprint,
        process,
        None,
        "",
        models.Status.CONFIRMED,
        const.CRASH_TTL_SECONDS,
    )
    return messages.CrashReports((one,))


def crash_twice(state, method="GET"):
    """Send a request that crashes two targets; return the last effects."""
    first = started(arrive(state, 1, method=method))
    emitted = lose_connection(state, first)
    if method == "POST":
        return lose_connection(state, started(arrive(state, 2, method=method)))
    return lose_connection(state, started(emitted))


def test_an_idempotent_request_is_retried_at_a_bounded_number_of_targets(state):
    refusal = refusal_of(crash_twice(state))
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN


def test_a_request_that_crashed_targets_is_refused_when_sent_again(state):
    crash_twice(state)
    refusal = refusal_of(arrive(state, 9, now=2.0))
    assert refusal.reason == const.REASON_POISONOUS
    assert refusal.outcome is outcome_models.Outcome.NOT_RUN


def test_a_non_idempotent_request_is_refused_too(state):
    crash_twice(state, method="POST")
    refusal = refusal_of(arrive(state, 9, now=2.0, method="POST"))
    assert refusal.reason == const.REASON_POISONOUS


def test_a_suspect_expires(state):
    crash_twice(state)
    assert started(arrive(state, 9, now=2000.0))


def test_the_same_request_of_another_caller_is_not_refused(state):
    crash_twice(state)
    assert started(arrive(state, 9, now=2.0, caller="other"))


def test_a_bystander_that_is_answered_elsewhere_is_not_suspected(state):
    for number in range(1, 6):
        first = started(arrive(state, number, method="POST"))
        lose_connection(state, first)
        again = started(arrive(state, 10 + number, now=1.2, method="POST"))
        reducer.reduce(state, 1.3, events.AttemptAnswered(again.attempt, 200))
    assert len(state.poison.suspects) == 1
    for fingerprint in state.poison.suspects:
        assert records.active_crashes(state, 1.3, fingerprint) == []


def test_being_shed_does_not_clear_a_suspect(state):
    first = started(arrive(state, 1))
    second = started(lose_connection(state, first))
    reducer.reduce(state, 1.2, events.AttemptAnswered(second.attempt, 503))
    assert len(state.poison.suspects) == 1


def test_a_lost_kept_connection_counts_once_the_target_refuses(state):
    first = started(arrive(state, 1, method="POST"))
    lose_connection(state, first, kept=True)
    assert not state.poison.suspects
    while True:
        probe = started(arrive(state, 2, now=1.2, body=b"other"))
        if probe.target == first.target:
            break
        reducer.reduce(state, 1.2, events.AttemptAnswered(probe.attempt, 200))
    reducer.reduce(
        state,
        1.3,
        events.AttemptFailed(probe.attempt, KINDS.CONNECT, any_byte_sent=False),
    )
    assert len(state.poison.suspects) == 1


def test_a_lost_kept_connection_has_its_target_checked(state):
    first = started(arrive(state, 1, method="POST"))
    emitted = lose_connection(state, first, kept=True)
    assert effects.CheckTarget(first.target, first.address) in emitted
    reducer.reduce(state, 1.2, events.TargetRefused(first.target))
    assert len(state.poison.suspects) == 1


def test_an_expired_kept_connection_alone_is_no_crash(state):
    for number in range(4):
        first = started(arrive(state, number, now=1.0 + number, method="POST"))
        lose_connection(state, first, now=1.5 + number, kept=True)
    assert not state.poison.suspects


def test_other_entries_are_notified_once_per_crash(state):
    seen = events.LiveEntriesChanged(
        (events.LiveEntry("e0", "boston"), events.LiveEntry("e1", "boston"))
    )
    reducer.reduce(state, 0.5, seen)
    # The other entry does not run here, so it is not asked for targets.
    state.routing.suspected_until["e1"] = math.inf
    sent = [
        effect
        for effect in crash_twice(state)
        if isinstance(effect, effects.SendToPeers)
    ]
    assert [effect.peers for effect in sent] == [("e1",)]
    assert isinstance(sent[0].message, messages.CrashReports)
    assert len(sent[0].message.reports) == 1


def test_reported_crashes_count_and_duplicates_do_not(state):
    fingerprint = next(iter(_suspects_of(state)))
    state.poison.suspects.clear()
    for _ in range(3):
        message = report(fingerprint, "crash-1")
        reducer.reduce(state, 2.0, events.PeerMessageReceived("e1", message))
    assert started(arrive(state, 8, now=2.0))
    message = report(fingerprint, "crash-2")
    reducer.reduce(state, 2.0, events.PeerMessageReceived("e1", message))
    assert (
        refusal_of(arrive(state, 9, now=2.1)).reason == const.REASON_POISONOUS
    )


def _suspects_of(state):
    crash_twice(state)
    return state.poison.suspects


def test_memory_is_bounded(state, monkeypatch):
    monkeypatch.setattr(const, "MAX_SUSPECTS", 10)
    for number in range(50):
        message = report(b"%d" % number, "crash")
        reducer.reduce(state, 2.0, events.PeerMessageReceived("e1", message))
    assert len(state.poison.suspects) == 10
