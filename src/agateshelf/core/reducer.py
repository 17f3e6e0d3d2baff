"""The reducer: one event in, effects out.

The state is changed in place, since a copy for each event would cost more than
the decision; the same state, times and events always give the same effects.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.calls import ending
from agateshelf.core.calls import lifecycle
from agateshelf.core.claims import ends as claim_ends
from agateshelf.core.claims import handling as claim_handling
from agateshelf.core.claims import messages as claim_messages
from agateshelf.core.claims import owners as claim_owners
from agateshelf.core.claims import pauses as claim_pauses
from agateshelf.core.claims import shards as claim_shards
from agateshelf.core.configuration import handling as configuration
from agateshelf.core.dispatch import asking
from agateshelf.core.dispatch import desks
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import samplers
from agateshelf.core.dispatch import sampling
from agateshelf.core.feed import handling as feed
from agateshelf.core.feed import models as feed_models
from agateshelf.core.feed import reading as feed_reading
from agateshelf.core.feed import relaying as feed_relaying
from agateshelf.core.forwarding import ending as forwarding_ending
from agateshelf.core.forwarding import lifecycle as forwarding
from agateshelf.core.hedging import rules as hedging
from agateshelf.core.limits import admission
from agateshelf.core.limits import lending
from agateshelf.core.membership import handling as membership
from agateshelf.core.membership import models as membership_models
from agateshelf.core.poison import evidence as poison
from agateshelf.core.poison import messages as poison_messages
from agateshelf.core.poison import suspects
from agateshelf.core.routing import groups
from agateshelf.core.routing import homes
from agateshelf.core.routing import placing


def reduce(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    """Reduce one event.

    Args:
        state: State of the entry, changed in place.
        now: The loop's time in seconds; it never goes back.
        event: What happened.

    Returns:
        What to do, in order.
    """
    done = _dispatch(state, now, event)
    while state.inbox:
        done.extend(_dispatch(state, now, state.inbox.popleft()))
    return done


def _dispatch(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    match event:
        case events.PeerSpoke():
            return _hand_message(state, now, event)
        case events.RequestArrived() if state.feed.enabled:
            return forwarding.on_request(state, now, event)
        case events.RequestArrived():
            return lifecycle.on_request(state, now, event)
        case events.TurnDecided():
            return forwarding.on_turn(state, now, event)
        case events.TargetProbed():
            return sampling.on_probed(state, now, event)
        case events.CallAdmitted():
            return lifecycle.on_admitted(state, now, event)
        case events.CallCleared():
            return lifecycle.on_cleared(state, now, event)
        case events.TargetChosen():
            return lifecycle.on_target_chosen(state, now, event)
        case events.AttemptAnswered() if state.feed.enabled:
            return forwarding_ending.on_answer(state, now, event)
        case events.AttemptAnswered():
            return ending.on_answer(state, now, event)
        case events.PlacementEnded():
            return homes.on_placement_ended(state, now, event)
        case events.Tick():
            return _run_due_timers(state, now)
        case events.HedgeDue():
            return hedging.on_due(state, now, event)
        case events.AskOverdue():
            return placing.on_overdue(state, now, event)
        case events.DeadlinePassed() if state.feed.enabled:
            return forwarding.on_deadline(state, now, event)
        case events.DeadlinePassed():
            return lifecycle.on_deadline(state, event)
        case (
            dispatch_models.DeskDue()
            | dispatch_models.SamplersDue()
            | dispatch_models.SampleDue()
            | dispatch_models.ReportDue()
            | dispatch_models.QuestionDue()
        ):
            return _on_dispatch_timer(state, now, event)
        case _:
            return _dispatch_rare(state, now, event)


def _dispatch_rare(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    """Handle what does not happen to each call."""
    if state.feed.enabled:
        done = _dispatch_fed(state, now, event)
        if done is not None:
            return done
    match event:
        case events.AttemptFailed():
            return ending.on_failure(state, now, event)
        case events.StreamEnded():
            return ending.on_stream_end(state, now, event)
        case events.CallerLeft():
            return lifecycle.on_caller_left(state, event)
        case events.ConfigurationRead():
            claim_pauses.start(state, now)
            return _adopt(state, now, event)
        case events.StopRequested() | events.StopDeadlinePassed():
            return _on_stop(state, now, event)
        case events.CallRejected():
            return lifecycle.on_rejected(state, event)
        case events.CallReplayed():
            return lifecycle.on_replayed(state, event)
        case events.ClaimsSettled():
            return lifecycle.exit_if_idle(state)
        case events.SlotFreed():
            return admission.on_slot_freed(state, now, event)
        case events.LoansDue():
            return lending.on_due(state, now)
        case events.WaitEnded():
            return admission.on_wait_ended(state, now, event)
        case _:
            return _dispatch_coordination(state, now, event)


def _dispatch_fed(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect] | None:
    """Handle what happens to an entry that follows routes.

    Returns:
        What to do; None if the event is none of these.
    """
    match event:
        case events.AttemptFailed():
            return forwarding_ending.on_failure(state, now, event)
        case events.StreamEnded():
            return forwarding_ending.on_stream_end(state, now, event)
        case events.CallerLeft():
            return forwarding.on_caller_left(state, now, event)
        case events.FeedAnswered():
            return feed_reading.on_answer(state, now, event)
        case feed_models.FeedDue():
            return feed.on_due(state, now)
        case feed_models.RestOver():
            return feed_reading.on_rest_over(state, event)
        case feed_models.ReaderLeft():
            return feed.on_reader_left(state, now)
        case events.RoutesAdopted():
            return desks.open_own(state, now)
        case events.TargetsChanged():
            return [
                *sampling.on_targets_changed(state, event),
                *desks.on_targets_changed(state, now, event),
            ]
        case events.StopDeadlinePassed():
            return forwarding.on_stop_deadline(state, now)
        case _:
            return None


def _on_dispatch_timer(
    state: core_state.State,
    now: float,
    event: dispatch_models.DispatchTimer,
) -> list[effects.Effect]:
    match event:
        case dispatch_models.DeskDue():
            return desks.on_due(state, now, event)
        case dispatch_models.SamplersDue():
            return samplers.on_due(state, now, event)
        case dispatch_models.SampleDue():
            return sampling.on_due(state, now, event)
        case dispatch_models.ReportDue():
            return sampling.on_report_due(state, event)
        case dispatch_models.QuestionDue():
            return asking.on_due(state, now, event)


def _dispatch_coordination(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    """Handle what comes from other entries, the platform and operators."""
    match event:
        case (
            events.ClaimDecided()
            | events.ClaimEnded()
            | events.ClaimOverdue()
            | events.ClaimsDue()
            | events.ClaimsBeat()
        ):
            return claim_handling.on_event(state, now, event)
        case events.StoreAnswered():
            return _hand_store_answer(state, now, event)
        case events.Started():
            return _on_started(state, now, event)
        case events.SeedsChanged():
            return membership.on_seeds(state, event)
        case events.TargetRefused():
            return poison.on_refused(state, now, event)
        case events.EntriesSeen():
            return _on_entries(state, now, event)
        case (
            membership_models.RoundDue()
            | membership_models.AnswerDue()
            | membership_models.SuspicionDue()
            | membership_models.ForgetDue()
            | membership_models.RosterDue()
        ):
            return membership.on_timer(state, now, event)
        case _:
            return configuration.on_event(state, now, event)


def _on_started(
    state: core_state.State, now: float, event: events.Started
) -> list[effects.Effect]:
    done = membership.on_started(state, now, event)
    done.extend(configuration.on_started(state, now, event))
    if event.has_feed:
        done.extend(feed.on_started(state, now))
    return done


def _on_entries(
    state: core_state.State, now: float, event: events.EntriesSeen
) -> list[effects.Effect]:
    admission.adopt_entries(state, now, event)
    claim_owners.adopt_entries(state, event)
    groups.adopt_entries(state, now, event)
    homes.forget_entries(state, now)
    state.dispatch.homes.clear()
    if state.feed.enabled:
        return desks.on_entries(state, now)
    return []


def _hand_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> list[effects.Effect]:
    if event.request in state.claims.asked:
        return claim_shards.on_store_answer(state, now, event)
    done = configuration.on_store_answer(state, now, event)
    if done is not None:
        return done
    return [effects.Count("events.not_awaited")]


def _hand_message(
    state: core_state.State, now: float, event: events.PeerSpoke
) -> list[effects.Effect]:
    for handle in (
        desks.on_message,
        asking.on_message,
        feed_relaying.on_message,
        homes.on_message,
    ):
        done = handle(state, now, event.peer, event.message)
        if done is not None:
            return done
    match event.message:
        case (
            claim_messages.RecordsProposed() | claim_messages.RecordsDecided()
        ) as message:
            return claim_handling.on_message(state, now, event.peer, message)
        case (
            poison_messages.CrashSeen() | poison_messages.SuspectCleared()
        ) as message:
            return suspects.on_message(state, now, message)
        case _:
            pass
    done = lending.on_message(state, now, event)
    if done is None:
        done = membership.on_message(state, now, event.peer, event.message)
    if done is None:
        done = configuration.on_message(state, now, event.peer, event.message)
    if done is not None:
        return done
    return [effects.Count("events.not_awaited")]


def _adopt(
    state: core_state.State, now: float, event: events.ConfigurationRead
) -> list[effects.Effect]:
    if event.configuration.version <= state.cfg.version:
        return configuration.on_not_adopted(state, event.configuration.version)
    state.cfg = event.configuration
    groups.adopt_configuration(state.routing, state.cfg, now)
    admission.adopt_configuration(state, now)
    return [
        effects.Count("configuration.adopted"),
        *configuration.on_adopted(state, now),
    ]


def _on_stop(
    state: core_state.State,
    now: float,
    event: events.StopRequested | events.StopDeadlinePassed,
) -> list[effects.Effect]:
    if isinstance(event, events.StopDeadlinePassed):
        return lifecycle.on_stop_deadline(state)
    state.stopping = True
    if state.feed.enabled:
        return [
            effects.BecomeUnready(),
            *membership.on_stop(state, now),
            *feed_relaying.on_stop(state),
            *claim_ends.on_stop(state, now),
            *forwarding.exit_if_idle(state),
        ]
    return [
        effects.BecomeUnready(),
        *membership.on_stop(state, now),
        *claim_ends.on_stop(state, now),
        *lifecycle.exit_if_idle(state),
    ]


def _run_due_timers(
    state: core_state.State, now: float
) -> list[effects.Effect]:
    done: list[effects.Effect] = []
    for event in timers.pop_due(state.timers, now):
        done.extend(_dispatch(state, now, event))
    return done
