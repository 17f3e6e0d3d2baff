"""Relays routes, registrations and reader heartbeats between entries."""

import math

import msgspec

from agateshelf.core import effects
from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core.directory import handling as directory
from agateshelf.core.directory import models as directory_models
from agateshelf.core.directory import renewals
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import adoption
from agateshelf.core.feed import catching_up
from agateshelf.core.feed import comparison
from agateshelf.core.feed import const
from agateshelf.core.feed import currency
from agateshelf.core.feed import messages
from agateshelf.core.feed import models
from agateshelf.core.feed import outages
from agateshelf.core.feed import proof
from agateshelf.core.feed import removals
from agateshelf.core.feed import sending
from agateshelf.core.feed import updates
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import changes as route_changes
from agateshelf.core.routes import const as route_const
from agateshelf.core.routes import matching
from agateshelf.core.routes import models as route_models

Effects = list[effects.Effect]

# Age of an update that says nothing of routes and registrations.
_NEVER_SECONDS = 1e6
# Shortest interval at which an owner is sent evacuations that its grants
# disregard. Grants that were on their way would each cause a message.
_TELL_SECONDS = 0.1


def neighbours(state: core_state.State) -> list[str]:
    """Return the other live entries of this entry's failure domain."""
    me = state.identity
    entries = view.entries_in(state, me.failure_domain)
    return [entry for entry in entries if entry != me.entry]


def _is_neighbour(state: core_state.State, peer: str) -> bool:
    domain = state.membership.failure_domains.get(peer)
    return domain == state.identity.failure_domain


def sample_other_domains(state: core_state.State) -> list[str]:
    """Return an entry of each other failure domain, drawn at random.

    A reader whose watch is no longer answered looks current to its neighbours.
    Heartbeats from the readers of other failure domains show that it is not.
    """
    domains: dict[str, list[str]] = {}
    for entry, domain in state.membership.failure_domains.items():
        if domain != state.identity.failure_domain:
            domains.setdefault(domain, []).append(entry)
    return [
        state.rng.choice(sorted(entries))
        for _, entries in sorted(domains.items())
    ]


def heartbeat(
    state: core_state.State, *, leaving: bool = False
) -> messages.FeedHeartbeat:
    """Return a heartbeat with the versions this entry has read."""
    return messages.FeedHeartbeat(
        sending.routes_version(state),
        state.directory.revision,
        leaving,
        state.evacuation.current.position,
        sending.routes_at(state),
        comparison.digest(state),
    )


def request_from_neighbour(state: core_state.State) -> Effects:
    """Request changes from the reader of this entry's failure domain.

    Without one that is live, another entry of it is asked, or one of another
    failure domain.
    """
    others = neighbours(state)
    if not others:
        return request_from_other_domain(state)
    reader = state.feed.reader
    asked = reader if reader in others else state.rng.choice(sorted(others))
    return sending.send([asked], sending.create_request(state))


def request_from_other_domain(state: core_state.State) -> Effects:
    """Request changes from a random entry of another failure domain."""
    me = state.identity
    others = sorted(
        entry
        for entry, domain in state.membership.failure_domains.items()
        if domain != me.failure_domain
    )
    if not others:
        return []
    return sending.send(
        [state.rng.choice(others)], sending.create_request(state)
    )


def relay(
    state: core_state.State,
    changed: tuple[directory_models.Item, ...],
    change_age: float | None = None,
    before: route_models.RouteTable | None = None,
) -> Effects:
    """Send changes to the neighbours if this entry is the reader.

    Args:
        state: State of the entry.
        changed: Registrations and removals.
        change_age: Greatest age that these can have, in seconds; None if it is
            not known.
        before: The routes that were in force before, if they changed.
    """
    if not state.feed.is_reader or (before is None and not changed):
        return []
    if not state.feed.relayed_at:
        # The first update says that it is complete from the beginning, also to
        # entries that know nothing yet.
        known = state.directory.targets
        gone = (item for item in changed if item.id not in known)
        changed = (*known.values(), *gone)
    targets, removed = updates.divide(state, changed)
    update = messages.FeedUpdate(
        revision=state.directory.revision,
        age=0.0,
        base_revision=state.feed.relayed_at,
        targets=targets,
        removals=removed,
        change_age=change_age,
        proof_version=sending.routes_version(state),
        proof_at=sending.routes_at(state),
        table_changes=_changes_since(state, before, const.MAX_RELAYED_BYTES),
    )
    state.feed.relayed_at = state.directory.revision
    return sending.send(neighbours(state), update)


def _changes_since(
    state: core_state.State,
    before: route_models.RouteTable | None,
    max_bytes: int,
) -> route_changes.TableChanges | None:
    """Return what the routes in force have changed, unless that is too much."""
    table = state.routes.table
    if table is None or before is None or before is table:
        return None
    changes = route_changes.between(before, table)
    if changes is None or route_changes.size_of(changes) > max_bytes:
        return None
    return changes


def relay_evacuations(state: core_state.State) -> Effects:
    """Send the evacuations to the neighbours if this entry is the reader."""
    if not state.feed.is_reader:
        return []
    return sending.send(neighbours(state), evacuations_update(state))


def tell_evacuations(
    state: core_state.State, now: float, entry: str
) -> Effects:
    """Send another entry the evacuations that it doesn't know, at intervals."""
    if entry == state.identity.entry:
        return []
    told_at = state.evacuation.told_at
    if now - told_at.get(entry, -math.inf) < _TELL_SECONDS:
        return []
    told_at[entry] = now
    return sending.send([entry], evacuations_update(state))


def evacuations_update(state: core_state.State) -> messages.FeedUpdate:
    """Return an update with the evacuated failure domains alone."""
    return messages.FeedUpdate(
        revision=0,
        age=_NEVER_SECONDS,
        base_revision=0,
        evacuations=state.evacuation.current,
    )


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a message of the feed; return None for any other message."""
    match message:
        case messages.FeedHeartbeat():
            return _on_heartbeat(state, now, peer, message)
        case messages.FeedRequest():
            return _on_request(state, now, peer, message)
        case messages.FeedUpdate():
            return _on_update(state, now, peer, message)
        case _:
            return None


def _on_heartbeat(
    state: core_state.State,
    now: float,
    peer: str,
    heartbeat: messages.FeedHeartbeat,
) -> Effects:
    feed = state.feed
    if heartbeat.leaving:
        feed.resigned_reader = peer
        feed.synced_at = min(feed.synced_at, now - const.READER_TIMEOUT_SECONDS)
        state.pending_events.append(models.ReaderResigned())
        return []
    outages.note_heard(state, now, const.HEARTBEAT_ANSWER_SECONDS)
    emitted: Effects = []
    position = state.evacuation.current.position
    behind = comparison.is_behind(state, heartbeat)
    # The answer to an earlier request may be on its way.
    is_awaited = behind and now - feed.asked_at < const.ASKED_SECONDS
    emitted.extend(_get_anew(state, now, peer, heartbeat))
    lacks_routes = heartbeat.evacuations_at > position
    lacks_routes = lacks_routes or catching_up.is_behind(
        state, heartbeat.version, heartbeat.routes_at
    )
    # A reader of an earlier version doesn't know of evacuations. One of this
    # version then reads beside it.
    knows_evacuations = heartbeat.evacuations_at > 0
    if lacks_routes or (behind and not is_awaited):
        request = sending.create_request(state)
        if is_awaited:
            request = msgspec.structs.replace(
                request, revision=heartbeat.revision
            )
        feed.asked_at = now
        emitted.extend(sending.send([peer], request))
    is_told = not behind and knows_evacuations and _is_neighbour(state, peer)
    if is_told and not feed.is_reader:
        # Those of other failure domains reach some entry of this one at each
        # interval, and would keep each from taking over for seconds. Routes
        # that are missing are got without becoming the reader.
        feed.synced_at = now
    if not _is_neighbour(state, peer) or not knows_evacuations:
        return emitted
    feed.reader = peer
    if feed.resigned_reader == peer:
        feed.resigned_reader = None
    if feed.is_reader and (
        feed.store_unresponsive or peer < state.identity.entry
    ):
        emitted.extend(_stop_reading(state, peer))
    return emitted


def _get_anew(
    state: core_state.State,
    now: float,
    peer: str,
    heartbeat: messages.FeedHeartbeat,
) -> Effects:
    """Get all registrations anew if a reader's are others for long."""
    is_reader = state.feed.is_reader
    if not is_reader and not _is_neighbour(state, peer):
        return []
    if not comparison.differ_for_long(state, now, heartbeat):
        return []
    if is_reader:
        state.pending_events.append(models.TargetsReadWanted())
        return []
    request = msgspec.structs.replace(sending.create_request(state), revision=0)
    return sending.send([peer], request)


def _stop_reading(state: core_state.State, peer: str) -> Effects:
    feed = state.feed
    feed.is_reader = False
    for topic_state in feed.topics.values():
        topic_state.phase = models.Phase.IDLE
        feed.topic_of.pop(topic_state.request, None)
    return [
        effects.StopFeed(),
        effects.LogEvent("feed.reader_stopped", details=(("for", peer),)),
    ]


def on_stop(state: core_state.State) -> Effects:
    """Hand the role of the reader over to a neighbour at once."""
    if not state.feed.is_reader:
        return []
    state.feed.is_reader = False
    return [
        effects.StopFeed(),
        *sending.send(neighbours(state), heartbeat(state, leaving=True)),
    ]


def _on_request(
    state: core_state.State,
    now: float,
    peer: str,
    request: messages.FeedRequest,
) -> Effects:
    table = state.routes.table
    table_changes: route_changes.TableChanges | None = None
    if table is not None and not _lacks(request, table):
        table = None
    elif request.takes_changes and not request.whole_routes:
        before = matching.find_earlier(
            state.routes, request.version, request.routes_at
        )
        table = None
        table_changes = _changes_since(state, before, const.MAX_ANSWERED_BYTES)
    elif (
        table is not None
        and request.takes_changes
        and not catching_up.may_send_whole(state, now)
    ):
        table = None
    targets, removed = renewals.changed_since(
        state.directory, now, request.revision
    )
    update = messages.FeedUpdate(
        revision=removals.settled_revision(state),
        age=max(0.0, now - state.feed.synced_at),
        base_revision=request.revision,
        table=table,
        targets=targets,
        removals=removed,
        evacuations=_evacuations_after(state, request.evacuations_at),
        token=request.token,
        proof_age=proof.age_of(state, now) if request.token else None,
        proof_version=sending.routes_version(state),
        proof_at=sending.routes_at(state),
        registered=directory.registered(state.directory, request.revision),
        table_changes=table_changes,
        current_age=currency.age_of(state, now),
        is_answer=True,
    )
    return sending.send([peer], update)


def _lacks(
    request: messages.FeedRequest, table: route_models.RouteTable
) -> bool:
    """Return whether the sender of a request needs a table.

    One of an earlier build says no position, and would get it each time.
    """
    if table.version != request.version or not request.routes_at:
        return table.version > request.version
    return table.revision > request.routes_at


def _evacuations_after(
    state: core_state.State, position: int
) -> evacuation_models.Evacuations | None:
    current = state.evacuation.current
    return current if current.position > position else None


def _on_update(
    state: core_state.State, now: float, peer: str, update: messages.FeedUpdate
) -> Effects:
    feed = state.feed
    before = state.routes.table
    emitted = _adopt_table(state, _table_of(state, update))
    emitted.extend(_adopt_evacuations(state, now, peer, update.evacuations))
    items: tuple[directory_models.Item, ...] = (
        *update.targets,
        *update.removals,
    )
    items = tuple(
        renewals.take_changes(
            state.directory, now, items, feed.deferred_removals
        )
    )
    missing, held = _missing(state, now, update)
    emitted.extend(held)
    changed = adoption.adopt_targets(state, now, (*items, *missing))
    emitted.extend(
        adoption.publish_changes(
            state, changed, const.SOURCE_PEER, update.change_age
        )
    )
    sent_at = feed.proof.tokens.get(update.token)
    if sent_at is not None:
        proof.on_answer(state, now, update)
        currency.on_answer(state, sent_at, update)
    is_neighbour = _is_neighbour(state, peer)
    if emitted and not is_neighbour:
        emitted.extend(_pass_on(state, update, changed, before))
    if update.proof_version:
        emitted.extend(catching_up.on_update(state, now, peer, update))
    if update.base_revision > state.directory.revision:
        return [*emitted, *sending.send([peer], sending.create_request(state))]
    directory.note_complete(state.directory, update.revision)
    if changed:
        # Not relayed as the reader: neighbours that lack it must ask.
        feed.relayed_at = state.directory.revision
    # What another failure domain answers must not keep an entry from becoming
    # the reader of its own, whose removals may be held there.
    counts = is_neighbour or (feed.is_reader and not update.token)
    if counts and not watches_all(feed):
        feed.synced_at = max(feed.synced_at, now - update.age)
    return emitted


def _table_of(
    state: core_state.State, update: messages.FeedUpdate
) -> route_models.RouteTable | None:
    """Return the routes that an update brings, whole or as changes."""
    changes = update.table_changes
    known = state.routes.table
    if changes is None or known is None:
        return update.table
    return route_changes.apply(known, changes)


def _pass_on(
    state: core_state.State,
    update: messages.FeedUpdate,
    changed: list[directory_models.Item],
    before: route_models.RouteTable | None,
) -> Effects:
    """Tell the neighbours what another failure domain has told."""
    news = updates.reduce(state, update, changed)
    is_newer = state.routes.table is not before
    if news is None and not is_newer:
        return []
    if news is None:
        news = messages.FeedUpdate(0, _NEVER_SECONDS, 0)
    if is_newer:
        news = msgspec.structs.replace(
            news,
            proof_version=sending.routes_version(state),
            proof_at=sending.routes_at(state),
            table_changes=_changes_since(
                state, before, const.MAX_RELAYED_BYTES
            ),
        )
    return sending.send(neighbours(state), news)


def _missing(
    state: core_state.State, now: float, update: messages.FeedUpdate
) -> tuple[list[directory_models.Item], Effects]:
    """Return removals that a peer doesn't know itself, and log lines.

    One that has just started knows no target that was removed before, while
    this entry may still use it. A store that came back from an older copy lacks
    targets until they register again. So does one that came back from an outage
    that this entry doesn't know to have ended.
    """
    if outages.may_be_away(state, now):
        return [], []
    era = positions.era_of(state.directory.revision)
    if update.registered is None or positions.era_of(update.revision) != era:
        return [], []
    present = {*update.registered, *state.feed.deferred_removals}
    missing = directory.missing_from(state.directory, update.revision, present)
    return removals.defer(state, now, [*missing], state.feed.synced_at)


def _adopt_table(
    state: core_state.State, table: route_models.RouteTable | None
) -> Effects:
    """Adopt a peer's routes, unless an earlier build has left out some.

    Routes whose position is not known can't be proved, so that they replace
    none that have workspaces.
    """
    if table is None:
        return []
    known = state.routes.table
    is_proved = known is not None and known.workspaces is not None
    is_complete = table.format >= route_const.TABLE_FORMAT
    if is_complete and (table.revision or not is_proved):
        return adoption.adopt_table(state, table, const.SOURCE_PEER)
    if table.version > sending.routes_version(state):
        state.pending_events.append(models.OwnReadWanted())
    return []


def _adopt_evacuations(
    state: core_state.State,
    now: float,
    peer: str,
    known: evacuation_models.Evacuations | None,
) -> Effects:
    """Adopt a peer's evacuations; tell it later ones."""
    if known is None:
        return []
    current = state.evacuation.current
    if known.position < current.position:
        is_same = set(known.failure_domains) == set(current.failure_domains)
        return (
            [] if is_same else sending.send([peer], evacuations_update(state))
        )
    return evacuation.adopt(state, now, known, const.SOURCE_PEER)


def watches_all(feed: models.FeedState) -> bool:
    """Return whether every topic is being watched."""
    return all(
        topic.phase is models.Phase.WATCHING for topic in feed.topics.values()
    )
