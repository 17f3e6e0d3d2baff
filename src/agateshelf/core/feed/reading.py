"""Reads and watches of the store, their retries, and their answers."""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.directory import handling as directory
from agateshelf.core.directory import models as directory_models
from agateshelf.core.directory import renewals
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import adoption
from agateshelf.core.feed import catching_up
from agateshelf.core.feed import checking
from agateshelf.core.feed import const
from agateshelf.core.feed import freshness
from agateshelf.core.feed import models
from agateshelf.core.feed import outages
from agateshelf.core.feed import proof
from agateshelf.core.feed import relaying
from agateshelf.core.feed import removals
from agateshelf.core.feed import sending

Effects = list[effects.Effect]


def start_reading(state: core_state.State, now: float) -> Effects:
    """Become the reader in place of one that has gone silent."""
    feed = state.feed
    feed.is_reader = True
    feed.announced = False
    feed.check_request = 0
    feed.return_request = 0
    feed.store_unresponsive = False
    feed.relayed_at = state.directory.revision
    freshness.note_takeover(feed)
    silent_for = round(now - feed.synced_at, 3)
    emitted: Effects = [
        effects.LogEvent(
            "feed.reader_started",
            details=(
                ("after", feed.reader or ""),
                ("silent_seconds", silent_for),
            ),
        )
    ]
    for topic, topic_state in feed.topics.items():
        if topic_state.phase is models.Phase.IDLE:
            emitted.extend(read(state, now, topic, stale=False))
    return emitted


def continue_reading(state: core_state.State, now: float) -> Effects:
    """Send a heartbeat if all topics are watched; else retry or ask peers.

    A reader that has not been current for a while asks another failure
    domain, which may still reach the store.
    """
    feed = state.feed
    emitted = _give_up_lost(state, now)
    for topic, topic_state in feed.topics.items():
        idle = topic_state.phase is models.Phase.IDLE
        if idle and now >= topic_state.retry_at:
            emitted.extend(read(state, now, topic, stale=False))
    watched = relaying.watches_all(feed)
    if watched:
        emitted.extend(checking.check(state, now))
    emitted.extend(outages.check_return(state, now))
    if watched and not feed.store_unresponsive:
        feed.synced_at = now
        recipients = [
            *relaying.neighbours(state),
            *relaying.sample_other_domains(state),
        ]
        emitted.extend(sending.send(recipients, relaying.heartbeat(state)))
    elif now - feed.synced_at > const.MAX_AGE_SECONDS:
        emitted.extend(relaying.request_from_other_domain(state))
    return emitted


def read_missing_topics(state: core_state.State, now: float) -> Effects:
    """Retry the read of each topic that has never been read."""
    emitted = _give_up_lost(state, now)
    for topic, topic_state in state.feed.topics.items():
        idle = topic_state.phase is models.Phase.IDLE
        if idle and not topic_state.revision and now >= topic_state.retry_at:
            emitted.extend(read(state, now, topic, stale=True))
    return emitted


def _give_up_lost(state: core_state.State, now: float) -> Effects:
    """Take requests for unanswered whose end was never reported.

    An error in the client may end a request without a word, and the topic would
    wait for ever while its reader announces that it is current.
    """
    emitted: Effects = []
    for topic, topic_state in state.feed.topics.items():
        if topic_state.request not in state.feed.topic_of:
            continue
        is_watch = topic_state.phase is models.Phase.WATCHING
        longest = const.LOST_READ_SECONDS
        if is_watch:
            longest = const.LOST_WATCH_SECONDS
        if now - topic_state.requested_at < longest:
            continue
        details = (("topic", topic.value), ("watch", is_watch))
        emitted.append(effects.LogEvent("store.request_lost", details=details))
        lost = events.FeedAnswered(
            topic_state.request, models.Unavailable("never answered")
        )
        emitted.extend(on_answer(state, now, lost))
    return emitted


def read(
    state: core_state.State, now: float, topic: models.Topic, *, stale: bool
) -> Effects:
    """Request the whole content of a topic from the store."""
    number = _next_request(state, now, topic, models.Phase.READING)
    state.feed.topics[topic].stale = stale
    if topic is models.Topic.ROUTES and not stale:
        state.feed.proof.reads[number] = now
    return [effects.ReadFeed(number, topic, stale, const.READ_TIMEOUT_SECONDS)]


def _watch(state: core_state.State, now: float, topic: models.Topic) -> Effects:
    number = _next_request(state, now, topic, models.Phase.WATCHING)
    after = state.feed.topics[topic].revision
    watch = effects.WatchFeed(number, topic, after, const.WATCH_SECONDS)
    return [watch, *_announce(state, now)]


def _announce(state: core_state.State, now: float) -> Effects:
    """Send the first heartbeat as soon as all topics are watched.

    It keeps the neighbours from taking over as well, one after the other.
    """
    feed = state.feed
    if feed.announced or not relaying.watches_all(feed):
        return []
    feed.announced = True
    feed.synced_at = now
    return sending.send(relaying.neighbours(state), relaying.heartbeat(state))


def _next_request(
    state: core_state.State,
    now: float,
    topic: models.Topic,
    phase: models.Phase,
) -> int:
    feed = state.feed
    feed.last_request += 1
    topic_state = feed.topics[topic]
    topic_state.phase = phase
    topic_state.requested_at = now
    feed.topic_of.pop(topic_state.request, None)
    topic_state.request = feed.last_request
    feed.topic_of[feed.last_request] = topic
    return feed.last_request


def on_answer(
    state: core_state.State, now: float, event: events.FeedAnswered
) -> Effects:
    """Handle an answer of the store and send the next request."""
    feed = state.feed
    if not isinstance(event.answer, models.Unavailable):
        outages.note_heard(state, now)
        feed.answered_at = now
    if event.request == feed.return_request:
        outages.on_return_answer(feed, event.answer)
        return []
    began = feed.proof.reads.pop(event.request, None)
    if event.request == feed.check_request:
        emitted = checking.on_answer(state, now, event.answer)
        emitted.extend(_read_restored(state, now, event.answer))
    elif began is not None and event.request not in feed.topic_of:
        # A read for this entry alone, or one whose topic was read anew since:
        # its answer proves the routes that it brings only if they are adopted.
        emitted = _on_own_read(state, now, event.answer)
    else:
        emitted = _on_topic_answer(state, now, event)
    match event.answer:
        case models.Snapshot() if began is not None:
            proof.on_store_read(state, now, began, event.answer)
        case models.Changes() if began is not None:
            proof.on_store_changes(state, now, began, event.answer)
        case _:
            pass
    return emitted


def _on_own_read(
    state: core_state.State, now: float, answer: models.FeedAnswer
) -> Effects:
    if not isinstance(answer, models.Snapshot):
        return catching_up.on_read_failed(state, now)
    return adoption.adopt_snapshot(state, now, answer)


def _on_topic_answer(
    state: core_state.State, now: float, event: events.FeedAnswered
) -> Effects:
    topic = state.feed.topic_of.pop(event.request, None)
    if topic is None:
        return []
    topic_state = state.feed.topics[topic]
    answer = event.answer
    if isinstance(answer, models.Unavailable):
        outages.note_failure(state.feed, now, topic_state)
    topic_state.phase = models.Phase.IDLE
    match answer:
        case models.Unavailable():
            return _on_unavailable(state, now, topic, answer)
        case models.HistoryGone():
            emitted = _on_answered(state, topic)
            return [*emitted, *read(state, now, topic, stale=False)]
        case models.Snapshot() | models.Changes():
            emitted = _on_answered(state, topic)
            emitted.extend(_adopt(state, now, topic, answer))
            emitted.extend(_watch_again(state, now, topic, answer))
            return emitted


def _read_restored(
    state: core_state.State, now: float, answer: models.FeedAnswer
) -> Effects:
    """Read the topics anew if a check was answered in a later era.

    Watches from an earlier era may wait on, without hearing of any change.
    """
    if not isinstance(answer, models.Snapshot) or not state.feed.is_reader:
        return []
    era = positions.era_of(answer.revision)
    emitted: Effects = []
    for topic, topic_state in state.feed.topics.items():
        is_watched = topic_state.phase is models.Phase.WATCHING
        if is_watched and positions.era_of(topic_state.revision) < era:
            emitted.extend(read(state, now, topic, stale=False))
    return emitted


def _watch_again(
    state: core_state.State,
    now: float,
    topic: models.Topic,
    answer: models.Snapshot | models.Changes,
) -> Effects:
    """Watch a topic again; after changes, with a pause.

    The pause collects bursts of changes, such as many targets that start:
    without it each change would cost every reader a request to the store.
    """
    if not state.feed.is_reader or state.stopping:
        return []
    if not _has_changes(answer):
        return _watch(state, now, topic)
    topic_state = state.feed.topics[topic]
    topic_state.phase = models.Phase.WATCHING
    due = models.WatchResumeDue(topic, topic_state.request)
    timers.schedule(state.timers, now + _pause_of(topic, topic_state, now), due)
    topic_state.changed_at = now
    return []


def _has_changes(answer: models.Snapshot | models.Changes) -> bool:
    """Return whether a watch was answered with changes that matter here."""
    return isinstance(answer, models.Changes) and bool(
        answer.targets or answer.table or answer.evacuations
    )


def _pause_of(
    topic: models.Topic, topic_state: models.TopicState, now: float
) -> float:
    """Return the pause before the next watch, in seconds.

    Answers the load of a fleet whose targets change their registrations all the
    time: each change would cost every reader a request to the store.
    """
    is_busy = now - topic_state.changed_at < const.BUSY_WATCH_SECONDS
    if topic is models.Topic.TARGETS and is_busy:
        return const.BUSY_WATCH_PAUSE_SECONDS
    return const.WATCH_PAUSE_SECONDS


def on_watch_resume_due(
    state: core_state.State, now: float, event: models.WatchResumeDue
) -> Effects:
    """Watch a topic again, unless a stop or another request came between."""
    topic_state = state.feed.topics[event.topic]
    if state.stopping or topic_state.phase is not models.Phase.WATCHING:
        return []
    if topic_state.request != event.request:
        return []
    return _watch(state, now, event.topic)


def _on_unavailable(
    state: core_state.State,
    now: float,
    topic: models.Topic,
    answer: models.Unavailable,
) -> Effects:
    feed = state.feed
    topic_state = feed.topics[topic]
    pause = min(
        const.MAX_RETRY_SECONDS,
        const.INITIAL_RETRY_SECONDS * 2**topic_state.failures,
    )
    topic_state.failures += 1
    jitter = 1 + const.RETRY_JITTER * state.rng.uniform(-1, 1)
    topic_state.retry_at = now + pause * jitter
    if not feed.reachable:
        return []
    feed.reachable = False
    return [
        effects.LogEvent(
            "store.lost",
            details=(("topic", topic.value), ("reason", answer.reason)),
        )
    ]


def _on_answered(state: core_state.State, topic: models.Topic) -> Effects:
    feed = state.feed
    feed.topics[topic].failures = 0
    feed.store_unresponsive = False
    if feed.reachable:
        return []
    feed.reachable = True
    return [
        effects.LogEvent("store.regained", details=(("topic", topic.value),))
    ]


def _adopt(
    state: core_state.State,
    now: float,
    topic: models.Topic,
    answer: models.Snapshot | models.Changes,
) -> Effects:
    topic_state = state.feed.topics[topic]
    restored = _note_era(state, now, topic_state, answer.revision)
    watched_from = topic_state.revision
    topic_state.revision = max(topic_state.revision, answer.revision)
    made_after = freshness.made_after(topic_state, now, answer)
    freshness.note_answer(topic_state, now, answer)
    if topic is models.Topic.ROUTES:
        proof.note_era(state, now, answer.revision)
        before = state.routes.table
        emitted = adoption.adopt_table(state, answer.table, const.SOURCE_STORE)
        if isinstance(answer, models.Changes) and watched_from <= (
            state.feed.proof.proven_revision
        ):
            proof.note_changes(state, answer)
        if state.routes.table is not before:
            emitted.extend(relaying.relay(state, (), before=before))
        emitted.extend(_adopt_evacuations(state, now, answer))
        return [*restored, *emitted]
    items = list(answer.targets)
    if isinstance(answer, models.Snapshot):
        items = directory.complete_snapshot(
            state.directory, answer.revision, answer.targets
        )
    items = renewals.take_changes(
        state.directory, now, items, state.feed.deferred_removals
    )
    items, held = removals.defer(state, now, items, made_after)
    emitted = adopt_items(
        state,
        now,
        items,
        const.SOURCE_STORE,
        answer.revision,
        made_after=made_after,
    )
    return [*restored, *held, *emitted]


def _adopt_evacuations(
    state: core_state.State,
    now: float,
    answer: models.Snapshot | models.Changes,
) -> Effects:
    """Adopt evacuations and relay them if they are other than before."""
    before = state.evacuation.current
    source = const.SOURCE_STORE
    match answer:
        case models.Snapshot():
            stored = evacuation_models.Evacuations(
                answer.revision, answer.evacuated
            )
            emitted = evacuation.adopt(state, now, stored, source)
        case models.Changes():
            emitted = evacuation.adopt_changes(
                state, now, answer.evacuations, source
            )
    known = state.evacuation.current
    if known.failure_domains != before.failure_domains:
        emitted.extend(relaying.relay_evacuations(state))
    return emitted


def _note_era(
    state: core_state.State,
    now: float,
    topic_state: models.TopicState,
    position: int,
) -> Effects:
    """Notice that the store came back from an older copy.

    What was written since the copy is missing until it is written again.
    """
    era = positions.era_of(position)
    is_first = not topic_state.revision
    if is_first or era <= positions.era_of(topic_state.revision):
        return []
    state.feed.removal_grace_until = now + const.OUTAGE_GRACE_SECONDS
    state.feed.returned_after = now
    state.pending_events.append(events.StoreRestored())
    details = (
        ("era", era),
        ("revision", positions.revision_of(position)),
        ("before", positions.revision_of(topic_state.revision)),
    )
    return [effects.LogEvent("store.restored", details=details)]


def adopt_items(
    state: core_state.State,
    now: float,
    items: list[directory_models.Item],
    source: str,
    revision: int = 0,
    *,
    made_after: float = -math.inf,
) -> Effects:
    """Adopt registrations and relay those that changed to the neighbours.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        items: Registrations and removals.
        source: Where they came from, for the log.
        revision: Position up to which the store was read; 0 if it wasn't.
        made_after: Earliest time at which the oldest of them can have been
            made.
    """
    changed = adoption.adopt_targets(state, now, items)
    directory.note_complete(state.directory, revision)
    age = freshness.age_of(made_after, now)
    emitted = adoption.publish_changes(state, changed, source, age)
    emitted.extend(relaying.relay(state, tuple(changed), age))
    return emitted


def on_targets_read_wanted(state: core_state.State, now: float) -> Effects:
    """Read the registrations again, as other readers have other ones."""
    phase = state.feed.topics[models.Topic.TARGETS].phase
    if not state.feed.is_reader or phase is not models.Phase.WATCHING:
        return []
    return read(state, now, models.Topic.TARGETS, stale=False)
